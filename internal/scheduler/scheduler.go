// Package scheduler decides which stream gets which engine next, which streams wait and
// which are refused. It is pure: requests, reports and the time are inputs, and decisions
// are outputs.
//
// The overload. An engine prefills one prompt after the other, for about a second each,
// and its memory holds about ten runs. Any further prompt waits in the engine, where the
// order cannot be changed: prompts that could still be in time wait behind prompts that
// are already late, and become late as well. At three times the usual load nearly every
// stream is answered, but nearly none in time. VMs that place streams independently make
// it worse: until new reports arrive, all of them choose the engine that was free.
//
// Therefore one VM at a time decides for all, based on reports that are a few
// milliseconds old. A stream waits here and not in an engine until an engine can start it
// at once: the engine prefills no other prompt and has memory for the whole run. Engines
// never hold a queue, and the order can change until the last moment: see order.go. A
// stream that can no longer be served before its deadline is refused as soon as that is
// known. Backup copies get the memory that prompts do not need: see memory.go.
//
// Safety does not depend on this package. If two VMs decide at the same time, or none
// does, streams meet on an engine and wait there.
package scheduler

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

const (
	// waiterTTL is how long a stream waits after its VM last asked for it.
	waiterTTL = 2500 * time.Millisecond
	// rescanInterval is how often all waiting streams are examined and ordered anew. Until
	// then their classes, deadlines and surges hardly change, but reports about engines
	// arrive hundreds of times a second. See pass.go.
	rescanInterval = 20 * time.Millisecond
	// maxWaiting is the number of waiting streams beyond which new ones are refused. It
	// corresponds to several seconds of the highest start rate of a large deployment.
	maxWaiting = 4096
)

// Scheduler is the scheduling state of one VM. It is not safe for concurrent use.
type Scheduler struct {
	rng        func(n int) int
	suspicions map[string]*suspicionCounts // by engine, listed or not
	servers    map[string]*server
	services   map[string]*service
	vms        map[string]*vm
	grants     []grant
	// unconfirmed counts the grants of each VM.
	unconfirmed map[string]int
	number      uint64
	quorum      int // as of the last call of health
	// examineAll examines all waiting streams at each decision while an engine is idle. The
	// tests compare with it.
	examineAll bool
	// staleCheckedAt is when reports older than reportTTL were last looked for.
	staleCheckedAt time.Time
}

type server struct {
	Server
	usage      placement.Usage // of all VMs, including unconfirmed grants
	suspicions *suspicionCounts
	service    *service
	pos        int  // in service.servers
	lost       bool // as of the last call of Scheduler.health
	// aliveAt is when a VM last reported that it had heard from the engine.
	aliveAt time.Time

	// progressAt is when pending prompts last became fewer, or the first of them came.
	progressAt time.Time
	stalled    bool // no first event came in time, as of the last full pass

	prefill prefill
	speed   speed
	// estimate is the model's estimate at estimatedAt.
	estimate    enginespeed.Estimate
	estimatedAt time.Time
}

type service struct {
	servers []*server
	engineAccount
	// waiting is sorted as of the last pass. The streams that were enqueued since, of which
	// there are added, follow at its end.
	waiting     []*waiter
	added       int
	unexamined  int // waiting streams with waiter.unexamined
	waitingByID map[string]*waiter
	renewals    list.List // of *waiter, the least recently renewed first
	arrived     uint64    // number of streams that were enqueued
	// waitingTokens is the memory that the waiting streams need.
	waitingTokens int
	// kvTokens is the memory of one engine as the last stream stated it; 0: unknown.
	kvTokens   int
	timing     EngineTiming
	demand     window // of arriving streams, with the tokens that they need
	grantTimes window
	arrivals   map[string]*workspaceArrivals // by workspace
	// speeds is the model of the engines' speeds; nil: nothing was learned.
	speeds *enginespeed.Model
	ranks  []*rank // of ranked streams, sorted by priority
	ranked bool    // some waiting stream is ranked, as of the last call of order
	// free is the result of round.freeMemory at freeAt, less later grants.
	free    float64
	freeAt  time.Time
	refusal refusal
	// median caches the median speed for medianTTL.
	median        speed
	medianUnknown bool // no prefill was timed when the median was last computed
	// notSlow is the position of an engine that was not slow in the last pass.
	notSlow int
	// idle, eligible and candidates are reused between choices to avoid allocations.
	idle       engineSet
	eligible   []*server
	candidates []placement.Candidate
	// rescannedAt is when all waiting streams were last examined.
	rescannedAt time.Time
	// newStreamNext is set after a grant to an interrupted stream: the next grant goes to
	// a new stream.
	newStreamNext bool
}

type vm struct {
	report  Report
	at      time.Time
	counted bool // its report is included in Scheduler.suspicions
}

type waiter struct {
	Stream
	enqueuedAt time.Time
	renewedAt  time.Time
	renewal    *list.Element // in service.renewals
	arrival    uint64        // position among all streams that were enqueued
	decided    bool
	unexamined bool // it was enqueued or changed since the last pass
	// As of the last call of order.
	class  class
	surges bool
	tried  bool // in the present pass, before its turn
	// takesLast is set if the stream, if late, may take the memory that late streams leave.
	takesLast bool
}

// New returns a Scheduler without servers. rng returns a random number in [0, n); nil
// stands for rand.IntN.
func New(rng func(n int) int) *Scheduler {
	if rng == nil {
		rng = rand.IntN
	}
	return &Scheduler{rng: rng, suspicions: map[string]*suspicionCounts{}, servers: map[string]*server{}, services: map[string]*service{}, vms: map[string]*vm{}, unconfirmed: map[string]int{}}
}

func (s *Scheduler) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{}
		v.listEngines()
		s.services[name] = v
	}
	return v
}

// SetServers replaces the list of servers that may receive new work.
func (s *Scheduler) SetServers(list []Server) {
	former := s.servers
	s.servers = make(map[string]*server, len(list))
	for _, v := range s.services {
		v.servers = v.servers[:0]
	}
	for _, listed := range list {
		if s.servers[listed.ID] != nil {
			continue
		}
		known := former[listed.ID]
		if known == nil {
			known = &server{usage: s.usageOf(listed.ID), suspicions: s.suspicionsOf(listed.ID)}
			known.lost = health{s.quorum}.lost(known)
		}
		known.Server = listed
		s.servers[listed.ID] = known
		v := s.service(listed.Service)
		v.servers = append(v.servers, known)
	}
	for _, v := range s.services {
		v.listEngines()
		v.medianUnknown = false
		s.retainSpeeds(v)
	}
	maps.DeleteFunc(s.suspicions, func(id string, o *suspicionCounts) bool { return s.servers[id] == nil && o.avoiding+o.suspecting == 0 })
}

// usageOf sums the reported usage and the unconfirmed grants of a server that was not
// listed.
func (s *Scheduler) usageOf(id string) placement.Usage {
	var sum placement.Usage
	for _, v := range s.vms {
		sum = sum.Add(v.report.Usage[id])
	}
	for _, g := range s.grants {
		for _, u := range g.usages {
			if u.server == id {
				sum = sum.Add(u.usage)
			}
		}
	}
	return sum
}

func (s *Scheduler) addUsage(id string, u placement.Usage) {
	if e := s.servers[id]; e != nil && u != (placement.Usage{}) {
		e.addUsage(u)
	}
}

// changeUsage adds the difference of two reports.
func (s *Scheduler) changeUsage(id string, u placement.Usage, now time.Time) {
	s.addUsage(id, u)
	if e := s.servers[id]; e != nil && u.PendingPrompt != 0 {
		e.notePending(e.usage.PendingPrompt-u.PendingPrompt, now)
	}
}

// ReceiveReport replaces the previous report of a VM.
func (s *Scheduler) ReceiveReport(name string, r Report, now time.Time) {
	v := s.vms[name]
	if v == nil {
		v = &vm{}
		s.vms[name] = v
	}
	former := v.report.Usage
	for id, u := range r.Usage {
		s.changeUsage(id, u.Add(former[id].Negated()), now)
	}
	for id, u := range former {
		if _, ok := r.Usage[id]; !ok {
			s.changeUsage(id, u.Negated(), now)
		}
	}
	// The new report is counted before the old one is removed: an engine that both
	// suspect keeps the time of its first suspicion.
	s.countSuspicions(&r, 1, now)
	s.uncountReport(v, now)
	v.report, v.at, v.counted = r, now, true
	s.recordAlive(r.Alive, now)
	for name, p := range r.EngineTimings {
		s.service(name).learn(p)
	}
	s.learnSpeeds(r.Speeds, now)
	if s.unconfirmed[name] > 0 {
		s.dropGrants(func(g *grant) bool { return g.vm == name && g.number <= r.LastGrant })
	}
	for id := range former {
		if e := s.servers[id]; e != nil {
			e.endPrefill(now)
		}
	}
}

// Forget removes a VM that is no longer heard from, with its grants and waiting streams.
func (s *Scheduler) Forget(name string) {
	v := s.vms[name]
	if v == nil {
		return
	}
	for id, u := range v.report.Usage {
		s.addUsage(id, u.Negated())
	}
	s.uncountReport(v, v.at)
	delete(s.vms, name)
	s.dropGrants(func(g *grant) bool { return g.vm == name })
	for _, v := range s.services {
		v.remove(func(w *waiter) bool { return w.VM == name })
	}
}

// Enqueue adds a stream to those that wait for an engine. One that waits already is
// renewed and keeps its position.
func (s *Scheduler) Enqueue(st Stream, now time.Time) {
	v := s.service(st.Service)
	v.kvTokens = st.KVTokens
	if w := v.waitingByID[st.ID]; w != nil {
		if !slices.Equal(w.ExcludedEngines, st.ExcludedEngines) || w.Version != st.Version || w.VersionShare != st.VersionShare || !slices.Equal(w.Versions, st.Versions) {
			v.setUnexamined(w, true)
		}
		w.ExcludedEngines, w.EventsReceived, w.renewedAt = st.ExcludedEngines, st.EventsReceived, now
		w.Versions, w.Version, w.VersionShare = st.Versions, st.Version, st.VersionShare
		v.renewals.MoveToBack(w.renewal)
		return
	}
	v.demand.add(now, st.Need.Tokens())
	v.recordArrival(st.Workspace, now)
	v.recordRank(&st, now)
	v.enqueue(&waiter{Stream: st, enqueuedAt: now, renewedAt: now})
}

// HasWaiting reports whether any stream waits.
func (s *Scheduler) HasWaiting() bool {
	for _, v := range s.services {
		if len(v.waiting) > 0 {
			return true
		}
	}
	return false
}

// Decide returns a decision for each stream that can be granted or refused now.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.expireGrants(now)
	if !s.HasWaiting() {
		return nil // reports come hundreds of times a second
	}
	s.health(now)
	var out []Decision
	for _, v := range s.services {
		v.expireWaiting(now)
		if len(v.waiting) > 0 {
			out = append(out, s.serve(v, now)...)
		}
	}
	return out
}

func (s *Scheduler) decideStream(w *waiter, r *round) Decision {
	d := Decision{Stream: &w.Stream}
	r.vm = r.vms[w.VM]
	if w.KVTokens > 0 && w.Need.Tokens() > w.KVTokens {
		d.Outcome = TooLarge
		return d
	}
	if left := w.Deadline.Sub(r.now); r.minDuration(w) > left || r.missesFirstEvent(w, 0) {
		// Its deadline passes before a retry could succeed.
		d.Outcome, d.RetryAfter = Refused, min(max(left, minRetryAfter), maxRetryAfter)
		return d
	}
	var e *server
	if r.ranked == nil || r.ranked.mayStart(w) {
		e = r.engine(w, s.rng)
	}
	switch {
	case e != nil:
		s.grant(w, r, e, &d)
	case !r.anyEngineAccepts(w):
		d.Outcome = NoServer
	case r.ahead >= maxWaiting || r.missesDeadline(w):
		d.Outcome, d.RetryAfter = Refused, r.retryAfter(w, s.rng)
	default:
		r.ahead++
	}
	return d
}
