package consensus

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// form brings a member with an empty folder into a group. If any control VM is
// in a group, this one joins it as a new member, also if its VM was a member
// before: the folder, and with it the votes given, is lost. Only when every
// control VM has answered that it is in no group does the one with the first id
// form it, with the identities that the others just told. It returns the state
// to start from; false when the Node was closed.
func (n *Node) form() (State, bool) {
	n.formingAs.Store(n.store.who.ID)
	for n.ctx.Err() == nil {
		answers := n.probeAll(n.others())
		for _, a := range answers {
			if a.Group != "" {
				return n.enter(a.Group, record{})
			}
		}
		if n.mayFound(answers) {
			return n.found(answers)
		}
		n.pause(probeEvery)
	}
	return State{}, false
}

// ServeObserver answers, for a control VM without a disk, those that would form the
// group: a group that waited for its vote would never be formed.
func ServeObserver(t peer.Transport, vm string) {
	t.Handle(kindProbe, func(context.Context, string, []byte) (any, error) {
		return probeReply{ID: NewMemberID(vm, "observer"), Observer: true}, nil
	})
}

// mayFound: every VM that the group is formed of has answered, and this one is
// the first of those that can vote.
func (n *Node) mayFound(answers []probeReply) bool {
	if n.o.JoinOnly || !slices.Contains(n.o.VMs, n.o.VM) {
		return false
	}
	for _, vm := range n.o.VMs {
		answered := func(a probeReply) bool { return a.ID.VM() == vm }
		if vm != n.o.VM && !slices.ContainsFunc(answers, answered) {
			return false
		}
	}
	for _, a := range answers {
		if a.mayVote(n.o.VMs) && a.ID.VM() < n.o.VM {
			return false
		}
	}
	return true
}

// mayVote reports whether the VM that answered is one of those that form the group.
func (a probeReply) mayVote(vms []string) bool {
	return !a.Observer && slices.Contains(vms, a.ID.VM())
}

func (n *Node) found(answers []probeReply) (State, bool) {
	config := Config{Voters: []MemberID{n.store.who.ID}}
	for _, a := range answers {
		if a.mayVote(n.o.VMs) {
			config.Voters = append(config.Voters, a.ID)
		}
	}
	slices.Sort(config.Voters)
	first := Entry{Index: 1, Term: 1, Kind: EntryConfig, Data: config.encode()}
	n.eager = true
	return n.enter(rand.Text()[:8], record{Hard: HardState{Term: 1}, Entries: []Entry{first}})
}

func (n *Node) enter(group string, first record) (State, bool) {
	if err := n.store.enter(group, first); err != nil {
		n.fail(err)
		return State{}, false
	}
	n.group.Store(group)
	return State{Hard: first.Hard, Entries: first.Entries}, true
}

// others are the control VMs known now without this one.
func (n *Node) others() []string {
	all := slices.Clone(n.o.VMs)
	if n.o.KnownVMs != nil {
		all = append(all, n.o.KnownVMs()...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(vm string) bool { return vm == n.o.VM })
}

// probeAll asks control VMs at once and returns the answers.
func (n *Node) probeAll(vms []string) []probeReply {
	var (
		mu  sync.Mutex
		out []probeReply
		wg  sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	for _, vm := range vms {
		wg.Go(func() {
			var a probeReply
			if err := n.o.Transport.Call(ctx, vm, kindProbe, nil, &a); err != nil || a.ID.VM() != vm {
				return
			}
			mu.Lock()
			out = append(out, a)
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

// keepJoined asks the leader for this member's vote until it has it. A member
// that hears no leader asks too: its vote may have been removed as a silent one
// while it was paused, and its own log cannot tell.
func (n *Node) keepJoined() {
	target := ""
	for i := 0; n.ctx.Err() == nil; i++ {
		if n.joined() {
			target = ""
			n.pause(rejoinCheck)
			continue
		}
		if target == "" {
			others := n.others()
			if len(others) == 0 {
				return
			}
			target = others[i%len(others)]
		}
		_, target = n.askToJoin(target)
		n.pause(joinEvery)
	}
}

// joined reports whether this member has its vote, for all that it knows.
func (n *Node) joined() bool {
	s, _ := n.Status()
	return s.Config.IsVoter(s.ID) && !s.hasFormer() && s.Leader != ""
}

func (s Status) hasFormer() bool {
	_, ok := formerOf(s.Config.Voters, s.ID)
	return ok
}

func (n *Node) askToJoin(vm string) (bool, string) {
	ctx, cancel := context.WithTimeout(n.ctx, rejoinTimeout)
	defer cancel()
	var r joinReply
	if err := n.o.Transport.Call(ctx, vm, kindJoin, joinRequest{Group: n.groupID(), ID: n.store.who.ID}, &r); err != nil {
		return false, ""
	}
	return r.Done, r.Leader
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}
