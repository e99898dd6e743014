package local

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	readyTimeout = 10 * time.Second
	readyPause   = 10 * time.Millisecond
)

// awaitReady waits until every VM admits requests. A VM refuses them until it has its
// first lease. Tests that start with refusals would take them for a fault of the code
// under test.
func (s *System) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	var errs []error
	for _, n := range s.Nodes {
		for !ready(ctx, n.OperatorAddr()) {
			if ctx.Err() != nil {
				errs = append(errs, fmt.Errorf("local: VM %s is not ready after %s", n.Self().ID, readyTimeout))
				break
			}
			_ = timer.Sleep(ctx, readyPause)
		}
	}
	return errors.Join(errs...)
}

func ready(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}
