package generation

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var testLimits = Limits{Journals: 4, Bytes: 1 << 20, PromiseKeep: time.Second, FinishedKeep: time.Minute, AbandonKeep: time.Hour}

// three keepers a, b, c of one journal, and owners that reach the named ones.
type trio struct {
	t       *testing.T
	keepers map[string]*Keeper
	group   Group
	now     time.Time
}

func newTrio(t *testing.T) *trio {
	tr := &trio{t: t, keepers: map[string]*Keeper{}, group: Group{Newest: 1}, now: time.Unix(0, 0)}
	for _, vm := range []string{"a", "b", "c"} {
		tr.keepers[vm] = NewKeeper("1", testLimits)
		tr.group.Keepers = append(tr.group.Keepers, KeeperID{vm, "1"})
	}
	return tr
}

func (tr *trio) open(round uint64, vms ...string) *Owner {
	tr.t.Helper()
	epoch := Epoch{Version: 1, Round: round, VM: fmt.Sprint("owner", round)}
	replies := NewReplies([]Group{tr.group}, Membership{})
	for _, vm := range vms {
		replies.Add(KeeperID{vm, "1"}, tr.keepers[vm].Promise(Promise{ID: machineID, Epoch: epoch, To: "1"}, tr.now))
	}
	if !replies.Ready() {
		tr.t.Fatalf("round %d: no majority of promises", round)
	}
	best, _ := replies.Best()
	return NewOwner(Request{ID: machineID}, epoch, tr.group, replies, best.Journal)
}

func (tr *trio) write(o *Owner, vms ...string) error {
	var errs []error
	for _, vm := range vms {
		for w, ok := o.Next(vm, 10); ok; w, ok = o.Next(vm, 10) {
			reply := tr.keepers[vm].Write(w, tr.now)
			errs = append(errs, o.Ack(vm, reply))
			if !reply.OK() {
				break
			}
		}
	}
	return errors.Join(errs...)
}

func generateToken(o *Owner, token int32) {
	n, from := o.BeginAttempt()
	_ = o.Append(n.Number, Span{From: from, Tokens: []int32{token}, Texts: []string{"t"}}, "", Usage{})
}

// The caller's router is paused between its promises and its first write, for
// longer than a keeper keeps a promise that nothing followed. Meanwhile the
// former owner, which had not heard of it, releases through that keeper. Back
// again, the paused router must not install the journal that it read before.
func TestForgottenPromiseEndsItsOwner(t *testing.T) {
	tr := newTrio(t)
	former := tr.open(1, "a", "b")
	if err := tr.write(former, "a", "b"); err != nil {
		t.Fatal(err)
	}
	paused := tr.open(2, "b", "c")
	tr.now = tr.now.Add(2 * testLimits.PromiseKeep)
	tr.keepers["c"].Sweep(tr.now)
	generateToken(former, 7)
	if err := tr.write(former, "a", "c"); err != nil || former.Released() != 1 {
		t.Fatalf("the former owner released %d, error %v", former.Released(), err)
	}
	generateToken(paused, 8)
	err := tr.write(paused, "b", "c")
	if !errors.Is(err, ErrDeposed) || paused.Released() != 0 {
		t.Errorf("the paused owner released %d tokens of another answer, error %v", paused.Released(), err)
	}
}

// A VM that holds its fill refuses new journals with a reason and keeps those it
// has; what is finished, abandoned or was never written is forgotten in time.
func TestKeeperMemoryIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	k := NewKeeper("1", testLimits)
	id := func(i int) RequestID { return RequestID{"w", fmt.Sprint(i)} }
	promise := func(i int, absent bool) PromiseReply {
		return k.Promise(Promise{ID: id(i), Epoch: Epoch{1, 1, "o"}, IfAbsent: absent}, now)
	}
	install := func(i int, finish string) {
		w := Write{ID: id(i), Epoch: Epoch{1, 1, "o"}, Request: &Request{}, Install: true, Finish: finish}
		if reply := k.Write(w, now); !reply.OK() {
			t.Fatalf("install %d refused: %d", i, reply.Refusal)
		}
	}
	for i := range testLimits.Journals {
		promise(i, true)
	}
	if got := promise(9, true).Refusal; got != Full {
		t.Errorf("a new journal beyond the limit: refusal %d, want Full", got)
	}
	if got := promise(9, false).Refusal; got != Accepted {
		t.Errorf("a known journal within the reserve: refusal %d", got)
	}
	if got := promise(10, false).Refusal; got != Full {
		t.Errorf("a known journal beyond the reserve: refusal %d, want Full", got)
	}
	install(0, "length")
	install(1, "")
	for _, c := range []struct {
		after time.Duration
		left  int
	}{{testLimits.PromiseKeep, 2}, {testLimits.FinishedKeep, 1}, {testLimits.AbandonKeep, 0}} {
		k.Sweep(now.Add(c.after))
		if k.Len() != c.left {
			t.Errorf("after %v: %d journals, want %d", c.after, k.Len(), c.left)
		}
	}
	if k.Bytes() != 0 {
		t.Errorf("%d bytes are counted for no journal", k.Bytes())
	}
}

// Two VMs of a journal's five are lost together; the owner re-places it; a third
// of the first five is lost right after. The caller's answer must still be found,
// though the first set has lost its majority: the repair had sealed it.
func TestThirdLossAfterRepair(t *testing.T) {
	var vms []Candidate
	for i := range 8 {
		vms = append(vms, Candidate{VM: fmt.Sprint("vm", i), Incarnation: "1", Zone: fmt.Sprint("z", i%4)})
	}
	before := Membership{Version: 1, Candidates: vms}
	first := Place(machineID, vms)
	after := Membership{Version: 2, Candidates: without(vms, first[0], first[1])}
	last := Membership{Version: 3, Candidates: without(after.Candidates, first[2])}
	groups := Groups(machineID, []Membership{last, after, before})
	if len(groups) != 3 {
		t.Fatalf("%d distinct sets, want 3", len(groups))
	}
	found := PromiseReply{OK: true, Found: true, Accepted: Epoch{Version: 2, Round: 1, VM: "o"}}
	repaired, lost := NewReplies(groups, last), NewReplies(groups, last)
	for _, m := range last.Candidates {
		lost.Add(m.id(), PromiseReply{OK: true})
		repaired.Add(m.id(), found)
	}
	if !repaired.Ready() || repaired.Lost() {
		t.Error("a journal that was re-placed counts as lost with its old set")
	}
	if lost.Ready() || !lost.Lost() {
		t.Error("a journal that nobody re-placed is lost with its set, and must not start anew")
	}
	lost.SkipLost = true
	if !lost.Ready() {
		t.Error("a new request must not wait for a set that is gone")
	}
}

func without(vms []Candidate, gone ...KeeperID) []Candidate {
	var out []Candidate
	for _, c := range vms {
		keep := true
		for _, k := range gone {
			keep = keep && c.VM != k.VM
		}
		if keep {
			out = append(out, c)
		}
	}
	return out
}
