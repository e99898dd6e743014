package control

import (
	"maps"
	"sync"
	"time"
)

// driftMargin is what is added to a lease where its end is waited for, and taken
// off it where it is used: monotonic clocks of VMs run apart by less than 0.1 %
// while they are disciplined, 1 % is ten times that. See docs/operating/control.md for
// what a suspended VM does.
const driftMargin = 100

// shortened is how long a VM relies on a lease.
func shortened(lease time.Duration) time.Duration { return lease - lease/driftMargin }

// outlived is when every VM has stopped relying on it.
func outlived(lease time.Duration) time.Duration { return lease + lease/driftMargin }

// pollReport tells the leader what a VM applied when it asked for its lease.
type pollReport struct {
	VM       string                    `cbor:"1,keyasint"`
	Versions map[StateMachineID]uint64 `cbor:"2,keyasint,omitempty"`
}

// tracker is the leader's view of which VM applies what. Each lease is confirmed
// by the leader, with the VM's report, so that the view is complete once the
// leases that an earlier leader confirmed have run out.
type tracker struct {
	lease time.Duration
	now   func() time.Time

	mu      sync.Mutex
	term    uint64
	since   time.Time // when this term's reports began
	vms     map[string]tracked
	changed chan struct{}
}

type tracked struct {
	versions map[StateMachineID]uint64
	at       time.Time
}

func newTracker(lease time.Duration) *tracker {
	return &tracker{lease: lease, now: time.Now, vms: map[string]tracked{}, changed: make(chan struct{})}
}

// enter begins anew where the term differs.
func (t *tracker) enter(term uint64, now time.Time) {
	if t.term != term {
		t.term, t.since = term, now
		clear(t.vms)
	}
}

// report records polls before their lease is confirmed.
func (t *tracker) report(term uint64, polls []pollReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.enter(term, now)
	for _, p := range polls {
		t.vms[p.VM] = tracked{versions: p.Versions, at: now}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// inForce reports whether every VM that may rely on a lease holds the version,
// and otherwise a channel that is closed at the next report.
func (t *tracker) inForce(term uint64, part StateMachineID, version uint64) (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.enter(term, now)
	maps.DeleteFunc(t.vms, func(_ string, v tracked) bool { return now.Sub(v.at) > outlived(t.lease) })
	if now.Sub(t.since) < outlived(t.lease) {
		return false, t.changed
	}
	for _, v := range t.vms {
		if v.versions[part] < version {
			return false, t.changed
		}
	}
	return true, t.changed
}
