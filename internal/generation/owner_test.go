package generation

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var testLimits = Limits{MaxJournals: 4, MaxBytes: 1 << 20, PromiseValidity: time.Second, PromiseRetention: 3 * time.Second, FinishedRetention: time.Minute, AbandonedRetention: time.Hour, EpochRetention: time.Hour}

// threeKeepers holds the keepers a, b and c of one journal.
type threeKeepers struct {
	t         *testing.T
	keepers   map[string]*Keeper
	keeperSet KeeperSet
	now       time.Time
}

func newThreeKeepers(t *testing.T) *threeKeepers {
	set := &threeKeepers{t: t, keepers: map[string]*Keeper{}, keeperSet: KeeperSet{NewestVersion: 1}, now: time.Unix(0, 0)}
	for _, vm := range []string{"a", "b", "c"} {
		set.keepers[vm] = NewKeeper("1", testLimits)
		set.keeperSet.Keepers = append(set.keeperSet.Keepers, KeeperID{vm, "1"})
	}
	return set
}

func (set *threeKeepers) open(round uint64, vms ...string) *Owner {
	set.t.Helper()
	epoch := Epoch{Version: 1, Round: round, VM: fmt.Sprint("owner", round)}
	replies := NewReplies([]KeeperSet{set.keeperSet}, Membership{})
	for _, vm := range vms {
		replies.Add(KeeperID{vm, "1"}, set.keepers[vm].Promise(Promise{ID: journalID, Epoch: epoch, Incarnation: "1"}, set.now))
	}
	if !replies.Ready() {
		set.t.Fatalf("round %d: promises are not ready, want a majority", round)
	}
	best, _ := replies.Best()
	return NewOwner(Request{ID: journalID}, epoch, set.keeperSet, replies, best.Journal)
}

func (set *threeKeepers) write(o *Owner, vms ...string) error {
	var errs []error
	for _, vm := range vms {
		for w, ok := o.NextWrite(vm, 10); ok; w, ok = o.NextWrite(vm, 10) {
			reply := set.keepers[vm].Write(w, set.now)
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

// A router is paused between its promises and its first write until two of the
// three keepers have forgotten their promises. Another router begins the answer
// on these two, under a lower epoch, and releases a token. The paused router must
// not install on the keeper that still remembers: because of its higher epoch,
// that journal would win the next takeover and change the caller's token.
func TestForgottenPromiseIsNotUsed(t *testing.T) {
	set := newThreeKeepers(t)
	paused := set.open(2, "a", "b", "c")
	for _, passed := range []time.Duration{testLimits.PromiseRetention, testLimits.EpochRetention} {
		set.now = set.now.Add(passed)
		set.keepers["b"].Sweep(set.now)
		set.keepers["c"].Sweep(set.now)
	}
	other := set.open(1, "b", "c")
	generateToken(other, 7)
	if err := set.write(other, "b", "c"); err != nil || other.Released() != 1 {
		t.Fatalf("the other owner released %d tokens with error %v, want 1 and no error", other.Released(), err)
	}
	generateToken(paused, 8)
	_ = set.write(paused, "a", "b", "c")
	if paused.Released() != 0 || paused.Accepted() {
		t.Errorf("the paused owner released %d tokens or was accepted, want 0 and not accepted", paused.Released())
	}
	if next := set.open(3, "a", "b"); next.Journal().Len() != 1 || next.Journal().Tokens[0] != 7 {
		t.Errorf("the next owner found tokens %v, want 7, which was released", next.Journal().Tokens)
	}
}

// An owner is paused until one of its two keepers forgets the journal as
// abandoned. Then a caller resends the key, and the new answer begins on that
// keeper and the third one. Its epoch must be above the old one. Otherwise a
// takeover that reaches the keeper with the old answer would resume that answer,
// and the caller's tokens would change.
func TestNewAnswerHasHigherEpochThanForgottenOne(t *testing.T) {
	set := newThreeKeepers(t)
	old := set.open(5, "a", "b")
	generateToken(old, 7)
	_ = set.write(old, "a", "b")
	set.now = set.now.Add(testLimits.AbandonedRetention)
	set.keepers["b"].Sweep(set.now)
	lower := Promise{ID: journalID, Epoch: Epoch{1, 4, "owner4"}, Incarnation: "1", IfAbsent: true}
	if reply := set.keepers["b"].Promise(lower, set.now); reply.OK || reply.Promised.Round != 5 {
		t.Errorf("promise of a lower epoch after a forgotten journal: got %+v, want refusal with round 5", reply)
	}
	again := set.open(6, "b", "c")
	generateToken(again, 8)
	_ = set.write(again, "b", "c")
	generateToken(old, 9)
	_ = set.write(old, "a", "b", "c")
	if old.Released() != 1 || again.Released() != 1 {
		t.Errorf("got %d released tokens of the old answer and %d of the new one, want 1 and 1", old.Released(), again.Released())
	}
	if next := set.open(7, "a", "c"); next.Journal().Tokens[0] != 8 {
		t.Errorf("the next owner found tokens %v, want 8, which was released", next.Journal().Tokens)
	}
}

// A keeper that was unreachable when the journal was opened comes back. It may get
// the journal only by a promise after which a majority has confirmed the epoch.
func TestLateKeeperIsReserved(t *testing.T) {
	set := newThreeKeepers(t)
	o := set.open(1, "a", "b")
	generateToken(o, 7)
	if _, ok := o.NextWrite("c", 10); ok {
		t.Error("a keeper was asked for a promise before a majority accepted the owner")
	}
	_ = set.write(o, "a", "b", "c")
	if held := set.keepers["c"].Promise(Promise{ID: journalID, Peek: true, Epoch: Epoch{Version: 1}}, set.now).Found; held {
		t.Error("the late keeper holds the journal before a majority confirmed the epoch")
	}
	_ = set.write(o, "a", "b", "c")
	if held := set.keepers["c"].Promise(Promise{ID: journalID, Peek: true, Epoch: Epoch{Version: 1}}, set.now).Found; !held {
		t.Error("the late keeper does not hold the journal after a majority confirmed the epoch")
	}
}

// Without bounds, a keeper's memory would grow until its VM fails. A full keeper
// must refuse new journals with Full and keep those that it has. Finished and
// abandoned journals and unused promises must expire.
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
			t.Fatalf("installation %d: got refusal %d, want Accepted", i, reply.Refusal)
		}
	}
	for i := range testLimits.MaxJournals {
		promise(i, true)
	}
	if got := promise(9, true).Refusal; got != Full {
		t.Errorf("new journal beyond the limit: got refusal %d, want Full", got)
	}
	if got := promise(9, false).Refusal; got != Accepted {
		t.Errorf("existing journal within the reserve: got refusal %d, want Accepted", got)
	}
	if got := promise(10, false).Refusal; got != Full {
		t.Errorf("existing journal beyond the reserve: got refusal %d, want Full", got)
	}
	install(0, "length")
	install(1, "")
	for _, c := range []struct {
		after time.Duration
		left  int
	}{{testLimits.PromiseRetention, 2}, {testLimits.FinishedRetention, 1}, {testLimits.AbandonedRetention, 0}} {
		k.Sweep(now.Add(c.after))
		if k.Len() != c.left {
			t.Errorf("after %v: got %d journals, want %d", c.after, k.Len(), c.left)
		}
	}
	if k.Bytes() != 0 {
		t.Errorf("got %d bytes without a journal, want 0", k.Bytes())
	}
}

// Two of a journal's five VMs are lost together, the owner moves the journal, and
// then a third of the first five VMs is lost. The first set has lost its majority,
// but the move had sealed it, so the caller's answer must still be found.
func TestThirdLossAfterRepair(t *testing.T) {
	var vms []Candidate
	for i := range 8 {
		vms = append(vms, Candidate{VM: fmt.Sprint("vm", i), Incarnation: "1", Zone: fmt.Sprint("z", i%4)})
	}
	before := Membership{Version: 1, Candidates: vms}
	first := Place(journalID, vms)
	after := Membership{Version: 2, Candidates: without(vms, first[0], first[1])}
	last := Membership{Version: 3, Candidates: without(after.Candidates, first[2])}
	sets := KeeperSets(journalID, []Membership{last, after, before})
	if len(sets) != 3 {
		t.Fatalf("got %d distinct sets, want 3", len(sets))
	}
	found := PromiseReply{OK: true, Found: true, Accepted: Epoch{Version: 2, Round: 1, VM: "o"}}
	repaired, lost := NewReplies(sets, last), NewReplies(sets, last)
	for _, m := range last.Candidates {
		lost.Add(m.id(), PromiseReply{OK: true})
		repaired.Add(m.id(), found)
	}
	if !repaired.Ready() || repaired.Lost() {
		t.Error("a journal that was moved counts as lost with its old set, want ready and not lost")
	}
	if lost.Ready() || !lost.Lost() {
		t.Error("a journal that was not moved does not count as lost with its set, want lost and not ready")
	}
	lost.CallerHasNoTokens = true
	if !lost.Ready() {
		t.Error("a new request waits for a lost set, want ready")
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

// If a zone is lost with all its VMs, each journal must retain a majority of its
// keepers, provided that there are enough zones. With too few zones a journal must
// still have its full number of keepers.
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
				t.Fatalf("%d VMs in %d zones: got %d keepers with %d in one zone, want the test table's numbers", c.vms, c.zones, len(seen), most)
			}
		}
	}
}
