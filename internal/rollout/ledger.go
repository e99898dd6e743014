package rollout

import (
	"maps"
	"time"
)

// Evidence holds what all routers together observed of one roll-out.
type Evidence struct {
	Requests map[string]int
	Sent     int
	Former   map[Cell]CountsByServer
	Target   map[Cell]CountsByServer
	// Streams counts the streams under way by version, of the routers that are heard.
	// LongestStream is the longest time that one has taken.
	Streams       map[string]int
	LongestStream time.Duration
}

// otherStreams returns how many streams are under way at other versions.
func (e *Evidence) otherStreams(version string) int {
	n := 0
	for v, streams := range e.Streams {
		if v != version {
			n += streams
		}
	}
	return n
}

// CountsByServer holds counts by server, or by group of servers.
type CountsByServer map[string]Counts

func (s CountsByServer) add(server string, c Counts) { s[server] = s[server].plus(c) }

// total returns the number of requests over all routes.
func (e *Evidence) total() int {
	n := 0
	for _, r := range e.Requests {
		n += r
	}
	return n
}

// waitingTTL is how long a router's report on waiting requests counts. A router that is
// gone waits for nothing.
const waitingTTL = 1500 * time.Millisecond

// Ledger holds the last report of each incarnation of a router. The reports of an
// incarnation that has ended still count, because its requests were sent. It is not safe
// for concurrent use.
type Ledger struct {
	incarnations map[uint64]map[string]timedReport
}

// timedReport is an incarnation's report on one service and when it came.
type timedReport struct {
	report Report
	at     time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{incarnations: map[uint64]map[string]timedReport{}} }

// Note takes the reports of an incarnation. Observations only grow, so a message that
// arrives out of order changes nothing.
func (l *Ledger) Note(incarnation uint64, reports []Report, now time.Time) {
	for i := range reports {
		t := &reports[i]
		last, ok := l.incarnations[incarnation][t.Service]
		if ok && (t.Number < last.report.Number || t.Number == last.report.Number && t.observations() < last.report.observations()) {
			continue
		}
		if l.incarnations[incarnation] == nil {
			l.incarnations[incarnation] = map[string]timedReport{}
		}
		l.incarnations[incarnation][t.Service] = timedReport{*t, now}
	}
}

// observations returns a number that grows with all that is observed.
func (t *Report) observations() int {
	n := t.Sent
	for _, r := range t.Requests {
		n += r
	}
	for i := range t.Rows {
		n += t.Rows[i].Counts.Answers
	}
	return n
}

// Keep drops the reports on all roll-outs except those under way.
func (l *Ledger) Keep(underWay map[string]uint64) {
	for incarnation, services := range l.incarnations {
		maps.DeleteFunc(services, func(service string, n timedReport) bool {
			number, ok := underWay[service]
			return !ok || n.report.Number < number
		})
		if len(services) == 0 {
			delete(l.incarnations, incarnation)
		}
	}
}

// Sum returns the sum of the reports on a roll-out.
func (l *Ledger) Sum(service string, number uint64, now time.Time) Evidence {
	e := NewEvidence()
	for _, services := range l.incarnations {
		if n, ok := services[service]; ok && n.report.Number == number {
			e.add(&n.report, now.Sub(n.at) <= waitingTTL)
		}
	}
	return e
}

// NewEvidence returns empty Evidence.
func NewEvidence() Evidence {
	return Evidence{Requests: map[string]int{}, Former: map[Cell]CountsByServer{}, Target: map[Cell]CountsByServer{}, Streams: map[string]int{}}
}

// add adds a router's report. heard is set if the router still runs, as far as is known: requests
// and streams under way end with it.
func (e *Evidence) add(t *Report, heard bool) {
	e.Sent += t.Sent
	e.LongestStream = max(e.LongestStream, t.LongestStream)
	if heard {
		for version, n := range t.Streams {
			e.Streams[version] += n
		}
	}
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
		if !heard {
			c.Waiting = nil
		}
		cells[r.Cell].add(r.Server, c)
	}
}
