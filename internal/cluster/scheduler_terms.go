package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/decider"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// askedTTL is how long a stream is remembered after its router last asked for it. Routers
// ask each placeRetryInterval.
const askedTTL = 3 * time.Second

// askedStream is a stream that a router asked for and that is not decided.
type askedStream struct {
	stream scheduler.Stream
	// statesTerm is set if the router states the term that it follows. Without it the
	// stream is decided here in any case, as before terms existed.
	statesTerm bool
	// relay is the control VM that relayed the request; empty: the router sent it.
	relay     string
	renewedAt time.Time
	// queued is set if the scheduler holds the stream. Otherwise it waits until this VM
	// claims a term or knows which control VM to ask.
	queued bool
}

// decidingState is the state of a control VM's decisions that outlives its scheduler. It is
// used by rounds only.
type decidingState struct {
	term    decider.Term // under which the scheduler decides; zero: this VM holds none
	asked   map[string]*askedStream
	servers []scheduler.Server
	reports map[string]scheduler.Report // by router, as last received
}

func newDecidingState() decidingState {
	return decidingState{asked: map[string]*askedStream{}, reports: map[string]scheduler.Report{}}
}

// apply passes what was recorded to the scheduler, except for the requests.
func (d *decidingState) apply(in *roundInput, s *scheduler.Scheduler) {
	if in.serversChanged {
		d.servers = in.servers
		s.SetServers(in.servers)
	}
	for _, router := range in.forgotten {
		s.Forget(router)
		delete(d.reports, router)
		maps.DeleteFunc(d.asked, func(_ string, a *askedStream) bool { return a.stream.VM == router })
	}
	// Sorted, since a schedule must depend on the messages only.
	for _, router := range slices.Sorted(maps.Keys(in.reports)) {
		r := in.reports[router]
		r.report.LastGrant = decider.GrantOf(d.term.Number, r.report.LastGrant)
		d.reports[router] = r.report
		s.ReceiveReport(router, r.report, r.at)
	}
}

// applyTerm adopts the term that this VM holds. After a step down it replaces the scheduler:
// grants of the former term are void, and streams whose routers state terms wait to be
// sent elsewhere.
func (c *schedulerService) applyTerm(now time.Time) {
	terms, d := c.terms.Load(), &c.deciding
	if terms == nil {
		return
	}
	held := terms.held()
	if held == d.term {
		return
	}
	former := d.term
	d.term = held
	if former.Number != 0 {
		c.scheduler = scheduler.New(nil)
		c.scheduler.SetServers(d.servers)
		for _, router := range slices.Sorted(maps.Keys(d.reports)) {
			c.scheduler.ReceiveReport(router, d.reports[router], now)
		}
		for _, a := range d.asked {
			a.queued = false
		}
	}
	for _, a := range d.sortedAsked() {
		c.enqueue(a, now)
	}
}

// sortedAsked returns the streams by due time.
func (d *decidingState) sortedAsked() []*askedStream {
	return slices.SortedFunc(maps.Values(d.asked), func(a, b *askedStream) int {
		return cmp.Or(a.stream.Due.Compare(b.stream.Due), cmp.Compare(a.stream.ID, b.stream.ID))
	})
}

// enqueue passes a stream to the scheduler if this VM decides about it.
func (c *schedulerService) enqueue(a *askedStream, now time.Time) {
	if a.statesTerm && c.deciding.term.Number == 0 {
		return
	}
	a.queued = true
	c.scheduler.Enqueue(a.stream, now)
}

// ask records a request for an engine.
func (c *schedulerService) ask(j *placeJob, now time.Time) {
	a := &askedStream{stream: j.stream, statesTerm: j.statesTerm && c.terms.Load() != nil, relay: j.relay, renewedAt: now}
	c.deciding.asked[j.stream.ID] = a
	c.enqueue(a, now)
}

// expireAsked forgets the streams that no router asks for any longer. It reports whether
// any stream waits for a term.
func (d *decidingState) expireAsked(now time.Time) (pending bool) {
	for id, a := range d.asked {
		if now.Sub(a.renewedAt) > askedTTL {
			delete(d.asked, id)
			continue
		}
		pending = pending || !a.queued
	}
	return pending
}

// redirectPending tells the routers of streams that wait for a term which control VM to ask.
func (c *schedulerService) redirectPending(jobs map[string]*placeJob) {
	terms := c.terms.Load()
	if terms == nil {
		return
	}
	answer, ok := terms.redirect()
	if !ok {
		return
	}
	for _, a := range c.deciding.sortedAsked() {
		if !a.queued {
			c.log.Info().Str("request", a.stream.ID).Str("router", a.stream.VM).Uint64("term", answer.Term).Str("holder", answer.Holder).Msg("stream moved to another control VM")
			c.finish(a, answer, jobs)
		}
	}
}

// finish answers the request for a stream, or sends the decision as its own message.
func (c *schedulerService) finish(a *askedStream, answer scheduler.Answer, jobs map[string]*placeJob) {
	id := a.stream.ID
	delete(c.deciding.asked, id)
	j := jobs[id]
	delete(jobs, id)
	if j != nil && j.answerWith(answer) {
		return
	}
	to, decision := a.stream.VM, PlaceDecision{ID: id, Answer: answer}
	if a.relay != "" {
		to, decision.Router = a.relay, a.stream.VM
	}
	if err := c.t.Send(to, peer.KindPlaceDecision, decision); err != nil {
		// The router repeats its request; a grant that it never received expires.
		c.log.Debug().Err(err).Str("request", id).Str("router", a.stream.VM).Msg("decision about a stream could not be sent; its router asks again")
	}
}

// stamp states the term of an answer. An answer to a router that states no term is
// unchanged.
func (d *decidingState) stamp(a *askedStream, answer scheduler.Answer) scheduler.Answer {
	if !a.statesTerm || !a.queued {
		return answer
	}
	answer.Term, answer.Holder = d.term.Number, d.term.Holder
	if answer.Outcome == scheduler.Granted {
		answer.Number = decider.GrantNumber(d.term.Number, answer.Number)
	}
	return answer
}
