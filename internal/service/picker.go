package service

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/backpressure/backpressurehttp"
	"github.com/amaranthshelf/amaranthshelf/internal/call"
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

// picker orders backend servers. Servers that asked for a pause are left out, also if there
// is no other. Servers that failed recently come last; among the
// others, servers in this VM's zone come first, then those with the fewest calls
// in flight from this VM.
type picker struct {
	zone string

	mu       sync.Mutex
	running  map[string]int
	failedAt map[string]time.Time
	accepts  map[string]*backpressure.Server // by name
}

func newPicker(zone string) *picker {
	return &picker{zone: zone, running: map[string]int{}, failedAt: map[string]time.Time{}, accepts: map[string]*backpressure.Server{}}
}

func (p *picker) order(all []Backend, now time.Time) []Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(all), func(b Backend) bool {
		return p.acceptsOf(b).Check(backpressure.NewWork, now).Withholds()
	})
	slices.SortStableFunc(out, func(a, b Backend) int {
		return cmp.Or(
			cmp.Compare(p.failedRecently(a, now), p.failedRecently(b, now)),
			cmp.Compare(p.otherZone(a), p.otherZone(b)),
			cmp.Compare(p.running[a.Name], p.running[b.Name]),
		)
	})
	return out
}

// acceptsOf needs p.mu.
func (p *picker) acceptsOf(b Backend) *backpressure.Server {
	s := p.accepts[b.Name]
	if s == nil {
		s = &backpressure.Server{}
		p.accepts[b.Name] = s
	}
	return s
}

// maySend reports whether a call may be sent to a server now, and counts it. It must be called
// right before the call is written.
func (p *picker) maySend(b Backend) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.acceptsOf(b)
	return s.Use(s.Unlimited(backpressure.NewWork), time.Now())
}

// learn takes the pause that an answer asks for. It reports whether there is a new one.
func (p *picker) learn(b Backend, a *call.Answer) bool {
	h := http.Header{}
	for _, field := range a.Headers {
		h.Add(field.Name, field.Value)
	}
	st := backpressure.Statement{Pause: backpressurehttp.ReadPause(a.Status, h)}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return len(p.acceptsOf(b).Learn(st, 1, now, now)) > 0
}

// pauseLeft returns the time until the first of the servers accepts calls again; 0: one does
// now, or there is none.
func (p *picker) pauseLeft(all []Backend, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Duration
	for _, b := range all {
		until := p.acceptsOf(b).WithheldUntil(now)
		if until.IsZero() {
			return 0
		}
		if left := until.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
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
