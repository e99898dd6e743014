// Package timer waits for a time or for the end of a context, whichever comes
// first.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the context's error if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
