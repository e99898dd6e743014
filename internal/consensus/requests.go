package consensus

import (
	"context"
	"fmt"
	"time"
)

// Status returns the member's current state; false before it is in a group.
func (n *Node) Status() (Status, bool) {
	s := n.status.Load()
	if s == nil {
		return Status{}, false
	}
	return *s, true
}

// Group returns the id of the member's group, or "" if it is in none.
func (n *Node) Group() string { return n.groupID() }

// Leader returns the id of the VM of the leader that this member knows, or "".
func (n *Node) Leader() string {
	s, _ := n.Status()
	return s.Leader.VM()
}

// IsLeader reports whether this member believes it is the leader. A deposed leader may
// not know it yet.
func (n *Node) IsLeader() bool {
	s, _ := n.Status()
	return s.Role == Leader
}

// Applied returns the index of the last entry that the state machine has applied.
func (n *Node) Applied() uint64 {
	select {
	case <-n.running:
		return n.applier.applied.Load()
	default:
		return 0
	}
}

// Propose commits a command on the leader and returns the state machine's reply. After
// ErrNotLeader and ErrBusy the command was not and will not be executed. After any
// other error the outcome is unknown.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if !n.IsLeader() {
		return nil, ErrNotLeader
	}
	p := proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	default:
		return nil, ErrBusy
	}
	select {
	case out := <-p.done:
		return out.reply, out.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-n.ctx.Done():
		return nil, ErrClosed
	}
}

// ReadIndex returns, on the leader, an index that covers everything that was committed
// before the call. A read that is not urgent may take up to a heartbeat interval.
func (n *Node) ReadIndex(ctx context.Context, urgent bool) (uint64, error) {
	if !n.IsLeader() {
		return 0, ErrNotLeader
	}
	ch := make(chan readOutcome, 1)
	f := func() {
		n.lastReadID++
		if err := n.core.ReadIndex(n.lastReadID, urgent); err != nil {
			ch <- readOutcome{err: err}
			return
		}
		n.pendingTerm = n.core.term
		n.pendingReads[n.lastReadID] = ch
	}
	if err := n.runInLoop(ctx, f); err != nil {
		return 0, err
	}
	out, err := await(ctx, n, ch)
	if err != nil {
		return 0, err
	}
	return out.index, out.err
}

// await waits for the answer of a function that was passed to the protocol loop. A loop
// that has ended does not answer functions that it had accepted. A caller without a
// deadline would then wait forever and block the shutdown of the VM, so await also
// returns ErrClosed when the Node is closed.
func await[T any](ctx context.Context, n *Node, answer <-chan T) (T, error) {
	var none T
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-n.ctx.Done():
		return none, ErrClosed
	}
}

// runInLoop queues f to run in the protocol loop. It does not wait for f to finish.
func (n *Node) runInLoop(ctx context.Context, f func()) error {
	select {
	case n.ops <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrClosed
	}
}

// WaitApplied returns once the state machine has applied the entry at index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	select {
	case <-n.running:
		return n.applier.wait(ctx, n.ctx, index)
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrClosed
	}
}

// TransferLeadership transfers the leadership to another voter if this member holds it.
// It returns once this member no longer leads or ctx ends.
func (n *Node) TransferLeadership(ctx context.Context) {
	for n.IsLeader() {
		sent := make(chan bool, 1)
		if n.runInLoop(ctx, func() { sent <- n.core.TransferLeadership() }) != nil {
			return
		}
		if _, err := await(ctx, n, sent); err != nil {
			return
		}
		n.sleep(transferPollInterval)
		if ctx.Err() != nil {
			return
		}
	}
}

// transferPollInterval is the duration of some round trips and syncs.
const transferPollInterval = 30 * time.Millisecond

// Remove removes, on the leader, the member on a VM that will not come back, and
// returns once the change is applied. It returns ErrNoMember if the VM has no member,
// and ErrConfigBusy if another change is in progress and the call is to be retried.
func (n *Node) Remove(ctx context.Context, vm string) error {
	type answer struct {
		index uint64
		err   error
	}
	done := make(chan answer, 1)
	f := func() {
		for _, id := range n.core.Config().Members() {
			if id.VM() == vm {
				index, _, err := n.core.ProposeChange(Change{Remove, id})
				done <- answer{index, err}
				return
			}
		}
		done <- answer{err: fmt.Errorf("%w: %s", ErrNoMember, vm)}
	}
	if err := n.runInLoop(ctx, f); err != nil {
		return err
	}
	a, err := await(ctx, n, done)
	if err != nil {
		return err
	}
	if a.err != nil {
		return a.err
	}
	return n.WaitApplied(ctx, a.index)
}
