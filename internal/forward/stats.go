package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Stats count what a Handler did.
type Stats struct {
	Requests   atomic.Uint64
	Repeats    atomic.Uint64 // second sends
	Resumes    atomic.Uint64 // streams that went on at another engine
	FromCopy   atomic.Uint64 // of these, from a copy of their memory
	Probes     atomic.Uint64
	Protected  atomic.Uint64 // copies made on order
	Strays     atomic.Uint64 // answers to other requests, dropped
	Broken     atomic.Uint64 // streams that ended broken
	CallerGone atomic.Uint64

	mu    sync.Mutex
	codes map[result.Code]uint64
}

func (s *Stats) refused(code result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.codes == nil {
		s.codes = map[result.Code]uint64{}
	}
	s.codes[code]++
}

// Snapshot returns all counters by name.
func (s *Stats) Snapshot() map[string]uint64 {
	out := map[string]uint64{
		"requests": s.Requests.Load(), "repeats": s.Repeats.Load(), "resumes": s.Resumes.Load(),
		"resumes_from_copy": s.FromCopy.Load(), "probes": s.Probes.Load(), "stray_answers": s.Strays.Load(), "copies_ordered": s.Protected.Load(),
		"streams_broken": s.Broken.Load(), "callers_gone": s.CallerGone.Load(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for code, n := range s.codes {
		out["refused_"+result.Lookup(code).Name] = n
	}
	return out
}
