package cluster

import (
	"sync"
	"time"
)

// silentVMs are the control VMs that did not answer a request and are not asked for a while.
// Safe for concurrent use.
type silentVMs struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *silentVMs) contains(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until[vm])
}

func (s *silentVMs) add(vm string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[vm] = time.Now().Add(d)
}
