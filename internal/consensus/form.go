package consensus

import (
	"cmp"
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
// only when every control VM has answered that it is in no group. The founder with the
// smallest id forms it, from the identities in the answers.
//
// The group is formed from two successive rounds with the same answers. Between them,
// no identity in them was in a group. A single round can mix the answer that one VM
// gave before it entered a group with that of another that has lost its disk since.
//
// joinOrForm returns the state to start from; false if the Node was closed.
func (n *Node) joinOrForm() (State, bool) {
	own := n.store.identity
	n.identityBeforeGroup.Store(&own)
	var confirmed []probeReply
	for n.ctx.Err() == nil {
		answers := n.probeAll(n.otherVMs())
		for _, a := range answers {
			if a.Group != "" {
				return n.enterGroup(a.Group, firstRecord(a.First))
			}
		}
		switch {
		case !n.mayFormGroup(answers):
			confirmed = nil
			n.sleep(probeInterval)
		case slices.EqualFunc(answers, confirmed, sameFounder):
			return n.formGroup(answers)
		default:
			confirmed = answers
		}
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

// mayFormGroup reports whether this VM may form the group: it is a founder, every
// control VM in its list of founders has answered, no founder that can vote has a
// smaller id, and most of the voters are founders. A VM that lost its disk is no founder.
// Most VMs that are no founders may be the rest of a group that has lost its disks.
func (n *Node) mayFormGroup(answers []probeReply) bool {
	vms := n.store.identity.Founders
	if !slices.Contains(vms, n.o.VM) {
		return false
	}
	for _, vm := range vms {
		answered := func(a probeReply) bool { return a.ID.VM() == vm }
		if vm != n.o.VM && !slices.ContainsFunc(answers, answered) {
			return false
		}
	}
	voters, founders := 1, 1
	for _, a := range answers {
		if !a.mayVote(vms) {
			continue
		}
		voters++
		if a.JoinOnly {
			continue
		}
		founders++
		if a.ID.VM() < n.o.VM {
			return false
		}
	}
	return founders > voters/2
}

// sameFounder reports whether two answers are of the same identity in no group.
func sameFounder(a, b probeReply) bool {
	return a.ID == b.ID && a.Observer == b.Observer && a.JoinOnly == b.JoinOnly
}

// mayVote reports whether the VM that answered is one of vms and not an observer.
func (a probeReply) mayVote(vms []string) bool {
	return !a.Observer && slices.Contains(vms, a.ID.VM())
}

func (n *Node) formGroup(answers []probeReply) (State, bool) {
	config := Config{Voters: []MemberID{n.store.identity.ID}}
	for _, a := range answers {
		if a.mayVote(n.store.identity.Founders) {
			config.Voters = append(config.Voters, a.ID)
		}
	}
	slices.Sort(config.Voters)
	n.eagerElection = true
	return n.enterGroup(rand.Text()[:8], firstRecord(&config))
}

// firstRecord returns the first record of the log of a member of a group with the given
// first membership, or an empty one if that is not known.
func firstRecord(first *Config) record {
	if first == nil || len(first.Voters) == 0 {
		return record{}
	}
	return record{Hard: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: first.encode()}}}
}

// firstConfig returns the membership with which the group was formed, or nil if the log
// does not begin with it.
func firstConfig(s State) *Config {
	if s.Snapshot.Index > 0 || len(s.Entries) == 0 {
		return nil
	}
	if first := s.Entries[0]; first.Index == 1 && first.Term == 1 && first.Kind == EntryConfig {
		c := decodeConfig(first.Data)
		return &c
	}
	return nil
}

// enterGroup saves that this member is in a group. From the decision on it answers no
// probe any more until it runs in the group.
func (n *Node) enterGroup(group string, first record) (State, bool) {
	n.identityBeforeGroup.Store(nil)
	if err := n.store.saveGroup(group, first); err != nil {
		n.fail(err)
		return State{}, false
	}
	n.group.Store(group)
	return State{Hard: first.Hard, Entries: first.Entries}, true
}

// otherVMs returns the control VMs that are known now, without this one.
func (n *Node) otherVMs() []string {
	all := slices.Concat(n.o.VMs, n.store.identity.Founders)
	if n.o.KnownVMs != nil {
		all = append(all, n.o.KnownVMs()...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(vm string) bool { return vm == n.o.VM })
}

// probeAll probes the VMs concurrently and returns the answers that arrive within
// probeTimeout, sorted by id. It waits for no more answers once one names a group: a
// group that is entered later may have lost its founder since, and another one formed.
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
			defer mu.Unlock()
			out = append(out, a)
			if a.Group != "" {
				cancel()
			}
		})
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b probeReply) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// maintainMembership requests a vote from the leader whenever this member has none. A
// member that hears no leader requests one too: its vote may have been removed as
// surplus while the member was paused, which its own log cannot show.
func (n *Node) maintainMembership() {
	target := ""
	for i := 0; n.ctx.Err() == nil && !n.leaving.Load(); i++ {
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
