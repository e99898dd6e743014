package cluster

import (
	"context"
	"errors"
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/callqueue"
	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

const (
	// callGrantTimeout bounds one request for a server, or callGrantTimeoutShare of the
	// objective if that is longer. A call waits for it and must still be answered in time if
	// the control VM does not answer.
	callGrantTimeout      = 50 * time.Millisecond
	callGrantTimeoutShare = 1.0 / 16
	// callDecisionShare is the part of the objective for which a decision may be late.
	callDecisionShare = 1.0 / 8
	// unsupportedGranterTime is how long a control VM is not asked again that does not know
	// the request, since its process is of an older version.
	unsupportedGranterTime = 10 * time.Second
	// askAllFor is how long all calls of a service are asked for after an answer that was no
	// grant. What a router knows of the other VMs' calls is up to two heartbeats old.
	askAllFor = time.Second
	// reportCallsFor is how long calls are reported after the last request for a server. The
	// control VM forgets a silent router after it.
	reportCallsFor = 1100 * time.Millisecond
	// newGranterTime is how long a control VM is told the rejection limits of servers with each
	// request after the first, and how long they are worth it.
	newGranterTime = time.Second
	// callDoneTimeout bounds one report of calls.
	callDoneTimeout = 300 * time.Millisecond
)

var _ forward.CallGrants = (*Member)(nil)

// callClient is the state of a router's requests for servers. Safe for concurrent use.
type callClient struct {
	changed signal
	silent  silentVMs

	mu       sync.Mutex
	lastID   uint64
	waiting  map[string]*waitingCall // by id of the request
	services map[string]*serviceCalls
	// reporting are the control VMs to which a report is in flight.
	reporting map[string]bool
}

type waitingCall struct {
	service string
	decided chan callqueue.Answer
}

// serviceCalls are this VM's calls to one service.
type serviceCalls struct {
	granter     string    // that was asked last
	granterFrom time.Time // when it was asked first
	askedAt     time.Time
	askAllUntil time.Time
	seq         uint64
	lastGrants  map[string]uint64 // that inFlight includes, by granter
	inFlight    map[string]int
	// The rest is what the next report tells.
	done   map[string]int
	doneMS map[string]float64
	stated map[string]statedLoad
	left   []string
	isNews bool
	// rejections are those of the servers that state a rejection limit.
	rejections map[string]ServerRejections
	limits     map[string]ServerRejections // the last ones of all of these servers
	limitsAt   time.Time
}

type statedLoad struct {
	requests int
	slowdown float64
	at       time.Time
}

func newCallClient() *callClient {
	return &callClient{changed: newSignal(), waiting: map[string]*waitingCall{}, services: map[string]*serviceCalls{}, reporting: map[string]bool{}}
}

// service needs c.mu.
func (c *callClient) service(name string) *serviceCalls {
	s := c.services[name]
	if s == nil {
		s = &serviceCalls{lastGrants: map[string]uint64{}, inFlight: map[string]int{}, limits: map[string]ServerRejections{}}
		s.clearNews()
		c.services[name] = s
	}
	return s
}

// reports reports whether the control VM needs news of the calls. Calls that wait there are
// kept for longer than it needs that of others.
func (s *serviceCalls) reports() bool {
	return time.Since(s.askedAt) <= reportCallsFor || len(s.left) > 0
}

func (s *serviceCalls) clearNews() {
	s.done, s.doneMS, s.stated, s.left, s.isNews = map[string]int{}, map[string]float64{}, map[string]statedLoad{}, nil, false
	s.rejections = map[string]ServerRejections{}
}

// GrantCall implements forward.CallGrants.
func (m *Member) GrantCall(ctx context.Context, c callqueue.Call, avoid []string) (callqueue.Answer, bool) {
	granter := m.callGranter(c.Service)
	if granter == "" || m.calls.silent.contains(granter) {
		return callqueue.Answer{}, false
	}
	request, w := m.calls.begin(granter, &c, avoid)
	request.Incarnation = m.incarnation
	a := callqueue.Answer{Outcome: callqueue.Waiting}
	defer func() { m.calls.end(request.ID, w, a.Outcome != callqueue.Waiting) }()
	callCtx, cancel := context.WithTimeout(ctx, max(callGrantTimeout, partOf(c.Objective, callGrantTimeoutShare)))
	defer cancel()
	var reply CallGrantReply
	if err := m.t.Call(callCtx, granter, peer.KindCallGrant, request, &reply); err != nil {
		m.noteCallGrantFailure(ctx, granter, err)
		return callqueue.Answer{}, false
	}
	a = reply.decode()
	m.calls.learn(granter, c.Service, &a)
	for a.Outcome == callqueue.Waiting {
		late := time.NewTimer(a.After + partOf(c.Objective, callDecisionShare))
		select {
		case a = <-w.decided:
			late.Stop()
		case <-late.C:
			m.calls.silent.add(granter, silentGranterTime)
			m.log.Info().Str("request", c.ID).Str("control", granter).Str("service", c.Service).Msg("no decision about a waiting call; deciding on this VM")
			return callqueue.Answer{}, false
		case <-ctx.Done():
			late.Stop()
			return callqueue.Answer{}, false
		}
	}
	return a, true
}

func partOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// noteCallGrantFailure records that a control VM did not answer a request for a server.
func (m *Member) noteCallGrantFailure(ctx context.Context, granter string, err error) {
	if ctx.Err() != nil {
		return // the caller has left
	}
	silence := silentGranterTime
	if remote := (*peer.RemoteError)(nil); errors.As(err, &remote) {
		silence = unsupportedGranterTime
	}
	m.calls.silent.add(granter, silence)
	m.log.Debug().Err(err).Str("control", granter).Msg("no answer to a request for a call's server")
}

// callGranter returns the control VM that grants the calls of a service: the first in the
// service's rendezvous order of those that answered lately. It is mostly another one than
// that which schedules streams. It is empty if none answered.
func (m *Member) callGranter(service string) string {
	vms := m.schedulers(math.MaxInt)
	for _, vm := range vms {
		if placement.RendezvousRank(service, vm, vms) == 0 {
			return vm
		}
	}
	return ""
}

// begin registers a call that is about to be asked for, and returns the request.
func (c *callClient) begin(granter string, call *callqueue.Call, avoid []string) (*CallGrantRequest, *waitingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	// Callers may use the same id for several requests.
	id := strconv.FormatUint(c.lastID, 36) + " " + call.ID
	w := &waitingCall{call.Service, make(chan callqueue.Answer, 4)} // a few changes of the stated time and the decision
	c.waiting[id] = w
	s := c.service(call.Service)
	s.asked(granter, time.Now())
	s.seq++
	return &CallGrantRequest{
		ID: id, Service: call.Service, Workspace: call.Workspace, Priority: call.Priority, Exclude: call.Exclude, Versions: call.Versions, Version: soleVersion(call.Versions),
		DueMS: time.Until(call.Due).Milliseconds(), DeadlineMS: time.Until(call.Deadline).Milliseconds(),
		ExpectedMS: call.Expected.Milliseconds(), ObjectiveMS: call.Objective.Milliseconds(),
		InFlight: maps.Clone(s.inFlight), Seq: s.seq, LastGrant: s.lastGrants[granter], Avoid: avoid,
		Rejections: s.limitsFor(time.Now()),
	}, w
}

// asked notes that a control VM is asked for a server.
func (s *serviceCalls) asked(granter string, now time.Time) {
	if s.granter != granter {
		s.granterFrom = now
	}
	s.granter, s.askedAt = granter, now
}

// limitsFor returns the rejection limits of servers for a control VM that may not know them.
func (s *serviceCalls) limitsFor(now time.Time) map[string]ServerRejections {
	if now.Sub(s.granterFrom) > newGranterTime || now.Sub(s.limitsAt) > newGranterTime {
		return nil
	}
	return maps.Clone(s.limits)
}

// learn takes the answer to a request.
func (c *callClient) learn(granter, service string, a *callqueue.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnLocked(granter, service, a, true)
}

// learnLocked takes an answer or a decision. A grant counts as in flight from here on if a
// call waits for it; otherwise it is given back with the next report. It needs c.mu.
func (c *callClient) learnLocked(granter, service string, a *callqueue.Answer, wanted bool) {
	s := c.service(service)
	if a.Outcome != callqueue.Granted {
		s.askAllUntil = time.Now().Add(askAllFor)
		return
	}
	s.lastGrants[granter] = max(s.lastGrants[granter], a.Number)
	if wanted {
		s.inFlight[a.Server]++
	} else {
		c.note(s)
	}
}

// end removes a call that was asked for. If it has no decision, the granter is told that it
// needs none, and a grant that came meanwhile is given back.
func (c *callClient) end(id string, w *waitingCall, decided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	if decided {
		return
	}
	s := c.service(w.service)
	for len(w.decided) > 0 {
		if a := <-w.decided; a.Outcome == callqueue.Granted {
			s.remove(a.Server)
		}
	}
	s.left = append(s.left, id)
	c.note(s)
}

// note makes the next report tell what has changed. It needs c.mu.
func (c *callClient) note(s *serviceCalls) {
	s.isNews = true
	c.changed.raise()
}

// remove ends a call in flight.
func (s *serviceCalls) remove(server string) {
	if s.inFlight[server]--; s.inFlight[server] <= 0 {
		delete(s.inFlight, server)
	}
}

// serveCallDecision receives the decision about a waiting call.
func (m *Member) serveCallDecision(_ context.Context, from string, body []byte) (any, error) {
	var d CallGrantDecision
	if err := codec.Unmarshal(body, &d); err != nil {
		return nil, err
	}
	m.calls.deliver(from, &d)
	return nil, nil
}

func (c *callClient) deliver(granter string, d *CallGrantDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, w := d.Reply.decode(), c.waiting[d.ID]
	wanted := w != nil && len(w.decided) < cap(w.decided)
	c.learnLocked(granter, d.Service, &a, wanted)
	if wanted {
		w.decided <- a
	}
}

// AsksForAll implements forward.CallGrants.
func (m *Member) AsksForAll(service string) bool {
	m.calls.mu.Lock()
	defer m.calls.mu.Unlock()
	s := m.calls.services[service]
	return s != nil && time.Now().Before(s.askAllUntil)
}

// BeginCall implements forward.CallGrants.
func (m *Member) BeginCall(service, server string) {
	m.calls.mu.Lock()
	defer m.calls.mu.Unlock()
	m.calls.service(service).inFlight[server]++
}

// EndCall implements forward.CallGrants.
func (m *Member) EndCall(service, server string, e forward.CallEnd) {
	c := m.calls
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	s.remove(server)
	if !s.reports() {
		if s.isNews {
			s.clearNews()
		}
		return
	}
	if e.Load != nil {
		s.stated[server] = statedLoad{e.Load.Requests, e.Load.Slowdown, time.Now()}
	}
	if r := e.Rejections; r != nil {
		s.rejections[server] = ServerRejections{r.Limit, s.rejections[server].Count + r.Count}
		s.limits[server] = ServerRejections{Limit: r.Limit}
		s.limitsAt = time.Now()
	}
	if e.Time > 0 {
		s.done[server]++
		s.doneMS[server] += usualTime(&e).Seconds() * 1000
	}
	c.note(s)
}

// usualTime returns the time of a call without its wait for a slot, at the server's usual
// speed. A call that found all slots taken waited for as many calls as were queued before it.
func usualTime(e *forward.CallEnd) time.Duration {
	if e.Load == nil {
		return e.Time
	}
	occupancy := float64(e.Load.Requests+1) / float64(max(1, e.Slots))
	return partOf(e.Time, 1/(max(1, occupancy)*max(1, e.Load.Slowdown)))
}

// RunCallReports reports ended calls until ctx ends. Those that end while a report to their
// control VM is in flight are combined into the next one.
func (m *Member) RunCallReports(ctx context.Context) { m.calls.changed.each(ctx, m.sendCallReports) }

// sendCallReports does not wait for the control VMs: a frozen one must not hold up the reports
// to the others.
func (m *Member) sendCallReports(ctx context.Context) {
	for granter, reports := range m.calls.takeReports() {
		go func() {
			defer m.calls.endReports(granter)
			m.reportCalls(ctx, granter, reports)
		}()
	}
}

func (m *Member) reportCalls(ctx context.Context, granter string, reports []*CallDone) {
	ctx, cancel := context.WithTimeout(ctx, callDoneTimeout)
	defer cancel()
	for _, report := range reports {
		report.Incarnation = m.incarnation
		if err := m.t.Call(ctx, granter, peer.KindCallDone, report, nil); err != nil {
			m.log.Debug().Err(err).Str("control", granter).Msg("calls could not be reported; the next report states those in flight")
		}
	}
}

// endReports allows the next report to a control VM.
func (c *callClient) endReports(granter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reporting, granter)
	c.changed.raise()
}

// takeReports returns the reports that are due, by granter. endReports must be called for each
// granter.
func (c *callClient) takeReports() map[string][]*CallDone {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string][]*CallDone{}
	for name, s := range c.services {
		if !s.isNews || c.reporting[s.granter] || !s.reports() {
			continue
		}
		s.seq++
		report := &CallDone{
			Seq: s.seq, Service: name, LastGrant: s.lastGrants[s.granter], InFlight: maps.Clone(s.inFlight),
			Done: s.done, DoneMS: s.doneMS, Left: s.left, Stated: map[string]StatedLoad{}, Rejections: s.rejections,
		}
		for id, st := range s.stated {
			report.Stated[id] = StatedLoad{st.requests, st.slowdown, time.Since(st.at).Milliseconds()}
		}
		s.clearNews()
		out[s.granter] = append(out[s.granter], report)
	}
	for granter := range out {
		c.reporting[granter] = true
	}
	return out
}

// soleVersion returns the version of a list with one; empty: it has several or none.
func soleVersion(versions []string) string {
	if len(versions) != 1 {
		return ""
	}
	return versions[0]
}
