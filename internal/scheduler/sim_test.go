package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// A simulation of model engines that read prompts one after the other, in chunks
// between the tokens of the runs beside them, and admit in order of arrival as memory
// allows. Time goes in ticks; nothing sleeps.

const simTick = 5 * time.Millisecond

// simTraits describe the engines of a simulation.
type simTraits struct {
	perMS float64       // prompt tokens read in a ms
	step  time.Duration // one token of every run
	kv    int
}

var usualTraits = simTraits{perMS: 8, step: 7 * time.Millisecond, kv: 88_000}

// chunk of a prompt that is read between two tokens.
const chunk = 200

type simRun struct {
	id        string
	workspace string
	vm        string
	need      placement.Need
	arrived   time.Time
	due       time.Time
	first     time.Time // zero: no event yet
	read      int
	made      int
	engine    *simEngine
	keeper    *simEngine
}

type simEngine struct {
	Server
	traits  simTraits
	queue   []*simRun
	running []*simRun
	copies  int // tokens
	next    time.Time
	dark    bool
}

func (e *simEngine) tokens() int {
	n := e.copies
	for _, r := range e.running {
		n += r.need.Tokens()
	}
	return n
}

// advance makes the steps that are due, and returns the runs that brought their first
// event or ended.
func (e *simEngine) advance(now time.Time) (changed []*simRun) {
	if e.dark {
		e.next = now
		return nil
	}
	for len(e.queue) > 0 && e.tokens()+e.queue[0].need.Tokens() <= e.traits.kv {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	for len(e.running) > 0 && !e.next.After(now) {
		changed = append(changed, e.makeStep()...)
	}
	if len(e.running) == 0 {
		e.next = now
	}
	return changed
}

func (e *simEngine) makeStep() (changed []*simRun) {
	took := e.traits.step
	var going []*simRun
	reading := false
	for _, r := range e.running {
		switch {
		case r.read >= r.need.Prompt:
			r.made++
			if r.made == 1 {
				r.first = e.next
				changed = append(changed, r)
			}
		case !reading:
			reading = true
			r.read += chunk
			took += time.Duration(chunk / e.traits.perMS * float64(time.Millisecond))
		}
		if r.made < r.need.Output {
			going = append(going, r)
			continue
		}
		changed = append(changed, r)
	}
	e.running, e.next = going, e.next.Add(took)
	return changed
}

// sim is a deployment under load.
type sim struct {
	now     time.Time
	rng     *rand.Rand
	engines []*simEngine
	byID    map[string]*simEngine
	vms     int
	runs    []*simRun
	live    map[string]*simRun
	refused int

	s         *Scheduler // nil: VMs place at once
	taken     map[string]uint64
	wantsCopy bool
	copied    int

	// newsAge is how old a VM's knowledge of the others is where nobody schedules.
	newsAge time.Duration
	news    map[string]placement.Usage
	newsAt  time.Time

	askedAt time.Time

	workspaces int
	pressing   float64 // share of what comes that is the first workspace's
}

func newSim(seed uint64, perZone, vms int, traits simTraits) *sim {
	s := &sim{
		now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simEngine{}, vms: vms,
		live: map[string]*simRun{}, taken: map[string]uint64{}, newsAge: 600 * time.Millisecond,
	}
	for _, zone := range []string{"a", "b", "c"} {
		for i := range perZone {
			e := &simEngine{Server: Server{ID: fmt.Sprint(zone, i), Service: "models", Zone: zone, Slots: 128}, traits: traits}
			s.engines, s.byID[e.ID] = append(s.engines, e), e
		}
	}
	return s
}

func (s *sim) schedule() *sim {
	s.s = New(s.rng.IntN)
	s.list()
	return s
}

// list tells the scheduler of the engines that are there.
func (s *sim) list() {
	if s.s == nil {
		return
	}
	var servers []Server
	for _, e := range s.engines {
		if !e.dark {
			servers = append(servers, e.Server)
		}
	}
	s.s.SetServers(servers)
}

// load is how many streams arrive in a second, over a span.
type load struct {
	perSecond float64
	span      time.Duration
}

// play has streams arrive, and runs on until all are answered.
func (s *sim) play(mean placement.Need, objective, deadline time.Duration, loads ...load) {
	for _, l := range loads {
		end := s.now.Add(l.span)
		for s.now.Before(end) {
			if s.rng.Float64() < l.perSecond*simTick.Seconds() {
				s.arrive(mean, objective, deadline)
			}
			s.tick()
		}
	}
	for end := s.now.Add(deadline); s.now.Before(end); {
		s.tick()
	}
}

func (s *sim) arrive(mean placement.Need, objective, deadline time.Duration) {
	scale := 0.6 + 0.8*s.rng.Float64()
	r := &simRun{
		id: fmt.Sprint(len(s.runs)), vm: fmt.Sprint("vm", s.rng.IntN(s.vms)), arrived: s.now, due: s.now.Add(objective),
		need: placement.Need{Prompt: int(float64(mean.Prompt) * scale), Output: mean.Output},
	}
	if s.workspaces > 0 {
		r.workspace = fmt.Sprint("w", s.rng.IntN(s.workspaces))
	}
	if s.rng.Float64() < s.pressing {
		r.workspace = "w0"
	}
	s.runs = append(s.runs, r)
	s.live[r.id] = r
	if s.s == nil {
		s.placeAtOnce(r)
		return
	}
	s.s.Enqueue(Stream{
		ID: r.id, VM: r.vm, Service: "models", Workspace: r.workspace, Need: r.need, KVTokens: s.engines[0].traits.kv, Due: r.due,
		Deadline: s.now.Add(deadline), WantsCopy: s.wantsCopy,
	}, s.now)
}

// placeAtOnce is what a VM does that knows its own runs, and the others' by old news.
func (s *sim) placeAtOnce(r *simRun) {
	own := s.use(func(o *simRun) bool { return o.vm == r.vm })
	all := make([]placement.Candidate, len(s.engines))
	for i, e := range s.engines {
		all[i] = placement.Candidate{ID: e.ID, Zone: e.Zone, KVTokens: e.traits.kv, Usage: own[e.ID].Add(s.news[e.ID]), Avoid: e.dark, Slowdown: 1}
	}
	e := s.engines[placement.ChooseEngine(all, r.need, s.rng.IntN)]
	r.engine = e
	e.queue = append(e.queue, r)
}

// use sums the runs that are placed, by engine.
func (s *sim) use(which func(*simRun) bool) map[string]placement.Usage {
	out := map[string]placement.Usage{}
	for _, r := range s.live {
		if r.engine == nil || !which(r) {
			continue
		}
		u := placement.Usage{Requests: 1, Tokens: r.need.Tokens()}
		if r.first.IsZero() {
			u.PendingPrompt = r.need.Prompt
		}
		out[r.engine.ID] = out[r.engine.ID].Add(u)
		if r.keeper != nil {
			out[r.keeper.ID] = out[r.keeper.ID].Add(placement.CopyUsage(r.need))
		}
	}
	return out
}

func (s *sim) tick() {
	s.now = s.now.Add(simTick)
	told := map[string]bool{}
	for _, e := range s.engines {
		for _, r := range e.advance(s.now) {
			told[r.vm] = true
			if r.made >= r.need.Output {
				s.end(r)
			}
		}
	}
	if s.s == nil {
		if s.now.Sub(s.newsAt) >= s.newsAge {
			s.newsAt, s.news = s.now, s.use(func(*simRun) bool { return true })
		}
		return
	}
	if s.now.Sub(s.askedAt) >= askedFor/3 {
		s.askAgain()
	}
	for vm := range told {
		s.tell(vm)
	}
	for _, d := range s.s.Decide(s.now) {
		s.decided(d)
	}
}

// askAgain has each VM ask again for its streams that wait.
func (s *sim) askAgain() {
	s.askedAt = s.now
	for _, r := range s.live {
		if r.engine == nil {
			s.s.Enqueue(Stream{ID: r.id, Service: "models", KVTokens: s.engines[0].traits.kv}, s.now)
		}
	}
}

func (s *sim) end(r *simRun) {
	delete(s.live, r.id)
	if r.keeper != nil {
		r.keeper.copies -= r.need.Tokens()
	}
}

func (s *sim) tell(vm string) {
	s.s.ReceiveReport(vm, Report{
		Usage: s.use(func(r *simRun) bool { return r.vm == vm }), LastGrant: s.taken[vm],
		EngineTimings: map[string]EngineTiming{"models": s.pace()},
	}, s.now)
}

// pace is what the VMs would observe.
func (s *sim) pace() EngineTiming {
	t := s.engines[0].traits
	perChunk := time.Duration(chunk/t.perMS*float64(time.Millisecond)) + t.step
	return EngineTiming{PrefillPerToken: perChunk / chunk, RunDuration: 6 * time.Second}
}

func (s *sim) decided(d Decision) {
	r := s.live[d.Stream.ID]
	if d.Outcome != Granted {
		s.refused++
		delete(s.live, d.Stream.ID)
		return
	}
	r.engine = s.byID[d.Server]
	r.engine.queue = append(r.engine.queue, r)
	if d.BackupEngine != "" {
		r.keeper = s.byID[d.BackupEngine]
		r.keeper.copies += r.need.Tokens()
		s.copied++
	}
	s.taken[r.vm] = max(s.taken[r.vm], d.Number)
	s.tell(r.vm)
}

// inTime is the share of the streams that began within their objective.
func (s *sim) inTime() float64 {
	n := 0
	for _, r := range s.runs {
		if !r.first.IsZero() && !r.first.After(r.due) {
			n++
		}
	}
	return float64(n) / float64(len(s.runs))
}
