package routedengine

import (
	"fmt"
	"net/http"
)

// keepCopyOf stores a copy of another engine's run up to an event.
func (s *Server) keepCopyOf(id string, n uint64) {
	if s != nil {
		s.storeCopy(s.Address+"/"+id, n)
	}
}

func (s *Server) storeCopy(name string, n uint64) {
	if s.inState(Dead) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[name] = n
}

// copyOnOrder copies the memory of a run to another engine, or drops such a copy.
func (s *Server) copyOnOrder(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.Net.dropCopy(s.Address + "/" + r.URL.Query().Get("name"))
		return
	}
	id := r.URL.Query().Get("run")
	s.mu.Lock()
	made, runs := s.eventsMade[id]
	s.mu.Unlock()
	target := s.Net.ServerAt(r.URL.Query().Get("to"))
	if !runs || target == nil || target.inState(Dead) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.pause(r, s.CopyTime)
	target.storeCopy(s.Address+"/copy-of-"+id, uint64(made))
	_, _ = fmt.Fprint(w, "copy-of-"+id)
}

// consumeCopy removes the copy that from names as "address/id". It reports whether the
// server had one.
func (s *Server) consumeCopy(from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.copies[from]
	delete(s.copies, from)
	return ok
}

// dropCopy removes a copy from all servers.
func (n *Net) dropCopy(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.servers {
		s.mu.Lock()
		delete(s.copies, name)
		s.mu.Unlock()
	}
}
