package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/overload"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Routers ask one control VM which engine a stream may use: the holder of the newest term
// that they heard of. Routers that know of no term ask the first by id of those that answer,
// which decides as well. See package decider.

// UseReport is a router's report of its use of engines.
type UseReport struct {
	Incarnation uint64                     `cbor:"1,keyasint"` // of the router's process; 0: not a router
	Seq         uint64                     `cbor:"2,keyasint"` // grows with each report
	Use         map[string]placement.Usage `cbor:"3,keyasint,omitempty"`
	// LastGrant is the number of the last grant that Use includes.
	LastGrant     uint64                            `cbor:"4,keyasint,omitempty"`
	Avoid         []string                          `cbor:"5,keyasint,omitempty"` // servers that the router itself found unusable
	EngineTimings map[string]scheduler.EngineTiming `cbor:"6,keyasint,omitempty"` // by service
	Suspected     []string                          `cbor:"7,keyasint,omitempty"` // servers suspected with their zone or by peer reports
	Alive         []string                          `cbor:"8,keyasint,omitempty"` // servers that have just answered the router
	// SuspectedUnchanged reports that Suspected is omitted and the same as in the last
	// report. After the loss of a zone, Suspected names all engines there, and it would be
	// sent with each stream, since a router reports its use with each one.
	SuspectedUnchanged bool `cbor:"9,keyasint,omitempty"`
	// Speeds holds what the router measured on engines since its last report to a control VM that
	// decides, by server id, at most 8. It is sent only while servers state slowdowns.
	Speeds map[string]enginespeed.Observation `cbor:"12,keyasint,omitempty"`
	// Withheld are the servers that the router must not send any request now.
	Withheld []string `cbor:"10,keyasint,omitempty"`
	// Term is the number of the term that the router follows; 0: none.
	Term uint64 `cbor:"11,keyasint,omitempty"`
	// Relayed is the router whose report a control VM relays; empty: the sender's own.
	Relayed string `cbor:"14,keyasint,omitempty"`
}

// PlaceRequest requests an engine for one stream. Its times are relative to the sending,
// because the VMs' clocks may differ.
type PlaceRequest struct {
	Report     UseReport        `cbor:"1,keyasint"`
	Stream     scheduler.Stream `cbor:"2,keyasint"`
	DueMS      int64            `cbor:"3,keyasint"`
	DeadlineMS int64            `cbor:"4,keyasint"`
	// Term is the number of the term that the router follows; 0: none.
	Term uint64 `cbor:"5,keyasint,omitempty"`
	// Relayed is the router whose request a control VM relays; empty: the sender's own.
	Relayed string `cbor:"6,keyasint,omitempty"`
	// Silent is the holder of the term if it did not answer the router.
	Silent string `cbor:"7,keyasint,omitempty"`
	// FirstEventMS is for how long the caller still waits for the first event; 0: until the
	// deadline.
	FirstEventMS int64 `cbor:"8,keyasint,omitempty"`
}

// PlaceDecision is the decision about a stream.
type PlaceDecision struct {
	ID     string           `cbor:"1,keyasint"` // of the request
	Answer scheduler.Answer `cbor:"2,keyasint"`
	// Router is the VM to which the receiver must pass the decision; empty: none.
	Router string `cbor:"3,keyasint,omitempty"`
}

// Totals are the counters of a control VM's scheduler.
type Totals struct {
	Waiting, Late    int // streams
	Granted, Refused uint64
}

// schedulerPollInterval is how often a control VM checks waiting streams. Free engines
// are reported at once; the poll only detects deadlines that have passed.
const schedulerPollInterval = 25 * time.Millisecond

// stateLogInterval is how often the state of a queue is logged while streams wait.
const stateLogInterval = time.Second

// maxAnswerWait bounds the time for which a request for an engine waits for the round that
// takes it up. A later decision is sent as its own message. It is far below placeTimeout,
// after which a router takes the control VM for lost.
const maxAnswerWait = 10 * time.Millisecond

// schedulerService serves a control VM's scheduler to the routers. Safe for concurrent use.
//
// Handlers of messages use only the inbox. They never take mu, which a round holds for as
// long as it takes.
type schedulerService struct {
	t     peer.Transport
	log   zerolog.Logger
	inbox *schedulerInbox
	// learnServers takes the servers that take new work; nil: nobody does.
	learnServers func([]scheduler.Server)
	loop         *decisionLoop

	// waiting is set if streams waited at the end of the last round.
	waiting atomic.Bool
	// levels and refusalStep are those of the last round.
	levels      atomic.Pointer[map[string]overload.Level]
	refusalStep atomic.Int64
	// summary holds the last memoryAndTimings.
	summary atomic.Pointer[schedulerSummary]

	// terms is nil until Hub.Join.
	terms atomic.Pointer[termState]

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	deciding  decidingState
	recent    recentDecisions
	// loggedAt is when the state was last logged.
	loggedAt         time.Time
	granted, refused uint64
}

// schedulerSummary is the scheduler's part of a Summary.
type schedulerSummary struct {
	lowMemory []string
	timings   map[string]scheduler.EngineTiming
}

func newSchedulerService(t peer.Transport, log zerolog.Logger) *schedulerService {
	c := &schedulerService{t: t, log: log, inbox: newSchedulerInbox(), scheduler: scheduler.New(nil), deciding: newDecidingState()}
	c.loop = &decisionLoop{round: c.round}
	c.summary.Store(&schedulerSummary{})
	return c
}

// setServers sets the backend servers.
func (c *schedulerService) setServers(l upstream.List) {
	if c.inbox.setServers(l) {
		c.serversChanged()
	}
}

// setLeaving sets the servers that leave by their own statement.
func (c *schedulerService) setLeaving(l leavingServers) {
	c.inbox.setLeaving(l)
	c.serversChanged()
}

func (c *schedulerService) serversChanged() {
	if c.learnServers != nil {
		c.learnServers(c.inbox.usableServers())
	}
	c.loop.wake()
}

// receiveReport records a router's report for the next round.
func (c *schedulerService) receiveReport(from string, report *UseReport) {
	c.inbox.addReport(from, report, time.Now())
	c.loop.wake()
}

// memoryAndTimings returns the services without memory for backup copies, and the mean
// engine timings of each service. During a round it returns the previous values, because
// replies to heartbeats contain them.
func (c *schedulerService) memoryAndTimings() (lowMemory []string, timings map[string]scheduler.EngineTiming) {
	if c.mu.TryLock() {
		c.summary.Store(&schedulerSummary{c.scheduler.ShortOfMemory(time.Now()), c.scheduler.EngineTimings()})
		c.mu.Unlock()
	}
	s := c.summary.Load()
	return s.lowMemory, s.timings
}

// forget removes a silent router.
func (c *schedulerService) forget(router string) {
	c.inbox.forget(router, time.Now())
	c.loop.wake()
}

func (c *schedulerService) servePlace(ctx context.Context, from string, body []byte) (any, error) {
	var request PlaceRequest
	if err := codec.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if terms := c.terms.Load(); terms != nil && request.Term > 0 {
		terms.follows(request.Term, request.Silent)
		if a, ok := terms.relay(ctx, c.t, from, &request); ok {
			return a, nil
		}
	}
	now := time.Now()
	job := &placeJob{stream: request.Stream, statesTerm: request.Term > 0, answer: make(chan scheduler.Answer, 1)}
	job.stream.VM = from
	if request.Relayed != "" {
		job.stream.VM, job.relay = request.Relayed, from
	}
	job.stream.Due, job.stream.Deadline = now.Add(time.Duration(request.DueMS)*time.Millisecond), now.Add(time.Duration(request.DeadlineMS)*time.Millisecond)
	if request.FirstEventMS != 0 {
		job.stream.FirstEventBy = now.Add(time.Duration(request.FirstEventMS) * time.Millisecond)
	}
	c.inbox.addReport(job.stream.VM, &request.Report, now)
	c.inbox.addPlace(job, now)
	c.loop.wake()
	return job.wait(), nil
}

// wait returns the decision, or Waiting if it will be sent as its own message.
func (j *placeJob) wait() scheduler.Answer {
	timer := time.NewTimer(maxAnswerWait)
	defer timer.Stop()
	select {
	case a := <-j.answer:
		return a
	case <-timer.C:
		return j.detach()
	}
}

func (c *schedulerService) serveUseReport(ctx context.Context, from string, body []byte) (any, error) {
	var report UseReport
	if err := codec.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	router := from
	if report.Relayed != "" {
		router = report.Relayed
	}
	unchanged := report
	c.receiveReport(router, &report)
	if terms := c.terms.Load(); terms != nil {
		terms.follows(report.Term, "")
		terms.relayReport(ctx, c.t, from, unchanged)
	}
	return nil, nil
}

// round applies what was recorded, decides, and answers or sends the decisions.
func (c *schedulerService) round() {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, now := c.inbox.take()
	if in.serversChanged && c.learnServers != nil {
		c.learnServers(in.servers)
	}
	c.applyTerm(now)
	c.deciding.apply(&in, c.scheduler)
	jobs := make(map[string]*placeJob, len(in.places))
	for _, j := range in.places {
		c.ask(j, now)
		if former := jobs[j.stream.ID]; former != nil {
			former.answerWith(scheduler.Answer{})
		}
		jobs[j.stream.ID] = j
	}
	decisions := c.scheduler.Decide(now)
	refusing := c.publishLevels(now)
	for _, d := range decisions {
		c.countDecision(&d)
		if a := c.deciding.asked[d.Stream.ID]; a != nil {
			c.finish(a, c.deciding.stamp(a, c.withLevel(&a.stream, d.Answer)), jobs)
		}
	}
	pending := c.deciding.expireAsked(now)
	if pending {
		c.redirectPending(jobs)
	}
	for id, j := range jobs {
		a := c.deciding.asked[id]
		j.answerWith(c.deciding.stamp(a, c.withLevel(&a.stream, scheduler.Answer{})))
	}
	c.waiting.Store(pending || refusing || c.scheduler.HasWaiting())
	c.logState()
}

// countDecision counts a decision and logs a refusal. It needs c.mu.
func (c *schedulerService) countDecision(d *scheduler.Decision) {
	c.recent.count(d, time.Now())
	switch d.Outcome {
	case scheduler.Granted:
		c.granted++
	case scheduler.Refused, scheduler.TooLarge:
		c.refused++
		c.log.Info().Str("request", d.Stream.ID).Str("router", d.Stream.VM).Str("service", d.Stream.Service).Int("outcome", int(d.Outcome)).
			Dur("left", time.Until(d.Stream.Deadline)).Dur("retry_after", d.RetryAfter).Msg("stream refused")
	case scheduler.Waiting, scheduler.NoServer, scheduler.Moved:
	}
}

// totals sums the state of all services with waiting streams.
func (c *schedulerService) totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	var t Totals
	for _, st := range c.scheduler.States(time.Now()) {
		t.Waiting += st.Interrupted + st.InTime + st.Late
		t.Late += st.Late
	}
	t.Granted, t.Refused = c.granted, c.refused
	return t
}

// poll claims a term when its holder is silent, and causes rounds while streams wait, as
// their time runs out, until ctx ends.
func (c *schedulerService) poll(ctx context.Context) {
	tick := time.NewTicker(schedulerPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if terms := c.terms.Load(); terms != nil {
			terms.tick()
		}
		if c.inbox.forgetRelayed(time.Now()) || c.waiting.Load() {
			c.loop.wake()
		}
	}
}

// logState logs, for each service, what its streams wait for. It needs c.mu.
func (c *schedulerService) logState() {
	now := time.Now()
	if !c.waiting.Load() || now.Sub(c.loggedAt) < stateLogInterval {
		return
	}
	c.loggedAt = now
	for _, st := range c.scheduler.States(now) {
		c.log.Info().Str("service", st.Service).Int("interrupted", st.Interrupted).Int("in_time", st.InTime).Int("late", st.Late).
			Int("servers", st.Servers).Int("usable", st.Usable).Int("reading", st.Prefilling).Int("runs", st.Usage.Requests).
			Int("tokens", st.Usage.Tokens).Int("copies", st.Usage.Copies).Float64("begun_per_s", st.StartRate).
			Dur("per_token", st.EngineTiming.PrefillPerToken).Dur("run", st.EngineTiming.RunDuration).Bool("by_speed", c.scheduler.BySpeed(st.Service, now)).Msg("streams wait")
	}
}
