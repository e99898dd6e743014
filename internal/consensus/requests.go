package consensus

import (
	"context"
	"fmt"
	"time"
)

// Status returns the member's present state; false before it is in a group.
func (n *Node) Status() (Status, bool) {
	s := n.status.Load()
	if s == nil {
		return Status{}, false
	}
	return *s, true
}

// Group is the id of the group that the member is in, or "".
func (n *Node) Group() string { return n.groupID() }

// Leader is the VM of the leader that this member knows, or "".
func (n *Node) Leader() string {
	s, _ := n.Status()
	return s.Leader.VM()
}

// IsLeader reports whether this member leads, as far as it knows.
func (n *Node) IsLeader() bool {
	s, _ := n.Status()
	return s.Role == Leader
}

// Applied is the last entry that the state machine holds.
func (n *Node) Applied() uint64 {
	select {
	case <-n.running:
		return n.apply.applied.Load()
	default:
		return 0
	}
}

// Propose commits a command on the leader and returns the state machine's reply.
// ErrNotLeader and ErrBusy: it was not and will not be executed. After any other
// error the outcome is unknown.
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

// ReadIndex returns, on the leader, an index that holds all that was committed
// before the call. A read that is not urgent may take a heartbeat's time.
func (n *Node) ReadIndex(ctx context.Context, urgent bool) (uint64, error) {
	if !n.IsLeader() {
		return 0, ErrNotLeader
	}
	ch := make(chan readOutcome, 1)
	f := func() {
		n.nextRead++
		if err := n.core.ReadIndex(n.nextRead, urgent); err != nil {
			ch <- readOutcome{err: err}
			return
		}
		n.ledTerm = n.core.term
		n.reads[n.nextRead] = ch
	}
	if err := n.do(ctx, f); err != nil {
		return 0, err
	}
	out, err := await(ctx, n, ch)
	if err != nil {
		return 0, err
	}
	return out.index, out.err
}

// await waits for the answer of what was handed to the loop. A loop that has ended
// answers nothing that it had taken: whoever asked without a time limit would wait
// for ever, and the VM's end with it.
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

// do hands f to the loop.
func (n *Node) do(ctx context.Context, f func()) error {
	select {
	case n.ops <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrClosed
	}
}

// WaitApplied returns once the state machine holds the entry index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	select {
	case <-n.running:
		return n.apply.wait(ctx, n.ctx, index)
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrClosed
	}
}

// HandOver gives the leadership up, where this member holds it, and returns once
// it has or ctx ends.
func (n *Node) TransferLeadership(ctx context.Context) {
	for n.IsLeader() {
		asked := make(chan bool, 1)
		if n.do(ctx, func() { asked <- n.core.TransferLeadership() }) != nil {
			return
		}
		if _, err := await(ctx, n, asked); err != nil {
			return
		}
		n.pause(handOverPause)
		if ctx.Err() != nil {
			return
		}
	}
}

// handOverPause is some round trips and syncs.
const handOverPause = 30 * time.Millisecond

// Remove takes, on the leader, the vote from the member on a VM that will not
// come back, and returns once the change is committed. ErrNoMember: there is
// none. ErrConfigBusy: try again, another change is under way.
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
	if err := n.do(ctx, f); err != nil {
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
