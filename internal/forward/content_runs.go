package forward

import (
	"maps"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// abandonedRunTime is how long a run that was given up may still be blamed for the death of
// its server. The run goes on at a server that does not notice the closed connection, and a
// server's death is noticed with the next request to it.
const abandonedRunTime = 2 * time.Second

// deadServerTime is how long a dead server is remembered that nobody hears again. Its address
// has left the list by then.
const deadServerTime = time.Minute

// contentRun is a content that runs, or may run, on a server.
type contentRun struct {
	server  *upstream.Server
	digest  uint64
	trial   bool
	late    bool // the server had died before, so that the run is not the cause
	began   time.Time
	endedAt time.Time // when it was given up; zero: it is in flight
	// blamedAt is when it was blamed for a death of its server that is not certain; zero: it
	// was not.
	blamedAt  time.Time
	forgotten bool // it certainly did not, and will not, end its server
}

// contentRuns holds the runs of this VM by server id. It is not safe for concurrent use.
type contentRuns struct {
	byServer map[string]map[*contentRun]struct{}
	dead     map[string]time.Time // when servers died that were not heard since
	sweptAt  time.Time
}

func newContentRuns() contentRuns {
	return contentRuns{byServer: map[string]map[*contentRun]struct{}{}, dead: map[string]time.Time{}}
}

func (c *contentRuns) begin(server *upstream.Server, digest uint64, trial bool) *contentRun {
	_, dead := c.dead[server.ID]
	r := &contentRun{server: server, digest: digest, trial: trial, late: dead, began: time.Now()}
	c.add(r)
	return r
}

func (c *contentRuns) forget(r *contentRun) {
	r.forgotten = true
	c.remove(r)
}

// restore takes back a run that was taken for a death that did not happen.
func (c *contentRuns) restore(r *contentRun) {
	if !r.forgotten {
		c.add(r)
	}
}

func (c *contentRuns) add(r *contentRun) {
	id := r.server.ID
	if c.byServer[id] == nil {
		c.byServer[id] = map[*contentRun]struct{}{}
	}
	c.byServer[id][r] = struct{}{}
}

func (c *contentRuns) remove(r *contentRun) {
	id := r.server.ID
	delete(c.byServer[id], r)
	if len(c.byServer[id]) == 0 {
		delete(c.byServer, id)
	}
}

// abandon keeps a run for abandonedRunTime. It does nothing for a run that was forgotten.
func (c *contentRuns) abandon(r *contentRun, now time.Time) {
	r.endedAt = now
	if now.Sub(c.sweptAt) < abandonedRunTime {
		return
	}
	c.sweptAt = now
	maps.DeleteFunc(c.dead, func(_ string, at time.Time) bool { return now.Sub(at) > deadServerTime })
	for server, runs := range c.byServer {
		maps.DeleteFunc(runs, func(r *contentRun, _ struct{}) bool { return r.tooOld(now) })
		if len(runs) == 0 {
			delete(c.byServer, server)
		}
	}
}

func (r *contentRun) tooOld(now time.Time) bool {
	return !r.endedAt.IsZero() && now.Sub(r.endedAt) > abandonedRunTime
}

// heard records that a server answered.
func (c *contentRuns) heard(server *upstream.Server) { delete(c.dead, server.ID) }

// take records that a server died, and removes and returns the runs that may have caused it:
// all or only those that were abandoned.
func (c *contentRuns) take(server string, abandonedOnly bool, now time.Time) []*contentRun {
	c.dead[server] = now
	var out []*contentRun
	for r := range c.byServer[server] {
		if abandonedOnly && r.endedAt.IsZero() {
			continue
		}
		if !r.tooOld(now) && !r.late {
			out = append(out, r)
		}
		c.remove(r)
	}
	return out
}

// abandoned returns the runs of some contents that were given up.
func (c *contentRuns) abandoned(digests map[uint64]bool, now time.Time) []*contentRun {
	if len(digests) == 0 {
		return nil
	}
	var out []*contentRun
	for _, runs := range c.byServer {
		for r := range runs {
			if digests[r.digest] && !r.endedAt.IsZero() && !r.tooOld(now) {
				out = append(out, r)
			}
		}
	}
	return out
}
