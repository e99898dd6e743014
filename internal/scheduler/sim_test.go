package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// A simulation of model engines that prefill prompts one after the other, in chunks
// between the decoding steps of the other runs, and admit in order of arrival as memory
// allows. Time advances in ticks; nothing sleeps.

const simTick = 5 * time.Millisecond

// simTraits describe the engines of a simulation.
type simTraits struct {
	prefillPerMS float64       // prompt tokens prefilled per ms
	step         time.Duration // duration of a decoding step
	kv           int
}

var usualTraits = simTraits{prefillPerMS: 8, step: 7 * time.Millisecond, kv: 88_000}

// prefillChunk is the number of prompt tokens that are prefilled between two decoding
// steps.
const prefillChunk = 200

type simRun struct {
	id           string
	workspace    string
	vm           string
	need         placement.Need
	arrived      time.Time
	due          time.Time
	first        time.Time // zero: no event yet
	prefilled    int
	generated    int
	engine       *simEngine
	backupEngine *simEngine
}

type simEngine struct {
	Server
	traits  simTraits
	queue   []*simRun
	running []*simRun
	copies  int // tokens
	next    time.Time
	failed  bool
}

func (e *simEngine) tokens() int {
	n := e.copies
	for _, r := range e.running {
		n += r.need.Tokens()
	}
	return n
}

// advance runs the steps that are due. It returns the runs that produced their first
// event or ended.
func (e *simEngine) advance(now time.Time) (changed []*simRun) {
	if e.failed {
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
	var remaining []*simRun
	prefilling := false
	for _, r := range e.running {
		switch {
		case r.prefilled >= r.need.Prompt:
			r.generated++
			if r.generated == 1 {
				r.first = e.next
				changed = append(changed, r)
			}
		case !prefilling:
			prefilling = true
			r.prefilled += prefillChunk
			took += time.Duration(prefillChunk / e.traits.prefillPerMS * float64(time.Millisecond))
		}
		if r.generated < r.need.Output {
			remaining = append(remaining, r)
			continue
		}
		changed = append(changed, r)
	}
	e.running, e.next = remaining, e.next.Add(took)
	return changed
}

// sim simulates a deployment under load.
type sim struct {
	now     time.Time
	rng     *rand.Rand
	engines []*simEngine
	byID    map[string]*simEngine
	vms     int
	runs    []*simRun
	live    map[string]*simRun
	refused int

	scheduler  *Scheduler // nil: each VM places its streams at once
	lastGrants map[string]uint64
	wantsCopy  bool
	copied     int

	// reportAge is the age at which reports are renewed if there is no scheduler.
	reportAge     time.Duration
	reportedUsage map[string]placement.Usage
	reportedAt    time.Time

	renewedAt time.Time

	workspaces int
	surgeShare float64 // share of arrivals that belong to the first workspace
}

func newSim(seed uint64, perZone, vms int, traits simTraits) *sim {
	s := &sim{
		now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simEngine{}, vms: vms,
		live: map[string]*simRun{}, lastGrants: map[string]uint64{}, reportAge: 600 * time.Millisecond,
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
	s.scheduler = New(s.rng.IntN)
	s.updateServers()
	return s
}

// updateServers passes the engines that are up to the scheduler.
func (s *sim) updateServers() {
	if s.scheduler == nil {
		return
	}
	var servers []Server
	for _, e := range s.engines {
		if !e.failed {
			servers = append(servers, e.Server)
		}
	}
	s.scheduler.SetServers(servers)
}

// load is a rate of arriving streams and how long it lasts.
type load struct {
	perSecond float64
	span      time.Duration
}

// play lets streams arrive and continues until all are answered.
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
	if s.rng.Float64() < s.surgeShare {
		r.workspace = "w0"
	}
	s.runs = append(s.runs, r)
	s.live[r.id] = r
	if s.scheduler == nil {
		s.placeImmediately(r)
		return
	}
	s.scheduler.Enqueue(Stream{
		ID: r.id, VM: r.vm, Service: "models", Workspace: r.workspace, Need: r.need, KVTokens: s.engines[0].traits.kv, Due: r.due,
		Deadline: s.now.Add(deadline), WantsCopy: s.wantsCopy,
	}, s.now)
}

// placeImmediately places a run as a VM does that knows its own runs and has old reports
// of the others'.
func (s *sim) placeImmediately(r *simRun) {
	own := s.usage(func(o *simRun) bool { return o.vm == r.vm })
	all := make([]placement.Candidate, len(s.engines))
	for i, e := range s.engines {
		all[i] = placement.Candidate{ID: e.ID, Zone: e.Zone, KVTokens: e.traits.kv, Usage: own[e.ID].Add(s.reportedUsage[e.ID]), Avoid: e.failed, Slowdown: 1}
	}
	e := s.engines[placement.ChooseEngine(all, r.need, s.rng.IntN)]
	r.engine = e
	e.queue = append(e.queue, r)
}

// usage sums the usage of the selected placed runs by engine.
func (s *sim) usage(which func(*simRun) bool) map[string]placement.Usage {
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
		if r.backupEngine != nil {
			out[r.backupEngine.ID] = out[r.backupEngine.ID].Add(placement.CopyUsage(r.need))
		}
	}
	return out
}

func (s *sim) tick() {
	s.now = s.now.Add(simTick)
	changed := map[string]bool{}
	for _, e := range s.engines {
		for _, r := range e.advance(s.now) {
			changed[r.vm] = true
			if r.generated >= r.need.Output {
				s.end(r)
			}
		}
	}
	if s.scheduler == nil {
		if s.now.Sub(s.reportedAt) >= s.reportAge {
			s.reportedAt, s.reportedUsage = s.now, s.usage(func(*simRun) bool { return true })
		}
		return
	}
	if s.now.Sub(s.renewedAt) >= waiterTTL/3 {
		s.renewRequests()
	}
	for vm := range changed {
		s.report(vm)
	}
	for _, d := range s.scheduler.Decide(s.now) {
		s.apply(d)
	}
}

// renewRequests lets each VM ask again for its waiting streams.
func (s *sim) renewRequests() {
	s.renewedAt = s.now
	for _, r := range s.live {
		if r.engine == nil {
			s.scheduler.Enqueue(Stream{ID: r.id, Service: "models", KVTokens: s.engines[0].traits.kv}, s.now)
		}
	}
}

func (s *sim) end(r *simRun) {
	delete(s.live, r.id)
	if r.backupEngine != nil {
		r.backupEngine.copies -= r.need.Tokens()
	}
}

func (s *sim) report(vm string) {
	s.scheduler.ReceiveReport(vm, Report{
		Usage: s.usage(func(r *simRun) bool { return r.vm == vm }), LastGrant: s.lastGrants[vm],
		EngineTimings: map[string]EngineTiming{"models": s.timing()},
	}, s.now)
}

// timing returns what the VMs would measure.
func (s *sim) timing() EngineTiming {
	t := s.engines[0].traits
	perChunk := time.Duration(prefillChunk/t.prefillPerMS*float64(time.Millisecond)) + t.step
	return EngineTiming{PrefillPerToken: perChunk / prefillChunk, RunDuration: 6 * time.Second}
}

func (s *sim) apply(d Decision) {
	r := s.live[d.Stream.ID]
	if d.Outcome != Granted {
		s.refused++
		delete(s.live, d.Stream.ID)
		return
	}
	r.engine = s.byID[d.Server]
	r.engine.queue = append(r.engine.queue, r)
	if d.BackupEngine != "" {
		r.backupEngine = s.byID[d.BackupEngine]
		r.backupEngine.copies += r.need.Tokens()
		s.copied++
	}
	s.lastGrants[r.vm] = max(s.lastGrants[r.vm], d.Number)
	s.report(r.vm)
}

// inTime is the share of streams whose first event came within their objective.
func (s *sim) inTime() float64 {
	n := 0
	for _, r := range s.runs {
		if !r.first.IsZero() && !r.first.After(r.due) {
			n++
		}
	}
	return float64(n) / float64(len(s.runs))
}
