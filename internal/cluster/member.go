package cluster

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Local connects a Member to its VM: the values that it reports and the functions that
// take what it receives. A function without a comment returns the value of the Heartbeat
// field with its name. A nil function is not called.
type Local struct {
	Zone     string
	Endpoint string
	Ready    func() bool
	Use      func() map[string]placement.Usage
	Deaths   func() []recovery.Death
	Dead     func() []string
	Runs     func() []forward.ResumableRun
	// CarriesStream reports whether this VM carries a stream now.
	CarriesStream func(id forward.RunID) bool
	// ReaderOf returns the VM for which this one serves a stream.
	ReaderOf func(id forward.RunID) (handoff.Reader, bool)
	Spent    func() map[string]forward.RetryUsage
	// BackendReport returns what this VM observed of the backend servers. EngineTimings
	// returns what it measured on the engines of each service.
	BackendReport func() upstream.Report
	EngineTimings func() map[string]scheduler.EngineTiming
	// TakeEngineSpeeds returns what this VM measured on engines since the last call.
	TakeEngineSpeeds func() map[string]enginespeed.Observation
	// Learn takes the reports of the other VMs, and LearnSpent what all of them spent of
	// the retry budgets, by service.
	Learn      func(PeerReports)
	LearnSpent func(map[string]forward.RetryUsage)
	// Rollouts returns what this VM observed of roll-outs. Urgent reports whether the
	// control VMs need it soon.
	Rollouts func() []rollout.Report
	Urgent   func() bool
	// Withheld returns the servers that must not be sent any request now.
	Withheld func() []string
	// Limits returns what this VM knows of rate limits and SentElsewhere the sends without a
	// permit of a control VM, both by server id. LearnLimits takes what other VMs know.
	Limits        func() map[string]backpressure.Limit
	SentElsewhere func(granter string) map[string]uint64
	LearnLimits   func(map[string]backpressure.Limit)
	// Leaving returns the servers that leave by their own statement. LearnLeaving takes those
	// that other VMs know.
	Leaving      func() []string
	LearnLeaving func([]string)
	// Lost returns the services of which this VM reaches no server. Hears reports whether it
	// has just heard a server of one.
	Lost  func() []string
	Hears func(service string) bool
	// Contents returns the records of suspect contents that the control VMs may not know.
	// LearnContents takes those that they tell.
	Contents      func() map[uint64]recovery.ContentRecord
	LearnContents func(map[uint64]recovery.ContentRecord)
	// Control reports that this VM is a control VM with a disk.
	Control bool
	// LearnEndpoints takes the directory: the addresses of VMs that accept callers.
	LearnEndpoints func(Directory)
	// Capacity is the size of the VM, and Load returns its load in thousandths; 0: unknown.
	// LearnBalance takes how the load compares with that of others, while VMs are weighted.
	Capacity     capacity.Size
	Load         func() uint16
	LearnBalance func(Balance)
}

// Member is a VM's client of the control VMs: it sends heartbeats and applies the
// replies. Safe for concurrent use.
type Member struct {
	self  string
	t     peer.Transport
	local Local
	list  *ListReplica
	log   zerolog.Logger

	mu              sync.Mutex
	seeds           []string
	learnedControls map[string]time.Time     // control VMs, and when a reply last named them
	namedControls   map[string]namedControls // by the control VM that replied
	observers       map[string]time.Time     // VMs that answered as an Observer, and when
	lastAnswers     map[string]time.Time
	loggedSilent    map[string]bool // control VMs whose silence has been logged
	pendingFetch    listFetch
	listSource      string                   // the control VM that is asked for changes of the list
	listAges        map[string]time.Duration // in the replies of this round, by control VM
	fetchSignal     signal                   // raised to fetch pendingFetch
	peers           peerState
	heartbeatSignal signal
	fullRoundAt     time.Time     // when all control VMs were last sent a heartbeat
	incarnation     uint64        // of this process
	spendingSeq     atomic.Uint64 // of the last RetrySpending
	spendingSignal  signal        // raised to report retries
	placing         *placing
	calls           *callClient
	terms           atomic.Pointer[termState] // of the Hub that joined; nil on routers
	statements      statementState
	contents        contentState
	lost            lostState
	records         *recordSender
}

// NewMember returns a Member of the VM self. seeds are the ids of control VMs from the
// settings; some may be outdated.
func NewMember(self string, t peer.Transport, seeds []string, list *ListReplica, local Local, log zerolog.Logger) *Member {
	m := &Member{
		self: self, t: t, local: local, list: list, log: log, seeds: seeds,
		learnedControls: map[string]time.Time{}, namedControls: map[string]namedControls{}, observers: map[string]time.Time{}, lastAnswers: map[string]time.Time{}, loggedSilent: map[string]bool{}, heartbeatSignal: newSignal(),
		incarnation: rand.Uint64(), spendingSignal: newSignal(), placing: newPlacing(), calls: newCallClient(), fetchSignal: newSignal(),
		listAges: map[string]time.Duration{}, records: newRecordSender(),
	}
	t.Handle(peer.KindPlaceDecision, m.servePlaceDecision)
	t.Handle(peer.KindCallGrantDecision, m.serveCallDecision)
	t.Handle(peer.KindCarriesStream, m.serveCarriesStream)
	return m
}

// SetSeeds replaces the seeds after a change of the settings.
func (m *Member) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Controls returns the ids of the known control VMs, sorted: the seeds and the learned
// ones without observers. If only observers are known, it returns those.
func (m *Member) Controls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	old := func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter }
	maps.DeleteFunc(m.learnedControls, old)
	maps.DeleteFunc(m.observers, old)
	out := slices.Concat(m.seeds, slices.Collect(maps.Keys(m.learnedControls)))
	slices.Sort(out)
	out = slices.Compact(out)
	observes := func(vm string) bool { _, is := m.observers[vm]; return is }
	if !slices.ContainsFunc(out, func(vm string) bool { return !observes(vm) }) {
		return out
	}
	return slices.DeleteFunc(out, observes)
}

// Run sends heartbeats and fetches lists until ctx ends.
func (m *Member) Run(ctx context.Context) {
	go m.fetchSignal.each(ctx, m.fetchList)
	for {
		began := time.Now()
		m.sendHeartbeats(ctx)
		if !m.waitNext(ctx, m.interval()-time.Since(began)) {
			return
		}
	}
}

// interval returns the time until the next heartbeat. It is short while the VM has no
// list of backend servers, because it cannot serve any request without one. After a
// restart of all VMs the control VMs answer a few tenths of a second before they have
// read the list.
func (m *Member) interval() time.Duration {
	_, _, _, listed := m.list.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.lastAnswers) == 0 || !listed {
		return initialHeartbeatInterval
	}
	if m.local.Urgent != nil && m.local.Urgent() {
		return urgentHeartbeatInterval
	}
	return HeartbeatInterval
}

// waitNext waits for d or until NotifyNow is called. It returns false once ctx ends.
func (m *Member) waitNext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.heartbeatSignal:
	case <-ctx.Done():
		return false
	}
	return true
}

// NotifyNow makes Run send the next heartbeat at once and does not block. Without it, a
// VM that has just become ready would stay out of the directory for an interval.
func (m *Member) NotifyNow() { m.heartbeatSignal.raise() }

// SendNow sends heartbeats and waits for the replies. A VM that shuts down uses it
// because it cannot wait for the next interval.
func (m *Member) SendNow(ctx context.Context) { m.sendHeartbeats(ctx) }

func (m *Member) sendHeartbeats(ctx context.Context) {
	var deaths []recovery.Death
	if m.local.Deaths != nil {
		deaths = m.local.Deaths()
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	heartbeat, to := m.heartbeat(deaths), m.recipients()
	for _, vm := range m.heartbeatTargets() {
		if vm != m.self {
			wg.Go(func() { m.exchange(ctx, vm, m.heartbeatFor(heartbeat, vm, &to)) })
		}
	}
	wg.Wait()
	m.chooseListSource()
}

// heartbeatTargets returns the control VMs that are sent this round's heartbeats: all of them,
// or between two such rounds a few at random while this VM lacks the list. After a start of all
// VMs every one of them lacks it, and the control VMs need their time to hand it out.
func (m *Member) heartbeatTargets() []string {
	controls := m.Controls()
	_, _, _, listed := m.list.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if listed || m.local.Control || now.Sub(m.fullRoundAt) >= HeartbeatInterval {
		m.fullRoundAt = now
		return controls
	}
	rand.Shuffle(len(controls), func(i, k int) { controls[i], controls[k] = controls[k], controls[i] })
	return controls[:min(len(controls), targetsWithoutList)]
}

// recipients are the control VMs whose heartbeats carry more than those to the others.
type recipients struct {
	summary    string   // is asked for the Summary
	endpoints  string   // is asked for the directory
	changes    string   // is asked for changes of the list of backend servers
	useReports []string // receive reports of engine use; empty: all do
}

func (m *Member) recipients() recipients {
	to := recipients{endpoints: m.freshestControl(), useReports: m.schedulers(useReportTargets)}
	to.summary = to.endpoints
	if len(to.useReports) > 0 {
		// Only the scheduling control VM knows the waiting streams, and therefore whether
		// memory is low.
		to.summary = to.useReports[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	to.changes = m.listSource
	return to
}

// heartbeatFor returns the variant of a heartbeat for one control VM.
func (m *Member) heartbeatFor(heartbeat Heartbeat, vm string, to *recipients) Heartbeat {
	if len(to.useReports) > 0 && !slices.Contains(to.useReports, vm) {
		heartbeat.UseReport = UseReport{}
	}
	if slices.Contains(to.useReports, vm) && m.local.SentElsewhere != nil {
		heartbeat.SentElsewhere = m.local.SentElsewhere(vm)
	}
	heartbeat.WantChanges = heartbeat.WantChanges || vm == to.changes
	heartbeat.WantEndpoints = vm == to.endpoints && m.local.LearnEndpoints != nil
	heartbeat.WantSummary = vm == to.summary && (m.local.Learn != nil || m.local.LearnSpent != nil)
	// A router that has just started must know the suspect contents before it sends anything.
	if m.local.LearnContents != nil && (heartbeat.WantSummary || !m.contents.learned()) {
		heartbeat.WantContents, heartbeat.ContentsVersion = true, m.contents.versionOf(vm)
	}
	if heartbeat.WantSummary {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := time.Now()
		heartbeat.RoutersDigest, heartbeat.SkipRouters = m.peers.routersDigest, !m.peers.wantsRouters(now)
		heartbeat.WantUse = m.peers.wantsUse(now)
	}
	return heartbeat
}

// freshestControl returns the control VM with the most recent reply, which is asked for
// state that all control VMs hold. It is empty if none has answered.
func (m *Member) freshestControl() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := ""
	for vm, at := range m.lastAnswers {
		if best == "" || at.After(m.lastAnswers[best]) {
			best = vm
		}
	}
	return best
}

func (m *Member) heartbeat(deaths []recovery.Death) Heartbeat {
	heartbeat := Heartbeat{Zone: m.local.Zone, Endpoint: m.local.Endpoint, Deaths: deaths, Control: m.local.Control, KeepsVersions: m.local.Control}
	if m.local.Capacity != (capacity.Size{}) {
		heartbeat.Capacity = &m.local.Capacity
	}
	if m.local.Load != nil {
		heartbeat.Load = m.local.Load()
	}
	if m.local.Ready != nil {
		heartbeat.Ready = m.local.Ready()
	}
	if m.local.Dead != nil {
		heartbeat.Dead = m.local.Dead()
	}
	if m.local.Runs != nil {
		heartbeat.Runs = m.local.Runs()
	}
	if m.local.Rollouts != nil {
		heartbeat.Rollouts = m.local.Rollouts()
	}
	heartbeat.Spent = m.ownSpending()
	heartbeat.UseReport = m.fullUseReport()
	heartbeat.Limits, heartbeat.Leaving = m.newLimits(), m.newLeaving()
	heartbeat.Contents = m.newContents()
	m.addReach(&heartbeat)
	if terms := m.terms.Load(); terms != nil {
		heartbeat.Term, heartbeat.HolderHeardMS = terms.statement()
	}
	if rows, digest, age, ok := m.list.Current(); ok {
		heartbeat.ListDigest, heartbeat.ListAgeMS = digest, age.Milliseconds()
		// While the list is young, routers ask a single control VM for changes. Otherwise
		// each control VM would send the changes that the loss of a zone causes.
		heartbeat.WantChanges = m.local.Control || age > staleAge(len(rows))
	}
	return heartbeat
}

func (m *Member) exchange(ctx context.Context, vm string, heartbeat Heartbeat) {
	sent := time.Now()
	heartbeat.ControlsDigest = m.controlsDigest(vm)
	var reply HeartbeatReply
	if err := m.t.Call(ctx, vm, peer.KindHeartbeat, heartbeat, &reply); err != nil {
		m.recordFailure(vm, err)
		return
	}
	m.recordAnswer(vm, &reply)
	if reply.Observer {
		return
	}
	m.hearTerm(vm, &reply)
	m.learnLevels(vm, reply.Levels)
	m.learnContents(vm, &reply) // before the list of servers, without which nothing is sent
	m.applyChanges(vm, &heartbeat, &reply, time.Since(sent))
	if heartbeat.WantEndpoints && !reply.EndpointsHeld {
		m.local.LearnEndpoints(directoryIn(&reply))
	}
	if !heartbeat.WantSummary {
		return
	}
	if reply.Balance != nil && m.local.LearnBalance != nil {
		m.local.LearnBalance(*reply.Balance)
	}
	m.learnPeerReports(vm, &reply, heartbeat.Dead)
}

// learnPeerReports decodes the reports of all VMs in a reply and passes them on.
func (m *Member) learnPeerReports(vm string, reply *HeartbeatReply, dead []string) {
	m.mu.Lock()
	reports, err := m.peers.learn(reply, dead, time.Now())
	m.mu.Unlock()
	if err != nil {
		m.log.Error().Err(err).Str("control", vm).Msg("summary of the other VMs could not be decoded; keeping the previous one")
		return
	}
	m.learnSpent(reports.Spent)
	m.learnLimits(reports.Limits)
	m.learnLeaving(reports.Leaving)
	m.learnLost(reports.Lost)
	if reply.ContentsVersion != 0 {
		reports.Deaths = nil // the records of contents tell more
	}
	if m.local.Learn != nil {
		m.local.Learn(reports)
	}
}

func (m *Member) recordAnswer(vm string, reply *HeartbeatReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if reply.Observer {
		m.observers[vm] = now
	} else {
		m.lastAnswers[vm] = now
		delete(m.observers, vm)
	}
	if m.loggedSilent[vm] {
		delete(m.loggedSilent, vm)
		m.log.Info().Str("control", vm).Msg("control VM answers again")
	}
	for _, c := range m.controlsIn(vm, reply) {
		m.learnedControls[c] = now
	}
}

func (m *Member) recordFailure(vm string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.lastAnswers, vm)
	delete(m.namedControls, vm)
	if !m.loggedSilent[vm] {
		m.loggedSilent[vm] = true
		m.log.Warn().Err(err).Str("control", vm).Msg("control VM does not answer")
	}
}
