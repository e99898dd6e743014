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

// Backends names the backend servers that may get new work now: none that is
// leaving.
type Backends interface {
	Service(name string) []Backend
}

// failedFor is how long a backend server that failed is tried last. Ejecting it
// would leave nothing where all fail at once.
const failedFor = 2 * time.Second

// picker orders backend servers: those that failed lately last, then the own
// zone, then the fewest calls from this VM.
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
			cmp.Compare(p.failed(a, now), p.failed(b, now)),
			cmp.Compare(p.far(a), p.far(b)),
			cmp.Compare(p.running[a.Name], p.running[b.Name]),
		)
	})
	return out
}

func (p *picker) failed(b Backend, now time.Time) int {
	if at, ok := p.failedAt[b.Name]; ok && now.Sub(at) < failedFor {
		return 1
	}
	return 0
}

func (p *picker) far(b Backend) int {
	if b.Zone == p.zone || b.Zone == "" {
		return 0
	}
	return 1
}

// begin counts a call; the returned function ends it.
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
