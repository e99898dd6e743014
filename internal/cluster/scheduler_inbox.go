package cluster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// schedulerInbox records what the next round of decisions takes into account. Its work for
// a message does not depend on the number of streams or engines that wait. Safe for
// concurrent use.
type schedulerInbox struct {
	mu          sync.Mutex
	lastReports map[string]UseReport // by router; only Incarnation, Seq and Suspected
	// relayedAt holds when a router was last heard through another control VM. It lists
	// only routers that this VM has not heard since.
	relayedAt map[string]time.Time
	list      upstream.List
	leaving   leavingServers
	cordoned  cordon.Names
	next      roundInput
}

// roundInput is what was recorded between two rounds.
type roundInput struct {
	serversChanged bool
	servers        []scheduler.Server // valid if serversChanged is set
	forgotten      []string           // routers that became silent
	// reports holds the latest report of each router. An earlier one that no round has
	// seen is superseded.
	reports map[string]recordedReport
	places  []*placeJob
}

type recordedReport struct {
	incarnation uint64
	report      scheduler.Report
	at          time.Time
}

// placeJob is a request for an engine, whose handler waits for a short time for the round
// that takes it up.
type placeJob struct {
	stream     scheduler.Stream
	statesTerm bool   // its router states the term that it follows
	relay      string // the control VM that relayed it; empty: none
	answer     chan scheduler.Answer
	// settled is set once either the round has answered or the handler has replied.
	settled atomic.Bool
}

// answerWith passes the outcome of a round to the handler. It returns false if the handler
// has already replied that the stream waits.
func (j *placeJob) answerWith(a scheduler.Answer) bool {
	if !j.settled.CompareAndSwap(false, true) {
		return false
	}
	j.answer <- a
	return true
}

// detach ends the handler's wait. It returns the decision if the round has just made it.
func (j *placeJob) detach() scheduler.Answer {
	if j.settled.CompareAndSwap(false, true) {
		return scheduler.Answer{}
	}
	return <-j.answer
}

func newSchedulerInbox() *schedulerInbox {
	return &schedulerInbox{lastReports: map[string]UseReport{}, relayedAt: map[string]time.Time{}, next: roundInput{reports: map[string]recordedReport{}}}
}

// setServers records the list of backend servers. It reports whether the list differs.
func (b *schedulerInbox) setServers(l upstream.List) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	same := b.list.SharesRows(&l)
	b.list = l
	b.next.serversChanged = b.next.serversChanged || !same
	return !same
}

func (b *schedulerInbox) setLeaving(l leavingServers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving, b.next.serversChanged = maps.Clone(l), true
}

func (b *schedulerInbox) setCordoned(names cordon.Names) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cordoned, b.next.serversChanged = names, true
}

// listed returns how many servers of a service are listed, and how many of them are cordoned.
func (b *schedulerInbox) listed(service string) (all, cordoned int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.list.Backends {
		if s := &b.list.Backends[i]; s.Service == service {
			all++
			if b.cordoned.Has(s.ID, s.Address) {
				cordoned++
			}
		}
	}
	return all, cordoned
}

// addReport records a router's report. One that arrives after a later one is ignored.
func (b *schedulerInbox) addReport(from string, report *UseReport, now time.Time) {
	if report.Incarnation == 0 {
		return // from a control process, which sends no streams
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if report.Relayed != "" {
		b.relayedAt[from] = now
	} else {
		delete(b.relayedAt, from)
	}
	last := b.lastReports[from]
	sameProcess := last.Incarnation == report.Incarnation
	if sameProcess && report.Seq < last.Seq {
		return
	}
	if report.SuspectedUnchanged && sameProcess {
		report.Suspected = last.Suspected
	}
	b.lastReports[from] = UseReport{Incarnation: report.Incarnation, Seq: report.Seq, Suspected: report.Suspected}
	r := scheduler.Report{
		Usage: report.Use, LastGrant: report.LastGrant, Avoid: report.Avoid, Suspected: report.Suspected,
		Alive: report.Alive, Withheld: report.Withheld, EngineTimings: report.EngineTimings,
		Speeds: report.Speeds,
	}
	if earlier, ok := b.next.reports[from]; ok && earlier.incarnation == report.Incarnation {
		r.Alive = slices.Concat(earlier.report.Alive, r.Alive)
		slices.Sort(r.Alive)
		r.Alive = slices.Compact(r.Alive)
		r.Speeds = enginespeed.Sum(earlier.report.Speeds, r.Speeds)
		if len(r.EngineTimings) == 0 {
			r.EngineTimings = earlier.report.EngineTimings
		}
	}
	b.next.reports[from] = recordedReport{report.Incarnation, r, now}
}

func (b *schedulerInbox) addPlace(j *placeJob, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next.places = append(b.next.places, j)
	if j.relay != "" {
		b.relayedAt[j.stream.VM] = now
	}
}

// forget records that a router sends no heartbeats, and drops what it sent since the last
// round. A router whose requests are relayed is kept: only this VM cannot hear it.
func (b *schedulerInbox) forget(router string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, ok := b.relayedAt[router]; !ok || now.Sub(at) > presenceTimeout {
		b.drop(router)
	}
}

// forgetRelayed drops the routers whose messages are no longer relayed, and reports whether
// there are any.
func (b *schedulerInbox) forgetRelayed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := false
	for router, at := range b.relayedAt {
		if now.Sub(at) > presenceTimeout {
			b.drop(router)
			dropped = true
		}
	}
	return dropped
}

// drop needs b.mu.
func (b *schedulerInbox) drop(router string) {
	delete(b.lastReports, router)
	delete(b.relayedAt, router)
	delete(b.next.reports, router)
	b.next.places = slices.DeleteFunc(b.next.places, func(j *placeJob) bool { return j.stream.VM == router })
	b.next.forgotten = append(b.next.forgotten, router)
}

// take returns what was recorded and the time as of which it is complete.
func (b *schedulerInbox) take() (roundInput, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := b.next
	b.next = roundInput{reports: map[string]recordedReport{}}
	if in.serversChanged {
		in.servers = b.servers()
	}
	return in, time.Now()
}

// usableServers returns the servers that may receive new work.
func (b *schedulerInbox) usableServers() []scheduler.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers()
}

// servers returns the servers that may receive new streams. A draining server receives
// none, nor does one that leaves by its own statement or is cordoned, whatever the list
// says. It needs b.mu.
func (b *schedulerInbox) servers() []scheduler.Server {
	out := make([]scheduler.Server, 0, len(b.list.Backends))
	for _, s := range b.list.Backends {
		if _, leaving := b.leaving[s.Incarnation()]; !leaving && !s.Draining && !b.cordoned.Has(s.ID, s.Address) {
			out = append(out, scheduler.Server{ID: s.ID, Service: s.Service, Zone: s.Zone, Slots: s.Slots, Version: s.Version})
		}
	}
	return out
}
