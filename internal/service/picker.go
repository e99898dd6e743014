package service

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Backend is one backend server of a service.
type Backend struct {
	Name string
	Addr string
	Zone string
}

// Backends returns the backend servers of a service that may get new calls, which
// excludes those that are leaving.
type Backends interface {
	Service(name string) []Backend
}

// failurePenalty is how long a backend server that failed is tried last. Ejecting
// it instead would leave no server if all fail at once.
const failurePenalty = 2 * time.Second

// picker orders backend servers. Servers that failed recently come last; among the
// others, servers in this VM's zone come first, then those with the fewest calls
// in flight from this VM.
type picker struct {
	zone string

	mu       sync.Mutex
	running  map[string]int
	failedAt map[string]time.Time
}

func newPicker(zone string) *picker {
	return &picker{zone: zone, running: map[string]int{}, failedAt: map[string]time.Time{}}
}

func (p *picker) order(all []Backend, now time.Time) []Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(all)
	slices.SortStableFunc(out, func(a, b Backend) int {
		return cmp.Or(
			cmp.Compare(p.failedRecently(a, now), p.failedRecently(b, now)),
			cmp.Compare(p.otherZone(a), p.otherZone(b)),
			cmp.Compare(p.running[a.Name], p.running[b.Name]),
		)
	})
	return out
}

func (p *picker) failedRecently(b Backend, now time.Time) int {
	if at, ok := p.failedAt[b.Name]; ok && now.Sub(at) < failurePenalty {
		return 1
	}
	return 0
}

func (p *picker) otherZone(b Backend) int {
	if b.Zone == p.zone || b.Zone == "" {
		return 0
	}
	return 1
}

// begin counts a call in flight. The returned function must be called at its end.
func (p *picker) begin(b Backend) func(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[b.Name]++
	return func(failed bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.running[b.Name]--; p.running[b.Name] == 0 {
			delete(p.running, b.Name)
		}
		if failed {
			p.failedAt[b.Name] = time.Now()
			return
		}
		delete(p.failedAt, b.Name)
	}
}
