package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// A new leader does not know which leases the former leader confirmed. It must not report a
// version as in force before these leases have expired, nor while a VM that polled applies
// an older version. A VM that stopped polling delays the report until its lease expires.
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
		{"earlier leases have expired", func() { now = now.Add(expiredLease(testLease)); report(1, "a", 7) }, 1, true},
		{"a VM with an older version", func() { report(1, "b", 6) }, 1, false},
		{"the VM applies the version", func() { report(1, "b", 7) }, 1, true},
		{"another VM reports an old version, then falls silent", func() { report(1, "c", 6); now = now.Add(testLease); report(1, "a", 7) }, 1, false},
		{"the lease of the silent VM has expired", func() { now = now.Add(expiredLease(testLease) - testLease + 1) }, 1, true},
		{"the next leader", func() { report(2, "a", 7) }, 2, false},
	}
	for _, s := range steps {
		s.do()
		if got, _ := tr.inForce(s.term, PlansStateMachine, 7); got != s.want {
			t.Errorf("%s: got in force %v, want the opposite", s.what, got)
		}
	}
}

// A voter that reaches no other voter has a change that a VM lacks. It may send the change,
// but without a confirmation. A majority elsewhere may have committed further changes, and a
// lease would let the VM admit work under outdated lists.
func TestChangeWithoutConfirmationGivesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFabric()
		v := startVM(t, f, "vm1", testVoters, waltest.New())
		defer f.inFlight.Wait()
		defer v.kill(f)
		entry, _ := codec.Marshal(Envelope{StateMachine: PlansStateMachine, ID: "1", AtMS: 1, Body: []byte{0x61, 'x'}})
		if _, err := v.state.Apply(entry); err != nil {
			t.Fatal(err)
		}
		body, _ := codec.Marshal(pollRequest{Versions: map[StateMachineID]uint64{PlansStateMachine: 0}})
		out, err := v.group.watch.serve(t.Context(), "router1", body)
		if r, ok := out.(pollReply); err != nil || !ok || r.Confirmed || len(r.Changes) != 1 {
			t.Errorf("got answer %+v and error %v, want one unconfirmed change", out, err)
		}
		<-time.After(time.Second)
		if v.feed.Fresh() {
			t.Error("VM is fresh without a majority, want not fresh")
		}
	})
}
