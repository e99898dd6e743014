package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// A new leader does not know which leases the one before it confirmed. It must
// not call a version in force before they have run out, nor while one VM that
// polled applies an older version; a VM that stopped polling holds it up for as
// long as its lease lasts.
func TestTrackerWaitsForUnknownLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := newTracker(testLease)
	tr.now = func() time.Time { return now }
	report := func(term uint64, vm string, version uint64) {
		tr.report(term, []pollReport{{VM: vm, Versions: map[StateMachineID]uint64{PlansStateMachine: version}}})
	}
	steps := []struct {
		what string
		do   func()
		term uint64
		want bool
	}{
		{"a new leader", func() { report(1, "a", 7) }, 1, false},
		{"earlier leases have run out", func() { now = now.Add(outlived(testLease)); report(1, "a", 7) }, 1, true},
		{"a VM with an older version", func() { report(1, "b", 6) }, 1, false},
		{"it applies the version", func() { report(1, "b", 7) }, 1, true},
		{"an old version again, then silence", func() { report(1, "c", 6); now = now.Add(testLease); report(1, "a", 7) }, 1, false},
		{"its lease has run out", func() { now = now.Add(outlived(testLease) - testLease + 1) }, 1, true},
		{"the next leader", func() { report(2, "a", 7) }, 2, false},
	}
	for _, s := range steps {
		s.do()
		if got, _ := tr.inForce(s.term, PlansStateMachine, 7); got != s.want {
			t.Errorf("%s: in force %v", s.what, got)
		}
	}
}

// A voter that reaches no other has a change that a VM lacks. It may hand it on,
// but not as a confirmation: a majority elsewhere may have gone on, and a lease
// would keep the VM admitting by lists that are out of date.
func TestChangeWithoutConfirmationGivesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		v := startVM(t, f, "vm1", testVoters, waltest.New())
		defer f.flying.Wait()
		defer v.kill(f)
		entry, _ := codec.Marshal(Envelope{StateMachine: PlansStateMachine, ID: "1", AtMS: 1, Body: []byte{0x61, 'x'}})
		if _, err := v.machine.Apply(entry); err != nil {
			t.Fatal(err)
		}
		body, _ := codec.Marshal(pollRequest{Versions: map[StateMachineID]uint64{PlansStateMachine: 0}})
		out, err := v.group.watch.serve(t.Context(), "router1", body)
		if r, ok := out.(pollReply); err != nil || !ok || r.Confirmed || len(r.Changes) != 1 {
			t.Errorf("got %+v, %v", out, err)
		}
		<-time.After(time.Second)
		if v.feed.Fresh() {
			t.Error("fresh without a majority")
		}
	})
}
