package consensus

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// joinOrForm brings a member with an empty directory into a group. If any control VM
// is in a group, this VM joins that group as a new member. This also applies to a VM
// that was a member before: its votes are lost with its directory. The group is formed
// only when every control VM has answered that it is in no group. The VM with the
// smallest id among those that can vote forms it, from the identities in the answers.
// joinOrForm returns the state to start from; false if the Node was closed.
func (n *Node) joinOrForm() (State, bool) {
	n.idBeforeGroup.Store(n.store.identity.ID)
	for n.ctx.Err() == nil {
		answers := n.probeAll(n.otherVMs())
		for _, a := range answers {
			if a.Group != "" {
				return n.enterGroup(a.Group, record{})
			}
		}
		if n.mayFormGroup(answers) {
			return n.formGroup(answers)
		}
		n.sleep(probeInterval)
	}
	return State{}, false
}

// ServeObserver answers probes on a control VM without a disk, which has no vote. The
// VM that forms the group waits for an answer from every control VM. Without this one
// the group would never be formed.
func ServeObserver(t peer.Transport, vm string) {
	t.Handle(kindProbe, func(context.Context, string, []byte) (any, error) {
		return probeReply{ID: NewMemberID(vm, "observer"), Observer: true}, nil
	})
}

// mayFormGroup reports whether this VM may form the group: every control VM in
// NodeOptions.VMs has answered, and this VM has the smallest id of those that can vote.
func (n *Node) mayFormGroup(answers []probeReply) bool {
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

// mayVote reports whether the VM that answered is one of vms and not an observer.
func (a probeReply) mayVote(vms []string) bool {
	return !a.Observer && slices.Contains(vms, a.ID.VM())
}

func (n *Node) formGroup(answers []probeReply) (State, bool) {
	config := Config{Voters: []MemberID{n.store.identity.ID}}
	for _, a := range answers {
		if a.mayVote(n.o.VMs) {
			config.Voters = append(config.Voters, a.ID)
		}
	}
	slices.Sort(config.Voters)
	first := Entry{Index: 1, Term: 1, Kind: EntryConfig, Data: config.encode()}
	n.eagerElection = true
	return n.enterGroup(rand.Text()[:8], record{Hard: HardState{Term: 1}, Entries: []Entry{first}})
}

func (n *Node) enterGroup(group string, first record) (State, bool) {
	if err := n.store.saveGroup(group, first); err != nil {
		n.fail(err)
		return State{}, false
	}
	n.group.Store(group)
	return State{Hard: first.Hard, Entries: first.Entries}, true
}

// otherVMs returns the control VMs that are known now, without this one.
func (n *Node) otherVMs() []string {
	all := slices.Clone(n.o.VMs)
	if n.o.KnownVMs != nil {
		all = append(all, n.o.KnownVMs()...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(vm string) bool { return vm == n.o.VM })
}

// probeAll probes the VMs concurrently and returns the answers that arrive within
// probeTimeout.
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

// maintainMembership requests a vote from the leader whenever this member has none. A
// member that hears no leader requests one too: its vote may have been removed as
// surplus while the member was paused, which its own log cannot show.
func (n *Node) maintainMembership() {
	target := ""
	for i := 0; n.ctx.Err() == nil; i++ {
		if n.hasVote() {
			target = ""
			n.sleep(membershipCheckInterval)
			continue
		}
		if target == "" {
			others := n.otherVMs()
			if len(others) == 0 {
				return
			}
			target = others[i%len(others)]
		}
		_, target = n.requestJoin(target)
		n.sleep(joinInterval)
	}
}

// hasVote reports whether this member knows a leader and, by its own log, is a voter
// whose VM has no other voter.
func (n *Node) hasVote() bool {
	s, _ := n.Status()
	return s.Config.IsVoter(s.ID) && !s.hasPredecessor() && s.Leader != ""
}

func (s Status) hasPredecessor() bool {
	_, ok := predecessorOf(s.Config.Voters, s.ID)
	return ok
}

func (n *Node) requestJoin(vm string) (bool, string) {
	ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
	defer cancel()
	var r joinReply
	if err := n.o.Transport.Call(ctx, vm, kindJoin, joinRequest{Group: n.groupID(), ID: n.store.identity.ID}, &r); err != nil {
		return false, ""
	}
	return r.Done, r.Leader
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}
