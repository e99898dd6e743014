package routedengine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// fragileDowntime is how long a server is down after it had to refuse too many calls.
const fragileDowntime = 3 * time.Second

// fragility is the state of a server that ends if it has to refuse too many calls in a second.
type fragility struct {
	stated      bool
	limit, room int // refusals that it bears in a second, calls that may wait
	active      int // calls that run or wait
	refused     []time.Time
	most, falls int
	slots       chan struct{}
}

// StateRejectionLimit makes a server of calls state that it ends if it has to refuse more than
// limit calls in a second. Beyond those in its slots it lets room calls wait.
func (s *Server) StateRejectionLimit(limit, room int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fragility = fragility{stated: true, limit: limit, room: room, slots: make(chan struct{}, s.Slots)}
}

// Refusals returns the largest number of calls that the server has refused in a second, and how
// often it has ended for that.
func (s *Server) Refusals() (most, falls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fragility.most, s.fragility.falls
}

// stateFragility writes the rejection limit to an answer. It needs s.mu.
func (s *Server) stateFragility(w http.ResponseWriter) {
	if s.fragility.stated {
		w.Header().Set(forward.HeaderRejections, strconv.Itoa(s.fragility.limit))
	}
}

// answerFragileCall answers a call if there is room for it. It returns false if the server states
// no rejection limit.
func (s *Server) answerFragileCall(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := &s.fragility
	if !f.stated {
		s.mu.Unlock()
		return false
	}
	slots := f.slots
	full := f.active >= s.Slots+f.room
	falls := full && f.refuse(time.Now())
	if !full {
		f.active++
	}
	s.mu.Unlock()
	if falls {
		s.Set(Dead)
		time.AfterFunc(fragileDowntime, func() { s.Set(Alive) })
	}
	if full {
		s.Refuse(w, r)
		return true
	}
	select {
	case slots <- struct{}{}:
		s.AnswerCall(w, r, http.StatusOK)
		<-slots
	case <-r.Context().Done():
	}
	s.mu.Lock()
	f.active--
	s.mu.Unlock()
	return true
}

// refuse counts a refusal, and reports whether the server ends for it.
func (f *fragility) refuse(now time.Time) bool {
	f.refused = append(f.refused, now)
	for now.Sub(f.refused[0]) > time.Second {
		f.refused = f.refused[1:]
	}
	f.most = max(f.most, len(f.refused))
	if len(f.refused) <= f.limit {
		return false
	}
	f.refused = nil
	f.falls++
	return true
}
