package upstream

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
)

// fragileFor is how long a service counts as fragile after one of its servers has stated a
// rejection limit. Each of its answers states it.
const fragileFor = 5 * time.Second

// noteFragile records that an answer of a service states a rejection limit. It needs f.mu.
func (f *Fleet) noteFragile(s *Server) {
	if _, fragile := s.accepts.RejectionLimit(); fragile {
		f.fragileAt[s.Service] = f.now()
	}
}

// IsFragile reports whether servers of a service have stated of late that they end if they have to
// refuse many requests.
func (f *Fleet) IsFragile(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.fragileAt[service]
	return ok && f.now().Sub(at) <= fragileFor
}

// RejectionLimit returns how many requests a server can refuse in a second without ending, and
// false if it has stated none.
func (f *Fleet) RejectionLimit(s *Server) (perSecond float64, fragile bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.accepts.RejectionLimit()
}

// WithoutUngranted removes the servers to which this VM may send nothing without a grant. The
// positions in both lists stay equal.
func WithoutUngranted[C any](f *Fleet, servers []*Server, candidates []C) ([]*Server, []C) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, kept := f.now(), 0
	for i, s := range servers {
		if !s.accepts.MaySendUngranted(f.sender(s), s.Slots, now) {
			continue
		}
		servers[kept], candidates[kept] = s, candidates[i]
		kept++
	}
	return servers[:kept], candidates[:kept]
}

// sender returns this VM as one of those that send to a server. It needs f.mu.
func (f *Fleet) sender(s *Server) backpressure.Sender {
	return backpressure.Sender{VMs: f.routerCount.most(), Rank: f.rank(s), InFlight: s.use.Requests}
}

// Refusing returns the ids of a service's servers that have refused a request so lately that
// nothing is to be sent there without a grant, sorted.
func (f *Fleet) Refusing(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var out []string
	for id, s := range f.servers {
		if s.Service == service && s.accepts.Refuses(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
