// Package scheduler decides which stream gets which engine next, who waits and who
// is refused. It is pure: requests, news and the time come in, decisions go out.
//
// The load pattern. An engine reads one prompt after the other, for a second or so
// each, and its memory holds some ten runs. Past that a prompt waits in the engine,
// where nobody can reorder it: those that could still be in time stand behind those
// that are late already, and so become late as well. At three times the usual load
// nearly every stream is answered, and nearly none in time. VMs that place without
// asking one another make it worse: for the time that news takes, all of them turn to
// the engine that was free.
//
// So one VM at a time decides for all, on what the others told a few milliseconds ago.
// A stream waits here, not in an engine, until an engine can begin with it at once: no
// prompt is being read there, and there is memory for the whole run. Engines then never
// hold a queue, and the order can change until the last moment: see order.go. A stream
// that cannot be served within its time any more is refused as soon as that is known.
// Copies get the memory that prompts do not need: see memory.go.
//
// Nothing here is needed for safety. Where two VMs decide at once, or none, streams
// meet on an engine and wait there.
package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// Server is an engine as the list of backend servers names it.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int // runs and copies at once; 0: not stated
	Version string
}

// Stream asks for an engine.
type Stream struct {
	ID       string `cbor:"1,keyasint"` // of the request
	Service  string `cbor:"2,keyasint"`
	KVTokens int    `cbor:"3,keyasint,omitempty"` // memory of an engine of the service; 0: not stated
	// Workspace is whose stream it is.
	Workspace string         `cbor:"4,keyasint,omitempty"`
	Need      placement.Need `cbor:"5,keyasint"`
	Priority  int            `cbor:"6,keyasint,omitempty"` // 0 is the first
	// Interrupted: its caller has a part of the answer, and sees it stand still.
	Interrupted     bool     `cbor:"7,keyasint,omitempty"`
	ExcludedEngines []string `cbor:"8,keyasint,omitempty"` // engines that refused it, or that it lost
	// WantsCopy: a copy of the run's memory in another zone can be used.
	WantsCopy bool `cbor:"9,keyasint,omitempty"`
	// Cached is the engine that has probably kept the prompt; empty: none is known.
	CachedEngine string `cbor:"10,keyasint,omitempty"`
	// After is how many events its caller has.
	EventsReceived int `cbor:"11,keyasint,omitempty"`
	// Version of the engines that may have it, and its copy; empty: any. Part of them, by
	// id, has all such streams; 0: all of them.
	Version      string  `cbor:"12,keyasint,omitempty"`
	VersionShare float64 `cbor:"13,keyasint,omitempty"`
	// Zone of the VM that carries it; empty: not stated.
	Zone string `cbor:"14,keyasint,omitempty"`

	// Not encoded: a VM is known by its connection, and its clock is its own.
	VM            string    `cbor:"-"` // that carries it
	Due, Deadline time.Time `cbor:"-"`
}

// Outcome of a decision.
type Outcome uint8

// Outcomes.
const (
	Waiting  Outcome = iota
	Granted          // the stream is to be sent to Server now
	Refused          // it cannot be served within its time
	NoServer         // no engine of the service is known that may take it
	TooLarge         // no engine's memory holds it
)

// Decision is what becomes of a stream.
type Decision struct {
	Stream *Stream
	Answer
}

// Answer is what a stream's VM is told of the decision.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Number of a grant, growing; the VM names the last that it acted on.
	Number       uint64 `cbor:"2,keyasint,omitempty"`
	Server       string `cbor:"3,keyasint,omitempty"`
	BackupEngine string `cbor:"4,keyasint,omitempty"` // of the copy; empty: none is to be kept now
	// RetryAfter of a refusal.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
}

// Report is what a VM tells of itself.
type Report struct {
	Usage map[string]placement.Usage // of engines, all that it has running
	// Taken is the number of the last grant that Use includes.
	LastGrant uint64
	// Avoid names engines that it cannot use now, as it found itself; Doubt those that
	// it takes for lost with their neighbours; Alive those that it heard just now.
	Avoid, Suspected, Alive []string
	// Paces are what it observed of each service's engines.
	EngineTimings map[string]EngineTiming
}

const (
	// grantFor is how long a grant counts that its VM has not told of. A VM tells at
	// once; one that is gone must not hold an engine.
	grantFor = 700 * time.Millisecond
	// askedFor is how long a stream waits whose VM does not ask for it again.
	askedFor = 2500 * time.Millisecond
	// lookEvery is how often all streams that wait are gone through while no engine is
	// free: only their time can run out. News of engines come hundreds of times a second.
	lookEvery = 20 * time.Millisecond
	// maxWaiting streams: beyond it they are refused. Several seconds of the most that
	// the engines of a large deployment begin.
	maxWaiting = 4096
)

// Scheduler is the state of one VM that decides. It is not safe for concurrent use.
type Scheduler struct {
	rng      func(n int) int
	opinions map[string]*opinions // of engines, listed or not
	servers  map[string]*server
	services map[string]*service
	vms      map[string]*vm
	grants   []grant
	number   uint64
}

type server struct {
	Server
	use      placement.Usage // of all VMs, grants that were not told of included
	opinions *opinions
	// aliveAt is when a VM last said that it had heard it.
	aliveAt time.Time

	reading reading
	speed   speed
}

type service struct {
	servers []*server
	waiting []*waiter
	// kvTokens is the memory of an engine as the last stream stated it; 0: not known.
	kvTokens int
	pace     EngineTiming
	demand   demand
	drain    drain
	flows    map[string]*flow // by workspace
	// usual is the median speed, kept for a moment.
	usual speed
	// able and candidates are kept from one choice to the next, for their memory.
	able       []*server
	candidates []placement.Candidate
	// looked is when all that wait were last gone through.
	looked time.Time
	// yields: the last grant went to an interrupted stream, the next is for a new one.
	yields bool
}

type vm struct {
	report Report
	at     time.Time
	counts bool // its opinions
}

type waiter struct {
	Stream
	since   time.Time
	askedAt time.Time
	class   class // as of the last time that those who wait were put in order
}

type grant struct {
	vm     string
	number uint64
	at     time.Time
	uses   []serverUse
}

type serverUse struct {
	server string
	use    placement.Usage
}

// New returns a Scheduler that knows no servers. rng draws from [0, n).
func New(rng func(n int) int) *Scheduler {
	if rng == nil {
		rng = rand.IntN
	}
	return &Scheduler{rng: rng, opinions: map[string]*opinions{}, servers: map[string]*server{}, services: map[string]*service{}, vms: map[string]*vm{}}
}

func (s *Scheduler) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// SetServers takes the servers that may get new work.
func (s *Scheduler) SetServers(list []Server) {
	former := s.servers
	s.servers = make(map[string]*server, len(list))
	for _, v := range s.services {
		v.servers = v.servers[:0]
	}
	for _, row := range list {
		known := former[row.ID]
		if known == nil {
			known = &server{use: s.useOf(row.ID), opinions: s.opinionsOf(row.ID)}
		}
		known.Server = row
		s.servers[row.ID] = known
		v := s.service(row.Service)
		v.servers = append(v.servers, known)
	}
	maps.DeleteFunc(s.opinions, func(id string, o *opinions) bool { return s.servers[id] == nil && o.avoid+o.doubt == 0 })
}

// useOf sums what is known of a server that was not on the list.
func (s *Scheduler) useOf(id string) placement.Usage {
	var sum placement.Usage
	for _, v := range s.vms {
		sum = sum.Add(v.report.Usage[id])
	}
	for _, g := range s.grants {
		for _, u := range g.uses {
			if u.server == id {
				sum = sum.Add(u.use)
			}
		}
	}
	return sum
}

func (s *Scheduler) add(id string, u placement.Usage) {
	if v := s.servers[id]; v != nil {
		v.use = v.use.Add(u)
	}
}

// Told takes what a VM tells of itself in place of what it told before.
func (s *Scheduler) ReceiveReport(name string, r Report, now time.Time) {
	v := s.vms[name]
	if v == nil {
		v = &vm{}
		s.vms[name] = v
	}
	for id, u := range v.report.Usage {
		s.add(id, u.Negated())
	}
	for id, u := range r.Usage {
		s.add(id, u)
	}
	former := v.report.Usage
	// The new word first: an engine that is doubted before and after is doubted on.
	s.countOpinions(&r, 1, now)
	s.dropWord(v, now)
	v.report, v.at, v.counts = r, now, true
	s.noteAlive(r.Alive, now)
	for name, p := range r.EngineTimings {
		s.service(name).pace.learn(p)
	}
	s.dropGrants(func(g *grant) bool { return g.vm == name && g.number <= r.LastGrant })
	for id := range former {
		if e := s.servers[id]; e != nil {
			e.endReading(now)
		}
	}
}

// Forget drops a VM that is not heard any more.
func (s *Scheduler) Forget(name string) {
	v := s.vms[name]
	if v == nil {
		return
	}
	for id, u := range v.report.Usage {
		s.add(id, u.Negated())
	}
	s.dropWord(v, v.at)
	delete(s.vms, name)
	s.dropGrants(func(g *grant) bool { return g.vm == name })
	for _, v := range s.services {
		v.waiting = slices.DeleteFunc(v.waiting, func(w *waiter) bool { return w.VM == name })
	}
}

func (s *Scheduler) dropGrants(gone func(*grant) bool) {
	kept := s.grants[:0]
	for i := range s.grants {
		g := s.grants[i]
		if !gone(&g) {
			kept = append(kept, g)
			continue
		}
		for _, u := range g.uses {
			s.add(u.server, u.use.Negated())
		}
	}
	s.grants = kept
}

// Ask has a stream wait for an engine. One that waits already keeps its place.
func (s *Scheduler) Enqueue(st Stream, now time.Time) {
	v := s.service(st.Service)
	v.kvTokens = st.KVTokens
	for _, w := range v.waiting {
		if w.ID == st.ID {
			w.ExcludedEngines, w.EventsReceived, w.Version, w.VersionShare, w.askedAt = st.ExcludedEngines, st.EventsReceived, st.Version, st.VersionShare, now
			return
		}
	}
	v.demand.note(now, st.Need.Tokens())
	v.noteFlow(st.Workspace, now)
	v.waiting = append(v.waiting, &waiter{Stream: st, since: now, askedAt: now})
}

// Waits reports whether streams wait.
func (s *Scheduler) HasWaiting() bool {
	for _, v := range s.services {
		if len(v.waiting) > 0 {
			return true
		}
	}
	return false
}

// Run decides about all streams that can be decided now.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.dropGrants(func(g *grant) bool { return now.Sub(g.at) > grantFor })
	h := s.health(now)
	var out []Decision
	for _, v := range s.services {
		v.waiting = slices.DeleteFunc(v.waiting, func(w *waiter) bool { return now.Sub(w.askedAt) > askedFor })
		if len(v.waiting) > 0 {
			out = append(out, s.serve(v, h, now)...)
		}
	}
	return out
}

// serve grants what can be granted of one service, in order, and refuses what cannot
// be served any more.
func (s *Scheduler) serve(v *service, h health, now time.Time) []Decision {
	round := newRound(v, s.vms, h, now)
	if len(round.free()) == 0 && now.Sub(v.looked) < lookEvery {
		return nil
	}
	v.looked = now
	var out []Decision
	for _, w := range v.order(now) {
		d := s.decide(w, round)
		if d.Outcome != Waiting {
			out = append(out, d)
		}
	}
	decided := make(map[*Stream]bool, len(out))
	for _, d := range out {
		decided[d.Stream] = true
	}
	v.waiting = slices.DeleteFunc(v.waiting, func(w *waiter) bool { return decided[&w.Stream] })
	return out
}

func (s *Scheduler) decide(w *waiter, r *round) Decision {
	d := Decision{Stream: &w.Stream}
	if w.KVTokens > 0 && w.Need.Tokens() > w.KVTokens {
		d.Outcome = TooLarge
		return d
	}
	if left := w.Deadline.Sub(r.now); r.fastest(w) > left {
		// Its caller's time is over before it is of any use to come again.
		d.Outcome, d.RetryAfter = Refused, min(max(left, minRetryAfter), maxRetryAfter)
		return d
	}
	e := r.engine(w, s.rng)
	switch {
	case e != nil:
		s.grant(w, r, e, &d)
	case !r.any(w):
		d.Outcome = NoServer
	case r.ahead >= maxWaiting || r.hopeless(w):
		d.Outcome, d.RetryAfter = Refused, r.retryAfter(w, s.rng)
	default:
		r.ahead++
	}
	return d
}

// grant gives a stream its engine and, where memory allows, a copy its keeper.
func (s *Scheduler) grant(w *waiter, r *round, e *server, d *Decision) {
	s.number++
	run := placement.Usage{Requests: 1, Tokens: w.Need.Tokens(), PendingPrompt: w.Need.Prompt}
	g := grant{vm: w.VM, number: s.number, at: r.now, uses: []serverUse{{e.ID, run}}}
	d.Outcome, d.Number, d.Server = Granted, s.number, e.ID
	if w.WantsCopy {
		if k := r.keeper(w, e, s.rng); k != nil {
			d.BackupEngine = k.ID
			g.uses = append(g.uses, serverUse{k.ID, placement.CopyUsage(w.Need)})
		}
	}
	e.beginReading(w.Need.Prompt, r.now)
	for _, u := range g.uses {
		s.add(u.server, u.use)
	}
	s.grants = append(s.grants, g)
	if !r.mayBegin(e) {
		r.close(e)
	}
	r.v.drain.note(r.now)
	r.v.yields = w.Interrupted
}
