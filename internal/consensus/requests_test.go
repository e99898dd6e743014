package consensus

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

// A member stops, as with a full disk, between taking a question and answering it.
// Whoever asked, here with no time limit, is told at once and does not wait for ever:
// the VM's end waits for it.
func TestAskersOfAStoppedMemberAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{ops: make(chan func(), 1)} // taken, and nobody runs it
		n.ctx, n.cancel = context.WithCancel(t.Context())
		told := make(chan error, 1)
		go func() { told <- n.Remove(context.Background(), "vm2") }()
		synctest.Wait()
		n.cancel()
		synctest.Wait()
		select {
		case err := <-told:
			if !errors.Is(err, ErrClosed) {
				t.Errorf("told %v", err)
			}
		default:
			t.Error("still waiting")
		}
	})
}
