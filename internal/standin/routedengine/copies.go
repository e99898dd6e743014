package routedengine

import (
	"fmt"
	"net/http"
)

// keepCopyOf stores a copy of another engine's run. memory is the request whose prompt it has.
func (s *Server) keepCopyOf(id, memory string) {
	if s != nil {
		s.storeCopy(s.Address+"/"+id, memory)
	}
}

func (s *Server) storeCopy(name, memory string) {
	if s.inState(Dead) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[name] = memory
}

// copyOnOrder copies the memory of a run to another engine, or drops such a copy.
func (s *Server) copyOnOrder(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.Net.dropCopy(s.Address + "/" + r.URL.Query().Get("name"))
		return
	}
	id := r.URL.Query().Get("run")
	s.mu.Lock()
	memory := s.active[id]
	_, runs := s.eventsMade[id]
	s.mu.Unlock()
	target := s.Net.ServerAt(r.URL.Query().Get("to"))
	if !runs || target == nil || target.inState(Dead) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.pause(r, s.CopyTime)
	target.storeCopy(s.Address+"/copy-of-"+id, memory)
	_, _ = fmt.Fprint(w, "copy-of-"+id)
}

// consumeCopy removes the copy that from names as "address/id", and returns the request whose
// prompt it has. It reports whether the server had one.
func (s *Server) consumeCopy(from string) (memory string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	memory, ok = s.copies[from]
	delete(s.copies, from)
	return memory, ok
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
