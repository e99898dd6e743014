package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Routers ask one control VM which engine a stream may go to: the first by id of those
// that answer. Each decides for itself which one that is. Where two are asked at the
// same time, for as long as their silence is noticed differently, both decide on what
// the routers last told them, and some prompts meet on an engine.

// Told is what a router tells of its use of engines.
type UseReport struct {
	Incarnation uint64                     `cbor:"1,keyasint"` // of the process
	Seq         uint64                     `cbor:"2,keyasint"` // grows with each message
	Use         map[string]placement.Usage `cbor:"3,keyasint,omitempty"`
	// Taken is the last grant that Use includes.
	LastGrant uint64                            `cbor:"4,keyasint,omitempty"`
	Avoid     []string                          `cbor:"5,keyasint,omitempty"`
	Paces     map[string]scheduler.EngineTiming `cbor:"6,keyasint,omitempty"`
	Suspected []string                          `cbor:"7,keyasint,omitempty"`
	Alive     []string                          `cbor:"8,keyasint,omitempty"`
	// SameDoubt: Doubt is left out, and as it was last told. While a zone is lost it
	// names all of its engines, and a router tells of its use with each stream.
	SuspectedUnchanged bool `cbor:"9,keyasint,omitempty"`
}

// PlaceAsk asks for an engine for one stream. Times are from now, so that clocks need
// not agree.
type PlaceRequest struct {
	Report     UseReport        `cbor:"1,keyasint"`
	Stream     scheduler.Stream `cbor:"2,keyasint"`
	DueMS      int64            `cbor:"3,keyasint"`
	DeadlineMS int64            `cbor:"4,keyasint"`
}

// Placed is what was decided about a stream.
type PlaceDecision struct {
	ID     string           `cbor:"1,keyasint"` // of the request
	Answer scheduler.Answer `cbor:"2,keyasint"`
}

// Totals are what a control VM's scheduler did, and has to do.
type Totals struct {
	Waiting, Late    int // streams
	Granted, Refused uint64
}

// lookEvery is how often a control VM looks at streams that wait: what they wait for
// is told at once, and only time runs out unnoticed.
const lookEvery = 25 * time.Millisecond

// stateEvery is how often the state of a queue is logged while streams wait.
const stateEvery = time.Second

// schedule is a control VM's scheduler with its messages. Safe for concurrent use.
type schedule struct {
	t   peer.Transport
	log zerolog.Logger

	mu    sync.Mutex
	s     *scheduler.Scheduler
	turns map[string]UseReport // the last of each router, for its life, turn and doubt
	// logged is when the state was last logged.
	logged           time.Time
	granted, refused uint64
}

func newSchedule(t peer.Transport, log zerolog.Logger) *schedule {
	return &schedule{t: t, log: log, s: scheduler.New(nil), turns: map[string]UseReport{}}
}

// setServers takes a list of backend servers. A server that is leaving gets nothing new.
func (c *schedule) setServers(l upstream.List) {
	servers := make([]scheduler.Server, 0, len(l.Backends))
	for _, b := range l.Backends {
		if !b.Draining {
			servers = append(servers, scheduler.Server{ID: b.ID, Service: b.Service, Zone: b.Zone, Slots: b.Slots, Version: b.Version})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.SetServers(servers)
	c.run()
}

// told takes what a router tells. A message that was overtaken on its way changes
// nothing.
func (c *schedule) told(from string, t *UseReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(from, t)
	c.run()
}

// note needs c.mu.
func (c *schedule) note(from string, t *UseReport) {
	if t.Incarnation == 0 {
		return // a control process, which sends no streams
	}
	last := c.turns[from]
	if last.Incarnation == t.Incarnation && t.Seq < last.Seq {
		return
	}
	if t.SuspectedUnchanged && last.Incarnation == t.Incarnation {
		t.Suspected = last.Suspected
	}
	c.turns[from] = UseReport{Incarnation: t.Incarnation, Seq: t.Seq, Suspected: t.Suspected}
	c.s.ReceiveReport(from, scheduler.Report{Usage: t.Use, LastGrant: t.LastGrant, Avoid: t.Avoid, Suspected: t.Suspected, Alive: t.Alive, EngineTimings: t.Paces}, time.Now())
}

// outlook names the services that have no memory for copies, and what is known of the
// pace of all.
func (c *schedule) outlook() (short []string, paces map[string]scheduler.EngineTiming) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.s.ShortOfMemory(time.Now()), c.s.EngineTimings()
}

// forget drops a router that is silent.
func (c *schedule) forget(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.turns, router)
	c.s.Forget(router)
}

func (c *schedule) servePlace(_ context.Context, from string, body []byte) (any, error) {
	var a PlaceRequest
	if err := codec.Unmarshal(body, &a); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(from, &a.Report)
	now, st := time.Now(), a.Stream
	st.VM = from
	st.Due, st.Deadline = now.Add(time.Duration(a.DueMS)*time.Millisecond), now.Add(time.Duration(a.DeadlineMS)*time.Millisecond)
	c.s.Enqueue(st, now)
	return c.runFor(st.ID), nil
}

func (c *schedule) serveUse(_ context.Context, from string, body []byte) (any, error) {
	var t UseReport
	if err := codec.Unmarshal(body, &t); err != nil {
		return nil, err
	}
	c.told(from, &t)
	return nil, nil
}

// runFor decides, and returns what became of one stream; the others are told. It needs
// c.mu.
func (c *schedule) runFor(id string) scheduler.Answer {
	var out scheduler.Answer
	for _, d := range c.s.Decide(time.Now()) {
		c.count(&d)
		if d.Stream.ID == id {
			out = d.Answer
			continue
		}
		c.tell(d.Stream, d.Answer)
	}
	return out
}

// count needs c.mu.
func (c *schedule) count(d *scheduler.Decision) {
	switch d.Outcome {
	case scheduler.Granted:
		c.granted++
	case scheduler.Refused, scheduler.TooLarge:
		c.refused++
		c.log.Info().Str("request", d.Stream.ID).Str("router", d.Stream.VM).Str("service", d.Stream.Service).Int("outcome", int(d.Outcome)).
			Dur("left", time.Until(d.Stream.Deadline)).Dur("retry_after", d.RetryAfter).Msg("stream refused")
	case scheduler.Waiting, scheduler.NoServer:
	}
}

// run needs c.mu.
func (c *schedule) run() { c.runFor("") }

func (c *schedule) tell(st *scheduler.Stream, a scheduler.Answer) {
	if err := c.t.Send(st.VM, peer.KindPlaced, PlaceDecision{st.ID, a}); err != nil {
		// The router asks again; a grant that it never heard of expires.
		c.log.Debug().Err(err).Str("request", st.ID).Str("router", st.VM).Msg("decision not told")
	}
}

// totals sums the state of all services whose streams wait here.
func (c *schedule) totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	var t Totals
	for _, st := range c.s.States(time.Now()) {
		t.Waiting += st.Interrupted + st.InTime + st.Late
		t.Late += st.Late
	}
	t.Granted, t.Refused = c.granted, c.refused
	return t
}

// look decides as time runs out for streams that wait, until ctx ends.
func (c *schedule) look(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		if c.s.HasWaiting() {
			c.run()
			c.logState()
		}
		c.mu.Unlock()
	}
}

// logState tells what streams wait for. It needs c.mu.
func (c *schedule) logState() {
	now := time.Now()
	if now.Sub(c.logged) < stateEvery {
		return
	}
	c.logged = now
	for _, st := range c.s.States(now) {
		c.log.Info().Str("service", st.Service).Int("interrupted", st.Interrupted).Int("in_time", st.InTime).Int("late", st.Late).
			Int("servers", st.Servers).Int("usable", st.Usable).Int("reading", st.Prefilling).Int("runs", st.Usage.Requests).
			Int("tokens", st.Usage.Tokens).Int("copies", st.Usage.Copies).Float64("begun_per_s", st.StartRate).
			Dur("per_token", st.EngineTiming.PrefillPerToken).Dur("run", st.EngineTiming.RunDuration).Msg("streams wait")
	}
}
