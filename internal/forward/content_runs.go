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

// contentRun is a content that runs, or may run, on a server.
type contentRun struct {
	server  *upstream.Server
	digest  uint64
	trial   bool
	endedAt time.Time // when it was given up; zero: it is in flight
}

// contentRuns holds the runs of this VM by server id. It is not safe for concurrent use.
type contentRuns struct {
	byServer map[string]map[*contentRun]struct{}
	sweptAt  time.Time
}

func newContentRuns() contentRuns {
	return contentRuns{byServer: map[string]map[*contentRun]struct{}{}}
}

func (c *contentRuns) begin(server *upstream.Server, digest uint64, trial bool) *contentRun {
	r := &contentRun{server: server, digest: digest, trial: trial}
	if c.byServer[server.ID] == nil {
		c.byServer[server.ID] = map[*contentRun]struct{}{}
	}
	c.byServer[server.ID][r] = struct{}{}
	return r
}

func (c *contentRuns) forget(r *contentRun) {
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

// take removes and returns the runs on a server, all or only those that were abandoned.
func (c *contentRuns) take(server string, abandonedOnly bool, now time.Time) []*contentRun {
	var out []*contentRun
	for r := range c.byServer[server] {
		if abandonedOnly && r.endedAt.IsZero() {
			continue
		}
		if !r.tooOld(now) {
			out = append(out, r)
		}
		c.forget(r)
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
