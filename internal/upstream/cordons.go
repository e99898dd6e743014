package upstream

import (
	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
)

// A cordoned server is treated as one that leaves by its own statement: it gets no streams,
// copies, resumes or calls, and what runs there goes on. The list of servers may have ten
// thousand rows, and the cordoned ones are few. They are therefore looked up once for each
// change of either, not with each request.

// cordons are the cordoned servers of a Fleet.
type cordons struct {
	names    cordon.Names    // ids and addresses
	ids      map[string]bool // of the listed servers that names match
	withheld uint64          // requests that were not sent to one of them
}

// SetCordoned sets the ids and addresses of the servers that are cordoned.
func (f *Fleet) SetCordoned(names cordon.Names) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cordons.names = names
	f.matchCordons()
}

// matchCordons looks up the cordoned servers in the list. It needs f.mu.
func (f *Fleet) matchCordons() {
	f.cordons.ids = map[string]bool{}
	if len(f.cordons.names) > 0 {
		for i := range f.list.rows {
			if row := &f.list.rows[i]; f.cordons.names.Has(row.ID, row.Address) {
				f.cordons.ids[row.ID] = true
			}
		}
	}
	for id, s := range f.servers {
		s.cordoned = f.cordons.ids[id]
	}
}

// withholdsWork reports whether a request must not be sent to a server since it is cordoned,
// and counts the request. It needs f.mu.
func (f *Fleet) withholdsWork(s *Server, w backpressure.Work) bool {
	if s.cordoned && w == backpressure.NewWork {
		f.cordons.withheld++
		return true
	}
	return false
}

// CordonWithheld returns the number of requests that were not sent to a server because it is
// cordoned: those for which that server was already chosen.
func (f *Fleet) CordonWithheld() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cordons.withheld
}
