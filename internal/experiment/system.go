package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/routing"
)

// Delays of the model.
const (
	refusedAfter = 1 * time.Millisecond // a reset of a connection
	dialTimeout  = 1 * time.Second      // to a host that is gone
	pollEvery    = 2700 * time.Millisecond
	pickPause    = 100 * time.Millisecond
	model        = "m"
)

// blameBoard is the blame that routers share.
type blameBoard struct{ *recovery.PoisonSuspicion }

// system is a router with the modules of the project.
type system struct {
	w         *world
	table     *routing.Table
	queue     *admission.Queue
	limiters  []*admission.Limiter
	policy    recovery.Policy
	detector  *recovery.Detector
	suspicion *recovery.Budget
	hedges    *recovery.Budget
	pacer     recovery.Pacer
	runs      map[*admission.Item]*run
	resumes   map[*recovery.Resume]*run
}

// run is a request in the system.
type run struct {
	r        *request
	item     admission.Item
	current  *lane
	hedge    *lane
	resume   *recovery.Resume
	attempts int
	avoid    []string
	ended    bool
}

// lane is an attempt as the router sees it.
type lane struct {
	run    *run
	a      *attempt
	place  routing.Placement
	stream *recovery.Stream
	solo   bool // a suspect, run alone
	closed bool
}

func newSystem(w *world, id int, zone string) *system {
	policy := recovery.PolicyOf(w.policy.Objective)
	s := &system{
		w: w, policy: policy, detector: recovery.NewDetector(policy), suspicion: recovery.NewSuspicionBudget(),
		hedges: recovery.NewBudget(policy.HedgeShare), runs: map[*admission.Item]*run{}, resumes: map[*recovery.Resume]*run{},
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
		w.After(time.Duration(w.rng.Int64N(int64(pollEvery))), func() { s.poll(i) })
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
		s.pump()
	}
	jitter := time.Duration(s.w.rng.Int64N(int64(pollEvery / 2)))
	s.w.After(pollEvery*3/4+jitter, func() { s.poll(i) })
}

func (s *system) ask(r *request) {
	u := &run{r: r}
	u.item = admission.Item{
		Key: r.load.Name + "/" + time.Duration(r.id).String(), Workspace: r.load.Name, Class: r.class,
		Weight: float64(r.load.Share), Cost: routing.Work(r.prompt, r.tokens), Bytes: 4 * r.prompt,
		Deadline: s.w.Now().Add(r.load.MaxWait),
	}
	s.measureRoom()
	d := s.queue.Enter(&u.item, s.w.Now())
	if d.Refused() {
		s.w.refused(r, d.RetryAfter)
		return
	}
	r.state = u
	s.runs[&u.item] = u
	s.pump()
}

// expired is a request whose deadline passed in the queue: its final answer
// goes out at once.
func (s *system) expired(it *admission.Item) {
	u := s.runs[it]
	delete(s.runs, it)
	u.ended = true
	s.w.refused(u.r, time.Second)
}

func (s *system) leave(r *request) {
	if u, ok := r.state.(*run); ok {
		s.finish(u, false)
	}
}

func (s *system) finish(u *run, whole bool) {
	if u.ended {
		return
	}
	u.ended = true
	s.close(u.current, routing.Cancelled)
	s.close(u.hedge, routing.Cancelled)
	s.paced(u)
	s.queue.Leave(&u.item, whole, s.w.Now())
	delete(s.runs, &u.item)
	s.pump()
}

func (s *system) measureRoom() {
	limit, _ := s.table.Capacity(model, s.w.Now())
	s.queue.SetCapacity(limit)
}

func (s *system) pump() {
	s.measureRoom()
	for it := s.queue.Next(s.w.Now()); it != nil; it = s.queue.Next(s.w.Now()) {
		s.start(s.runs[it])
	}
}

// start places a run on an engine, or tries again soon.
func (s *system) start(u *run) {
	if u.ended {
		return
	}
	standing := s.w.blamed.Standing(digest(u.r), s.w.Now())
	if standing == recovery.Poison {
		s.w.out.poisoned++
		u.r.ended = true
		s.finish(u, false)
		return
	}
	l := s.place(u, u.avoid, standing == recovery.Suspect)
	if l == nil {
		s.w.After(pickPause/2+time.Duration(s.w.rng.Int64N(int64(pickPause))), func() { s.start(u) })
		return
	}
	u.current = l
	s.launch(l)
}

func digest(r *request) uint64 { return hash(r.load.Name) + uint64(r.id) }

func (s *system) place(u *run, avoid []string, suspect bool) *lane {
	r := u.r
	q := routing.Query{
		Pool: model, PromptTokens: r.prompt + r.journal, NewTokens: r.tokens - r.journal, BlockDigests: r.blocks, Avoid: avoid,
		Resume: u.attempts > 0, Suspect: suspect, Affinity: s.policy.Affinity,
	}
	place, ok := s.table.Pick(&q, s.w.Now())
	if !ok {
		return nil
	}
	u.attempts++
	e := s.w.engines[place.Engine]
	l := &lane{run: u, place: place, solo: suspect}
	l.a = &attempt{
		r: r, engine: e, from: r.journal, extra: u.attempts > 1,
		token:  func(*attempt) { s.token(l) },
		broken: func(*attempt) { s.lost(l, routing.Failed) },
	}
	if l.a.extra {
		l.a.priority = recovery.ResumePriority
	}
	l.stream = s.detector.Begin(e.name, s.w.Now())
	return l
}

func (s *system) launch(l *lane) {
	e := l.a.engine
	switch {
	case e.dead && e.mute:
		s.w.After(dialTimeout, func() { s.lost(l, routing.Refused) })
	case e.dead:
		s.w.After(refusedAfter, func() { s.lost(l, routing.Refused) })
	default:
		e.submit(l.a)
		s.watch(l)
	}
}

// watch checks a lane's silence.
func (s *system) watch(l *lane) {
	if l.closed {
		return
	}
	s.detector.SetCeilingOnly(s.suspicion.Empty())
	suspect, again := s.detector.Check(l.stream, s.w.Now())
	if suspect {
		s.suspicion.Spend(l.run.r.prompt + l.run.r.journal)
		s.lost(l, routing.Suspected)
		return
	}
	if s.policy.HedgeShare > 0 {
		again = min(again, 100*time.Millisecond)
		s.maybeHedge(l)
	}
	s.w.After(again, func() { s.watch(l) })
}

func (s *system) maybeHedge(l *lane) {
	u := l.run
	if l != u.current || u.hedge != nil || !s.detector.HedgeDue(l.stream, s.w.Now()) {
		return
	}
	if !s.hedges.Spend(u.r.prompt + u.r.journal) {
		return
	}
	if h := s.place(u, append(u.avoid, l.a.engine.name), false); h != nil {
		u.hedge = h
		s.launch(h)
	}
}

func (s *system) token(l *lane) {
	u := l.run
	if l.closed || u.ended {
		return
	}
	if l == u.hedge {
		s.close(u.current, routing.Cancelled) // the hedge was first with a token
		u.current, u.hedge = l, nil
	} else if u.hedge != nil {
		s.close(u.hedge, routing.Cancelled)
		u.hedge = nil
	}
	s.detector.Event(l.stream, s.w.Now())
	s.suspicion.Earn(1)
	s.hedges.Earn(1)
	s.table.Progress(&l.place, 1)
	s.paced(u)
	if l.solo && s.w.blamed.NoteProgress(digest(u.r), l.a.made) {
		l.solo = false
		s.table.EndIsolation(&l.place)
	}
	if l.a.extra {
		s.w.out.redeem(routing.DecodeWeight) // a new token is useful
	}
	if u.r.journal == 0 {
		s.queue.FirstToken(&u.item, s.w.Now())
	}
	s.w.received(u.r)
	if u.r.ended {
		s.close(l, routing.OK)
		s.finish(u, true)
	}
}

// lost gives a lane up; its run resumes elsewhere.
func (s *system) lost(l *lane, o routing.Outcome) {
	u := l.run
	if l.closed || u.ended {
		return
	}
	s.close(l, o)
	if o == routing.Failed {
		s.w.blamed.EngineDied(recovery.Death{Digest: digest(u.r), Engine: l.a.engine.name, At: s.w.Now()}, l.a.made)
		s.limiters[l.a.engine.id].Reset()
	}
	if l == u.hedge {
		u.hedge = nil
		return
	}
	u.avoid = append(u.avoid, l.a.engine.name)
	if u.hedge != nil { // it goes on as the attempt
		u.current, u.hedge = u.hedge, nil
		return
	}
	s.paced(u)
	u.resume = &recovery.Resume{Deadline: u.item.Deadline, Prefill: u.r.prompt + u.r.journal}
	s.resumes[u.resume] = u
	s.pacer.Enqueue(u.resume, s.w.Now())
	s.grant()
	s.w.After(3*time.Second, s.grant)
}

func (s *system) grant() {
	s.pacer.SetEngines(s.table.Usable(model, s.w.Now()), s.w.policy.Routers)
	for r := s.pacer.Next(s.w.Now()); r != nil; r = s.pacer.Next(s.w.Now()) {
		u := s.resumes[r]
		delete(s.resumes, r)
		s.start(u)
	}
}

// paced ends a run's part in the pace of resumes.
func (s *system) paced(u *run) {
	if u.resume == nil {
		return
	}
	delete(s.resumes, u.resume)
	s.pacer.Release(u.resume)
	u.resume = nil
	s.grant()
}

func (s *system) close(l *lane, o routing.Outcome) {
	if l == nil || l.closed {
		return
	}
	l.closed = true
	l.a.engine.cancel(l.a)
	s.detector.End(l.stream)
	s.table.Done(&l.place, o, s.w.Now())
}
