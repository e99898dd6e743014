package rollout

import (
	"maps"
	"time"
)

// Evidence is what all routers together observed of one roll-out.
type Evidence struct {
	Requests map[string]int
	Sent     int
	Former   map[Cell]CountsByServer
	Target   map[Cell]CountsByServer
}

// Servers are counts by server, or group of servers.
type CountsByServer map[string]Counts

func (s CountsByServer) add(server string, c Counts) { s[server] = s[server].plus(c) }

// total is the number of requests of all routes.
func (e *Evidence) total() int {
	n := 0
	for _, r := range e.Requests {
		n += r
	}
	return n
}

// waitingFor is how long a router's word counts of requests that wait: one that is gone
// waits for nothing.
const waitingFor = 1500 * time.Millisecond

// Ledger holds what each life of a router told last. One that has ended goes on to
// count: what it sent was sent. It is not safe for concurrent use.
type Ledger struct{ lives map[uint64]map[string]noted }

// noted is what a life told of one service.
type noted struct {
	told Report
	at   time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{lives: map[uint64]map[string]noted{}} }

// Note takes what a life told. What it observes only grows: a message that was
// overtaken on its way changes nothing.
func (l *Ledger) Note(life uint64, told []Report, now time.Time) {
	for i := range told {
		t := &told[i]
		held, ok := l.lives[life][t.Service]
		if ok && (t.Number < held.told.Number || t.Number == held.told.Number && t.weight() < held.told.weight()) {
			continue
		}
		if l.lives[life] == nil {
			l.lives[life] = map[string]noted{}
		}
		l.lives[life][t.Service] = noted{*t, now}
	}
}

// weight grows with all that is observed.
func (t *Report) weight() int {
	n := t.Sent
	for _, r := range t.Requests {
		n += r
	}
	for i := range t.Rows {
		n += t.Rows[i].Counts.Answers
	}
	return n
}

// Keep forgets what was told of other roll-outs than those under way.
func (l *Ledger) Keep(underWay map[string]uint64) {
	for life, services := range l.lives {
		maps.DeleteFunc(services, func(service string, n noted) bool {
			number, ok := underWay[service]
			return !ok || n.told.Number < number
		})
		if len(services) == 0 {
			delete(l.lives, life)
		}
	}
}

// Sum returns what was told of a roll-out.
func (l *Ledger) Sum(service string, number uint64, now time.Time) Evidence {
	e := NewEvidence()
	for _, services := range l.lives {
		if n, ok := services[service]; ok && n.told.Number == number {
			e.add(&n.told, now.Sub(n.at) <= waitingFor)
		}
	}
	return e
}

// NewEvidence returns an Evidence of nothing.
func NewEvidence() Evidence {
	return Evidence{Requests: map[string]int{}, Former: map[Cell]CountsByServer{}, Target: map[Cell]CountsByServer{}}
}

func (e *Evidence) add(t *Report, waits bool) {
	e.Sent += t.Sent
	for route, n := range t.Requests {
		e.Requests[route] += n
	}
	for i := range t.Rows {
		r := &t.Rows[i]
		cells := e.Former
		if r.Target {
			cells = e.Target
		}
		if cells[r.Cell] == nil {
			cells[r.Cell] = CountsByServer{}
		}
		c := r.Counts
		if !waits {
			c.Waiting = nil
		}
		cells[r.Cell].add(r.Server, c)
	}
}
