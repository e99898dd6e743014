package consensus

import (
	"context"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// LeaveState is the progress of a voter that gives up its vote.
type LeaveState uint8

// The states of a leave. The numbers are part of the protocol.
const (
	LeaveWaiting LeaveState = iota // a change is not committed yet, or the others are not ready
	LeaveChange                    // the returned change is to be proposed
	LeaveDone                      // the member has no vote
	LeaveKeeps                     // the group has no vote to spare
)

const (
	leaveInterval = 20 * time.Millisecond  // between two requests; some round trips and syncs
	leaveTimeout  = 500 * time.Millisecond // of one request
)

type leaveRequest struct {
	Group string   `cbor:"1,keyasint"`
	ID    MemberID `cbor:"2,keyasint"`
}

type leaveReply struct {
	State LeaveState `cbor:"1,keyasint,omitempty"`
}

// PlanLeave returns, on a leader, the next step by which a voter gives up its vote before
// its process ends as planned. The process may be restarted or replaced, which nobody
// knows then. A vote beyond the target is removed: if the member stays away, the next
// loss would otherwise stop the group, and if it comes back, it joins again with its log.
// Of the votes of target VMs or fewer none is removed, since the member may be the first
// to come back.
func (c *Core) PlanLeave(id MemberID, target int) (Change, LeaveState) {
	config := c.log.config().config
	remove := Change{Remove, id}
	switch {
	case !c.ConfigSettled() || !c.committedInTerm():
		return Change{}, LeaveWaiting
	case !config.IsVoter(id):
		return Change{}, LeaveDone
	case config.votingVMs() <= target && c.expectsVoter():
		return Change{}, LeaveWaiting
	case config.votingVMs() <= target:
		return Change{}, LeaveKeeps
	case !c.majorityAnswers(config, remove):
		return Change{}, LeaveWaiting
	}
	return remove, LeaveChange
}

// expectsVoter reports whether a learner answers, which will be promoted soon.
func (c *Core) expectsVoter() bool {
	for _, id := range c.log.config().config.Learners {
		if c.answers(id) {
			return true
		}
	}
	return false
}

// majorityAnswers reports whether the group would have a majority after a change. A change
// without one could not be committed, and would be in force nevertheless.
func (c *Core) majorityAnswers(config Config, change Change) bool {
	next, err := config.Apply(change)
	if err != nil {
		return false
	}
	n := 0
	for _, id := range next.Voters {
		if id == c.options.ID || c.answers(id) {
			n++
		}
	}
	return n >= next.Quorum()
}

// answers reports whether a member has replied to this leader in the last complete or the
// current quorum check.
func (c *Core) answers(id MemberID) bool {
	p := c.progress[id]
	return p != nil && (p.recentlyActive || p.missedChecks == 0)
}

// GiveUpVote gives up this member's vote before a planned shutdown, if the group has more
// voters than NodeOptions.TargetVoters. It returns once the leader has committed that, or
// keeps the vote, or ctx ends. The member requests no vote afterwards.
func (n *Node) GiveUpVote(ctx context.Context) {
	s, ok := n.Status()
	if !ok || n.o.TargetVoters == 0 || !s.Config.IsVoter(s.ID) {
		return
	}
	n.leaving.Store(true)
	began := time.Now()
	state, spare := LeaveWaiting, n.seesSpareVote()
	for ctx.Err() == nil && state != LeaveDone && state != LeaveKeeps {
		var err error
		state, err = n.requestLeave(ctx)
		// The leader may know of a voter or learner that this member has not heard of yet.
		spare = spare || err == nil && state == LeaveWaiting
		if !spare {
			break
		}
		if state == LeaveWaiting {
			n.sleep(leaveInterval)
		}
	}
	n.o.Log.Info().Bool("given_up", state == LeaveDone).Bool("kept", state == LeaveKeeps).Dur("took", time.Since(began)).
		Msg("vote of this member before its planned end")
}

// seesSpareVote reports whether the group has, or may get soon, more voters than its target, as
// far as this member knows.
func (n *Node) seesSpareVote() bool {
	s, _ := n.Status()
	return len(s.Config.Voters) > n.o.TargetVoters || len(s.Config.Learners) > 0
}

func (n *Node) requestLeave(ctx context.Context) (LeaveState, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s, _ := n.Status()
	if s.Role == Leader {
		return n.leave(ctx, s.ID)
	}
	if s.Leader == "" {
		return LeaveWaiting, ErrNotLeader
	}
	var r leaveReply
	err := n.o.Transport.Call(ctx, s.Leader.VM(), kindLeave, leaveRequest{Group: n.groupID(), ID: s.ID}, &r)
	return r.State, err
}

// serveLeave proposes the next step of a leave. Like a join, a leave has no state on the
// leader: the member repeats its request.
func (n *Node) serveLeave(ctx context.Context, from string, body []byte) (any, error) {
	var q leaveRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Group != n.groupID() || q.ID.VM() != from {
		return nil, errNotMember
	}
	state, err := n.leave(ctx, q.ID)
	if err != nil {
		return nil, err
	}
	return leaveReply{State: state}, nil
}

func (n *Node) leave(ctx context.Context, id MemberID) (LeaveState, error) {
	if !n.IsLeader() {
		return LeaveWaiting, nil
	}
	done := make(chan LeaveState, 1)
	err := n.runInLoop(ctx, func() {
		change, state := n.core.PlanLeave(id, n.o.TargetVoters)
		if !n.core.IsLeader() || n.o.TargetVoters == 0 {
			state = LeaveWaiting
		}
		if state == LeaveChange {
			if _, _, err := n.core.ProposeChange(change); err == nil {
				n.o.Log.Info().Str("member", string(id)).Msg("removing the vote of a member that ends as planned; the group has more voters than its target")
			}
			state = LeaveWaiting
		}
		done <- state
	})
	if err != nil {
		return LeaveWaiting, err
	}
	return await(ctx, n, done)
}
