// Package timer provides waiting that a context can cancel.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil. If ctx ends first, it returns the error of ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
