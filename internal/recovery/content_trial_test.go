package recovery

import (
	"testing"
	"time"
)

// Guards against a content that ends one server for each VM that tries it, and against two
// contents whose trials are blamed for each other's crash.
func TestContentsAreTriedOneAtATime(t *testing.T) {
	trials := NewContentTrials()
	now := time.Unix(1000, 0)
	if wait := trials.Request(7, "vm1", "votes", false, now); wait != 0 {
		t.Fatalf("got a wait of %v, want a trial", wait)
	}
	for _, tt := range []struct {
		name    string
		digest  uint64
		service string
		granted bool
	}{
		{"the same content", 7, "votes", false},
		{"another content of the service", 8, "votes", false},
		{"a content of another service", 9, "parts", true},
	} {
		if wait := trials.Request(tt.digest, "vm2", tt.service, false, now); (wait == 0) != tt.granted {
			t.Errorf("%s: got a wait of %v, want granted %t", tt.name, wait, tt.granted)
		}
	}
	trials.End(7, "vm2", true)
	if wait := trials.Request(8, "vm2", "votes", false, now); wait == 0 {
		t.Error("got a trial after a VM that holds none ended it")
	}
	trials.End(7, "vm1", false)
	if wait := trials.Request(8, "vm2", "votes", false, now); wait != 0 {
		t.Errorf("got a wait of %v after the end of the trial, want a trial", wait)
	}
}

// Guards against trials that block a service: the VM that was granted one has died. Without
// a result the next trial of the same content is later each time, without a run it is free.
func TestTrialsWithoutResult(t *testing.T) {
	trials := NewContentTrials()
	now := time.Unix(1000, 0)
	pause := firstTrialPause
	for range 4 {
		if wait := trials.Request(7, "vm1", "votes", false, now); wait != 0 {
			t.Fatalf("got a wait of %v, want a trial", wait)
		}
		afterLease := now.Add(callTrialLease + time.Millisecond)
		if wait := trials.Request(8, "vm2", "votes", false, afterLease); wait != 0 {
			t.Errorf("got a wait of %v after the lease of a trial, want another content's trial", wait)
		}
		trials.End(8, "vm2", true)
		if wait, want := trials.Request(7, "vm2", "votes", false, afterLease), pause-callTrialLease-time.Millisecond; wait != want {
			t.Errorf("got a wait of %v, want %v", wait, want)
		}
		now, pause = now.Add(pause), 2*pause
	}
	if wait := trials.Request(9, "vm1", "parts", false, now); wait != 0 {
		t.Fatalf("got a wait of %v, want a trial", wait)
	}
	trials.End(9, "vm1", true)
	if wait := trials.Request(9, "vm1", "parts", false, now); wait != 0 {
		t.Errorf("got a wait of %v after a trial that did not run, want a trial", wait)
	}
}
