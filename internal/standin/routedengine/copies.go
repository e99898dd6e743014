package routedengine

import (
	"fmt"
	"net/http"
)

// keepOf keeps a copy of another engine's run up to an event.
func (s *Server) keepOf(id string, n uint64) {
	if s != nil {
		s.keep(s.Address+"/"+id, n)
	}
}

func (s *Server) keep(name string, n uint64) {
	if s.is(Dead) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[name] = n
}

// copyOut copies the memory of a run to another engine.
func (s *Server) copyOut(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.Net.drop(s.Address + "/" + r.URL.Query().Get("name"))
		return
	}
	id := r.URL.Query().Get("run")
	s.mu.Lock()
	made, runs := s.made[id]
	s.mu.Unlock()
	target := s.Net.ServerAt(r.URL.Query().Get("to"))
	if !runs || target == nil || target.is(Dead) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.pause(r, s.CopyTime)
	target.keep(s.Address+"/copy-of-"+id, uint64(made))
	_, _ = fmt.Fprint(w, "copy-of-"+id)
}

// takeCopy uses up the copy that "address/id" names.
func (s *Server) takeCopy(from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.copies[from]
	delete(s.copies, from)
	return ok
}

// drop forgets a copy wherever it is kept.
func (n *Net) drop(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.servers {
		s.mu.Lock()
		delete(s.copies, name)
		s.mu.Unlock()
	}
}
