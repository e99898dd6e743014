package consensus

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

// Guards against requests that never return. The protocol loop stops, for example on a
// full disk, after it accepted a request and before it answers. A caller without a
// deadline must get an error at once, because the shutdown of the VM waits for it.
func TestRequestsOfStoppedMemberFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{ops: make(chan func(), 1)} // accepts a function that no loop runs
		n.ctx, n.cancel = context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- n.Remove(context.Background(), "vm2") }()
		synctest.Wait()
		n.cancel()
		synctest.Wait()
		select {
		case err := <-result:
			if !errors.Is(err, ErrClosed) {
				t.Errorf("got %v, want ErrClosed", err)
			}
		default:
			t.Error("Remove has not returned after the member was closed")
		}
	})
}
