package generation

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var testLimits = Limits{MaxJournals: 4, MaxBytes: 1 << 20, PromiseValidity: time.Second, PromiseRetention: 3 * time.Second, FinishedRetention: time.Minute, AbandonedRetention: time.Hour, EpochRetention: time.Hour}

// three keepers a, b, c of one journal, and owners that reach the named ones.
type trio struct {
	t       *testing.T
	keepers map[string]*Keeper
	group   KeeperSet
	now     time.Time
}

func newTrio(t *testing.T) *trio {
	tr := &trio{t: t, keepers: map[string]*Keeper{}, group: KeeperSet{NewestVersion: 1}, now: time.Unix(0, 0)}
	for _, vm := range []string{"a", "b", "c"} {
		tr.keepers[vm] = NewKeeper("1", testLimits)
		tr.group.Keepers = append(tr.group.Keepers, KeeperID{vm, "1"})
	}
	return tr
}

func (tr *trio) open(round uint64, vms ...string) *Owner {
	tr.t.Helper()
	epoch := Epoch{Version: 1, Round: round, VM: fmt.Sprint("owner", round)}
	replies := NewReplies([]KeeperSet{tr.group}, Membership{})
	for _, vm := range vms {
		replies.Add(KeeperID{vm, "1"}, tr.keepers[vm].Promise(Promise{ID: machineID, Epoch: epoch, Incarnation: "1"}, tr.now))
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
		for w, ok := o.NextWrite(vm, 10); ok; w, ok = o.NextWrite(vm, 10) {
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

// A router is paused between its promises and its first write, for so long that
// two of the three keepers have forgotten them. Another router begins the answer
// there, under a lower epoch, and releases a token. Back again, the paused one
// must not install on the keeper that still remembers: by its higher epoch that
// journal would win the next takeover, and the caller's token would change.
func TestForgottenPromiseIsNotUsed(t *testing.T) {
	tr := newTrio(t)
	paused := tr.open(2, "a", "b", "c")
	for _, passed := range []time.Duration{testLimits.PromiseRetention, testLimits.EpochRetention} {
		tr.now = tr.now.Add(passed)
		tr.keepers["b"].Sweep(tr.now)
		tr.keepers["c"].Sweep(tr.now)
	}
	other := tr.open(1, "b", "c")
	generateToken(other, 7)
	if err := tr.write(other, "b", "c"); err != nil || other.Released() != 1 {
		t.Fatalf("the other owner released %d, error %v", other.Released(), err)
	}
	generateToken(paused, 8)
	_ = tr.write(paused, "a", "b", "c")
	if paused.Released() != 0 || paused.Accepted() {
		t.Errorf("the paused owner released %d tokens of another answer", paused.Released())
	}
	if next := tr.open(3, "a", "b"); next.Journal().Len() != 1 || next.Journal().Tokens[0] != 7 {
		t.Errorf("the next owner found %v, and 7 was released", next.Journal().Tokens)
	}
}

// An owner is paused for so long that one of its two keepers forgets the journal
// as abandoned, and a moment later a caller sends the key again. The new answer
// begins on that keeper and the third one. Its epoch must be above the old one:
// else a takeover that meets the keeper that still holds the old answer goes on
// with that, and the caller's tokens change.
func TestNewAnswerIsAboveAForgottenOne(t *testing.T) {
	tr := newTrio(t)
	old := tr.open(5, "a", "b")
	generateToken(old, 7)
	_ = tr.write(old, "a", "b")
	tr.now = tr.now.Add(testLimits.AbandonedRetention)
	tr.keepers["b"].Sweep(tr.now)
	lower := Promise{ID: machineID, Epoch: Epoch{1, 4, "owner4"}, Incarnation: "1", IfAbsent: true}
	if reply := tr.keepers["b"].Promise(lower, tr.now); reply.OK || reply.Promised.Round != 5 {
		t.Errorf("a keeper that forgot a journal takes a lower epoch: %+v", reply)
	}
	again := tr.open(6, "b", "c")
	generateToken(again, 8)
	_ = tr.write(again, "b", "c")
	generateToken(old, 9)
	_ = tr.write(old, "a", "b", "c")
	if old.Released() != 1 || again.Released() != 1 {
		t.Errorf("released %d of the old answer and %d of the new one", old.Released(), again.Released())
	}
	if next := tr.open(7, "a", "c"); next.Journal().Tokens[0] != 8 {
		t.Errorf("the next owner found %v, and 8 was released", next.Journal().Tokens)
	}
}

// A keeper that was out of reach at the opening comes back. It gets the journal
// by a promise that a majority of the others has confirmed since.
func TestLateKeeperIsReserved(t *testing.T) {
	tr := newTrio(t)
	o := tr.open(1, "a", "b")
	generateToken(o, 7)
	if _, ok := o.NextWrite("c", 10); ok {
		t.Error("a keeper is asked for a promise before the owner has its majority")
	}
	_ = tr.write(o, "a", "b", "c")
	if held := tr.keepers["c"].Promise(Promise{ID: machineID, Peek: true, Epoch: Epoch{Version: 1}}, tr.now).Found; held {
		t.Error("the late keeper holds the journal before the others confirmed the epoch")
	}
	_ = tr.write(o, "a", "b", "c")
	if held := tr.keepers["c"].Promise(Promise{ID: machineID, Peek: true, Epoch: Epoch{Version: 1}}, tr.now).Found; !held {
		t.Error("the late keeper does not hold the journal")
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
	for i := range testLimits.MaxJournals {
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
	}{{testLimits.PromiseRetention, 2}, {testLimits.FinishedRetention, 1}, {testLimits.AbandonedRetention, 0}} {
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
	groups := KeeperSets(machineID, []Membership{last, after, before})
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
	lost.CallerHasNoTokens = true
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

// A zone is lost with all its VMs. Wherever the zones allow it, each journal must
// keep a majority of its keepers; with too few zones it must still have them all.
func TestPlacementSurvivesAZone(t *testing.T) {
	for _, c := range []struct{ vms, zones, keepers, perZone int }{
		{1, 1, 1, 1}, {2, 2, 1, 1}, {3, 3, 3, 1}, {4, 2, 3, 2}, {5, 3, 5, 2}, {9, 3, 5, 2}, {11, 3, 5, 2}, {8, 2, 5, 3}, {330, 5, 5, 2},
	} {
		var vms []Candidate
		for i := range c.vms {
			vms = append(vms, Candidate{VM: fmt.Sprint("vm", i), Zone: fmt.Sprint("z", i%c.zones)})
		}
		for i := range 200 {
			zones, seen := map[string]int{}, map[string]bool{}
			for _, k := range Place(RequestID{"w", fmt.Sprint(i)}, vms) {
				var n int
				_, _ = fmt.Sscanf(k.VM, "vm%d", &n)
				zones[vms[n].Zone]++
				seen[k.VM] = true
			}
			most := 0
			for _, n := range zones {
				most = max(most, n)
			}
			if len(seen) != c.keepers || most > c.perZone {
				t.Fatalf("%d VMs in %d zones: %d keepers, %d in one zone", c.vms, c.zones, len(seen), most)
			}
		}
	}
}
