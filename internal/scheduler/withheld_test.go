package scheduler

import (
	"testing"
	"time"
)

// An engine that accepts no request of a VM now must not be granted to its streams, also if
// there is no other, and stays open to the streams of other VMs.
func TestWithheldEnginesAreNotGranted(t *testing.T) {
	s, now := newTestScheduler(1), time.Unix(0, 0)
	s.ReceiveReport("withheld", Report{Withheld: []string{"a0", "b0", "c0"}}, now)
	s.ReceiveReport("vm", Report{}, now)
	mine := stream("mine", now)
	mine.VM = "withheld"
	s.Enqueue(mine, now)
	if d := decisions(s.Decide(now))["mine"]; d.Outcome != NoServer {
		t.Errorf("got outcome %v with engine %q, want no server for a VM from which all engines are withheld", d.Outcome, d.Server)
	}
	s.Enqueue(stream("other", now), now)
	if d := decisions(s.Decide(now))["other"]; d.Outcome != Granted {
		t.Errorf("got outcome %v for a stream of another VM, want an engine", d.Outcome)
	}
}
