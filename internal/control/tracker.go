package control

import (
	"maps"
	"sync"
	"time"
)

// driftDivisor defines the margin for clock drift: 1/100 of a lease. The holder of a lease
// subtracts the margin, and a VM that waits for the end of the lease adds it. Monotonic
// clocks of VMs drift apart by less than 0.1 % while they are disciplined; 1 % is ten
// times that. docs/operating/control.md describes the case of a suspended VM.
const driftDivisor = 100

// usableLease returns how long a VM relies on a lease.
func usableLease(lease time.Duration) time.Duration { return lease - lease/driftDivisor }

// expiredLease returns the time after which no VM relies on the lease any more.
func expiredLease(lease time.Duration) time.Duration { return lease + lease/driftDivisor }

// pollReport informs the leader which versions a VM applied when it requested its lease.
type pollReport struct {
	VM       string                    `cbor:"1,keyasint"`
	Versions map[StateMachineID]uint64 `cbor:"2,keyasint,omitempty"`
}

// tracker is the leader's view of the versions that each VM applies. The leader confirms
// each lease together with the VM's report. The view is therefore complete once the leases
// that an earlier leader confirmed have expired.
type tracker struct {
	lease time.Duration
	now   func() time.Time

	mu      sync.Mutex
	term    uint64
	since   time.Time // when the reports of this term began
	vms     map[string]vmReport
	changed chan struct{}
}

type vmReport struct {
	versions map[StateMachineID]uint64
	at       time.Time
}

func newTracker(lease time.Duration) *tracker {
	return &tracker{lease: lease, now: time.Now, vms: map[string]vmReport{}, changed: make(chan struct{})}
}

// startTerm discards all reports if the term has changed.
func (t *tracker) startTerm(term uint64, now time.Time) {
	if t.term != term {
		t.term, t.since = term, now
		clear(t.vms)
	}
}

// report records polls. It must be called before their leases are confirmed.
func (t *tracker) report(term uint64, polls []pollReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.startTerm(term, now)
	for _, p := range polls {
		t.vms[p.VM] = vmReport{versions: p.Versions, at: now}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// inForce reports whether every VM that may hold a valid lease applies the version. The
// channel is closed at the next report.
func (t *tracker) inForce(term uint64, smID StateMachineID, version uint64) (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.startTerm(term, now)
	maps.DeleteFunc(t.vms, func(_ string, v vmReport) bool { return now.Sub(v.at) > expiredLease(t.lease) })
	if now.Sub(t.since) < expiredLease(t.lease) {
		return false, t.changed
	}
	for _, v := range t.vms {
		if v.versions[smID] < version {
			return false, t.changed
		}
	}
	return true, t.changed
}
