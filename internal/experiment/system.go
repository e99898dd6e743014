package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// Delays and names of the model.
const (
	resetDelay     = 1 * time.Millisecond // until a dead engine's host refuses a connection
	dialTimeout    = 1 * time.Second      // to a host that does not answer
	pollInterval   = 2700 * time.Millisecond
	pickRetryDelay = 100 * time.Millisecond
	model          = "m"
)

// sharedPoisonSuspicion is the poison suspicion that all routers share.
type sharedPoisonSuspicion struct{ *recovery.PoisonSuspicion }

// system is a router that uses the modules of the project.
type system struct {
	w               *world
	table           *routing.Table
	queue           *admission.Queue
	limiters        []*admission.Limiter
	policy          recovery.Policy
	detector        *recovery.Detector
	suspicionBudget *recovery.Budget
	hedgeBudget     *recovery.Budget
	pacer           recovery.Pacer
	runs            map[*admission.Item]*run
	resumes         map[*recovery.Resume]*run
}

// run is a request that a system router has admitted or queued.
type run struct {
	r        *request
	item     admission.Item
	current  *routerAttempt
	hedge    *routerAttempt
	resume   *recovery.Resume
	attempts int
	avoid    []string
	ended    bool
}

// routerAttempt is the router's state of an attempt.
type routerAttempt struct {
	run       *run
	a         *attempt
	placement routing.Placement
	stream    *recovery.Stream
	isolated  bool // runs alone on its engine, as its content is suspect
	closed    bool
}

func newSystem(w *world, id int, zone string) *system {
	policy := recovery.PolicyOf(w.policy.Objective)
	s := &system{
		w: w, policy: policy, detector: recovery.NewDetector(policy), suspicionBudget: recovery.NewSuspicionBudget(),
		hedgeBudget: recovery.NewBudget(policy.HedgeShare), runs: map[*admission.Item]*run{}, resumes: map[*recovery.Resume]*run{},
		table: routing.NewTable(zone, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(id)))),
	}
	s.queue = admission.NewQueue(admission.DefaultBounds, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(id))), s.expired)
	var specs []routing.Spec
	for _, e := range w.engines {
		specs = append(specs, routing.Spec{Name: e.name, Zone: e.zone, Pools: []string{model}})
		s.limiters = append(s.limiters, admission.NewLimiter(w.policy.Routers, w.rng.Float64()))
	}
	s.table.SetServers(specs)
	s.table.SetPeers(w.policy.Routers)
	for i, l := range s.limiters {
		s.table.SetLimit(i, l.Limit())
		w.After(time.Duration(w.rng.Int64N(int64(pollInterval))), func() { s.poll(i) })
	}
	return s
}

func (s *system) poll(i int) {
	e := s.w.engines[i]
	if load, ok := e.poll(); ok {
		s.table.ApplyReport(i, &load, s.w.Now())
		page := e.cacheEvents(s.table.CacheSeq(i))
		s.table.ApplyCacheEvents(i, &page)
		s.detector.Polled(e.name, s.w.Now())
		s.limiters[i].Report(load.StepMS, load.Queued, s.table.Inflight(i))
		s.table.SetLimit(i, s.limiters[i].Limit())
		s.dispatch()
	}
	jitter := time.Duration(s.w.rng.Int64N(int64(pollInterval / 2)))
	s.w.After(pollInterval*3/4+jitter, func() { s.poll(i) })
}

func (s *system) submit(r *request) {
	u := &run{r: r}
	u.item = admission.Item{
		Key: r.load.Name + "/" + time.Duration(r.id).String(), Workspace: r.load.Name, Class: r.class,
		Weight: float64(r.load.Share), Cost: routing.Work(r.prompt, r.tokens), Bytes: 4 * r.prompt,
		Deadline: s.w.Now().Add(r.load.MaxWait),
	}
	s.updateCapacity()
	d := s.queue.Enter(&u.item, s.w.Now())
	if d.Refused() {
		s.w.refused(r, d.RetryAfter)
		return
	}
	r.routerState = u
	s.runs[&u.item] = u
	s.dispatch()
}

// expired refuses a request as soon as its deadline passes in the queue.
func (s *system) expired(it *admission.Item) {
	u := s.runs[it]
	delete(s.runs, it)
	u.ended = true
	s.w.refused(u.r, time.Second)
}

func (s *system) cancel(r *request) {
	if u, ok := r.routerState.(*run); ok {
		s.finish(u, false)
	}
}

func (s *system) finish(u *run, complete bool) {
	if u.ended {
		return
	}
	u.ended = true
	s.close(u.current, routing.Cancelled)
	s.close(u.hedge, routing.Cancelled)
	s.endPacing(u)
	s.queue.Leave(&u.item, complete, s.w.Now())
	delete(s.runs, &u.item)
	s.dispatch()
}

func (s *system) updateCapacity() {
	limit, _ := s.table.Capacity(model, s.w.Now())
	s.queue.SetCapacity(limit)
}

func (s *system) dispatch() {
	s.updateCapacity()
	for it := s.queue.Next(s.w.Now()); it != nil; it = s.queue.Next(s.w.Now()) {
		s.start(s.runs[it])
	}
}

// start places a run on an engine, or retries after a short delay.
func (s *system) start(u *run) {
	if u.ended {
		return
	}
	standing := s.w.poisonSuspicion.Standing(digest(u.r), s.w.Now())
	if standing == recovery.Poison {
		s.w.out.refusedAsPoison++
		u.r.ended = true
		s.finish(u, false)
		return
	}
	l := s.place(u, u.avoid, standing == recovery.Suspect)
	if l == nil {
		s.w.After(pickRetryDelay/2+time.Duration(s.w.rng.Int64N(int64(pickRetryDelay))), func() { s.start(u) })
		return
	}
	u.current = l
	s.launch(l)
}

func digest(r *request) uint64 { return hash(r.load.Name) + uint64(r.id) }

func (s *system) place(u *run, avoid []string, suspect bool) *routerAttempt {
	r := u.r
	q := routing.Query{
		Pool: model, PromptTokens: r.prompt + r.tokensReceived, NewTokens: r.tokens - r.tokensReceived, BlockDigests: r.blockDigests, Avoid: avoid,
		Resume: u.attempts > 0, Suspect: suspect, Affinity: s.policy.Affinity,
	}
	place, ok := s.table.Pick(&q, s.w.Now())
	if !ok {
		return nil
	}
	u.attempts++
	e := s.w.engines[place.Engine]
	l := &routerAttempt{run: u, placement: place, isolated: suspect}
	l.a = &attempt{
		r: r, engine: e, tokensBefore: r.tokensReceived, extra: u.attempts > 1,
		onToken: func(*attempt) { s.token(l) },
		onReset: func(*attempt) { s.attemptLost(l, routing.Failed) },
	}
	if l.a.extra {
		l.a.priority = recovery.ResumePriority
	}
	l.stream = s.detector.Begin(e.name, s.w.Now())
	return l
}

func (s *system) launch(l *routerAttempt) {
	e := l.a.engine
	switch {
	case e.dead && e.silent:
		s.w.After(dialTimeout, func() { s.attemptLost(l, routing.Refused) })
	case e.dead:
		s.w.After(resetDelay, func() { s.attemptLost(l, routing.Refused) })
	default:
		e.submit(l.a)
		s.watch(l)
	}
}

// watch gives up an attempt that the detector suspects, and hedges a slow one.
func (s *system) watch(l *routerAttempt) {
	if l.closed {
		return
	}
	s.detector.SetCeilingOnly(s.suspicionBudget.Empty())
	suspect, again := s.detector.Check(l.stream, s.w.Now())
	if suspect {
		s.suspicionBudget.Spend(l.run.r.prompt + l.run.r.tokensReceived)
		s.attemptLost(l, routing.Suspected)
		return
	}
	if s.policy.HedgeShare > 0 {
		again = min(again, 100*time.Millisecond)
		s.maybeHedge(l)
	}
	s.w.After(again, func() { s.watch(l) })
}

func (s *system) maybeHedge(l *routerAttempt) {
	u := l.run
	if l != u.current || u.hedge != nil || !s.detector.HedgeDue(l.stream, s.w.Now()) {
		return
	}
	if !s.hedgeBudget.Spend(u.r.prompt + u.r.tokensReceived) {
		return
	}
	if h := s.place(u, append(u.avoid, l.a.engine.name), false); h != nil {
		u.hedge = h
		s.launch(h)
	}
}

func (s *system) token(l *routerAttempt) {
	u := l.run
	if l.closed || u.ended {
		return
	}
	if l == u.hedge {
		s.close(u.current, routing.Cancelled) // the hedge generated a token first
		u.current, u.hedge = l, nil
	} else if u.hedge != nil {
		s.close(u.hedge, routing.Cancelled)
		u.hedge = nil
	}
	s.detector.Event(l.stream, s.w.Now())
	s.suspicionBudget.Earn(1)
	s.hedgeBudget.Earn(1)
	s.table.Progress(&l.placement, 1)
	s.endPacing(u)
	if l.isolated && s.w.poisonSuspicion.NoteProgress(digest(u.r), l.a.generated) {
		l.isolated = false
		s.table.EndIsolation(&l.placement)
	}
	if l.a.extra {
		s.w.out.countAsUseful(routing.DecodeWeight) // a new token is useful work
	}
	if u.r.tokensReceived == 0 {
		s.queue.FirstToken(&u.item, s.w.Now())
	}
	s.w.received(u.r)
	if u.r.ended {
		s.close(l, routing.OK)
		s.finish(u, true)
	}
}

// attemptLost closes a failed or suspected attempt. A lost hedge has no further effect. If
// the current attempt is lost, its hedge becomes the current attempt. Without a hedge the
// run waits in the pacer to resume on another engine.
func (s *system) attemptLost(l *routerAttempt, o routing.Outcome) {
	u := l.run
	if l.closed || u.ended {
		return
	}
	s.close(l, o)
	if o == routing.Failed {
		s.w.poisonSuspicion.EngineDied(recovery.Death{Digest: digest(u.r), Engine: l.a.engine.name, At: s.w.Now()}, l.a.generated)
		s.limiters[l.a.engine.id].Reset()
	}
	if l == u.hedge {
		u.hedge = nil
		return
	}
	u.avoid = append(u.avoid, l.a.engine.name)
	if u.hedge != nil { // the hedge becomes the current attempt
		u.current, u.hedge = u.hedge, nil
		return
	}
	s.endPacing(u)
	u.resume = &recovery.Resume{Deadline: u.item.Deadline, Prefill: u.r.prompt + u.r.tokensReceived}
	s.resumes[u.resume] = u
	s.pacer.Enqueue(u.resume, s.w.Now())
	s.startResumes()
	s.w.After(3*time.Second, s.startResumes)
}

func (s *system) startResumes() {
	s.pacer.SetEngines(s.table.Usable(model, s.w.Now()), s.w.policy.Routers)
	for r := s.pacer.Next(s.w.Now()); r != nil; r = s.pacer.Next(s.w.Now()) {
		u := s.resumes[r]
		delete(s.resumes, r)
		s.start(u)
	}
}

// endPacing releases the pacer's slot of a run that was resuming.
func (s *system) endPacing(u *run) {
	if u.resume == nil {
		return
	}
	delete(s.resumes, u.resume)
	s.pacer.Release(u.resume)
	u.resume = nil
	s.startResumes()
}

func (s *system) close(l *routerAttempt, o routing.Outcome) {
	if l == nil || l.closed {
		return
	}
	l.closed = true
	l.a.engine.cancel(l.a)
	s.detector.End(l.stream)
	s.table.Done(&l.placement, o, s.w.Now())
}
