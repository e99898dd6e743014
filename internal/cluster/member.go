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

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Local is what a Member says of its VM and does with what it hears. Functions
// that are nil are left out.
type Local struct {
	Zone     string
	Endpoint string
	Ready    func() bool
	Use      func() map[string]placement.Usage
	Deaths   func() []recovery.Death
	Dead     func() []string
	Runs     func() []forward.ResumableRun
	Spent    func() map[string]forward.RetryUsage
	// Opinion is what this VM thinks of backend servers, and Paces what it observed of
	// them, by service.
	Opinion func() upstream.Report
	Paces   func() map[string]scheduler.EngineTiming
	// Learn takes what a control VM knows of the other VMs, and LearnSpent what
	// they together spent of the retry budgets.
	Learn      func(PeerReports)
	LearnSpent func(map[string]forward.RetryUsage)
	// Rollouts is what this VM observes of roll-outs, and Urgent that it is wanted soon.
	Rollouts func() []rollout.Report
	Urgent   func() bool
	// Control: this VM is a control VM with a disk.
	Control bool
	// LearnEntrances takes the directory.
	LearnEndpoints func([]string)
}

// Member is a VM's side of the exchange. Safe for concurrent use.
type Member struct {
	self  string
	t     peer.Transport
	local Local
	held  *ListReplica
	log   zerolog.Logger

	mu         sync.Mutex
	seeds      []string
	learnt     map[string]time.Time // control VMs, when they were last named
	observers  map[string]time.Time // when they last said that they are
	answered   map[string]time.Time
	silent     map[string]bool // told once in the log
	wanted     wanted
	listSource string                   // is asked for changes of the list
	listAges   map[string]time.Duration // in the answers of this round, by control VM
	lists      signal                   // a list is to be fetched
	others     others
	nudged     signal
	life       uint64        // of this process
	turn       atomic.Uint64 // of what is told of its spending
	spending   signal        // something is to be told
	placing    *placing
}

// NewMember returns a Member that knows the seeds, VM ids of control VMs.
func NewMember(self string, t peer.Transport, seeds []string, held *ListReplica, local Local, log zerolog.Logger) *Member {
	m := &Member{
		self: self, t: t, local: local, held: held, log: log, seeds: seeds,
		learnt: map[string]time.Time{}, observers: map[string]time.Time{}, answered: map[string]time.Time{}, silent: map[string]bool{}, nudged: newSignal(),
		life: rand.Uint64(), spending: newSignal(), placing: newPlacing(), lists: newSignal(),
		listAges: map[string]time.Duration{},
	}
	t.Handle(peer.KindPlaced, m.servePlaced)
	return m
}

// SetSeeds takes other seeds, from changed settings.
func (m *Member) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Controls are the control VMs known now: the seeds and those learnt, without those
// that are observers. Where only observers are known they are the ones to ask.
func (m *Member) Controls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	old := func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter }
	maps.DeleteFunc(m.learnt, old)
	maps.DeleteFunc(m.observers, old)
	out := slices.Concat(m.seeds, slices.Collect(maps.Keys(m.learnt)))
	slices.Sort(out)
	out = slices.Compact(out)
	observes := func(vm string) bool { _, is := m.observers[vm]; return is }
	if !slices.ContainsFunc(out, func(vm string) bool { return !observes(vm) }) {
		return out
	}
	return slices.DeleteFunc(out, observes)
}

// Run sends notices until ctx ends.
func (m *Member) Run(ctx context.Context) {
	go m.lists.each(ctx, m.fetchList)
	for {
		began := time.Now()
		m.round(ctx)
		if !m.pause(ctx, m.interval()-time.Since(began)) {
			return
		}
	}
}

// interval is the time between two notices. A VM that holds no list of backend servers
// yet serves nobody: after a restart of all, the control VMs answer some tenths of a
// second before they have read it.
func (m *Member) interval() time.Duration {
	_, _, _, listed := m.held.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.answered) == 0 || !listed {
		return searchEvery
	}
	if m.local.Urgent != nil && m.local.Urgent() {
		return urgentEvery
	}
	return HeartbeatInterval
}

// pause waits for d, or until the VM has something new to say.
func (m *Member) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.nudged:
	case <-ctx.Done():
		return false
	}
	return true
}

// Nudge sends the next notice at once: a VM that has just become ready would
// otherwise stay out of the directory for an interval.
func (m *Member) NotifyNow() { m.nudged.raise() }

// Tell sends one more round at once: a VM that is leaving must not wait.
func (m *Member) SendNow(ctx context.Context) { m.round(ctx) }

func (m *Member) round(ctx context.Context) {
	var deaths []recovery.Death
	if m.local.Deaths != nil {
		deaths = m.local.Deaths()
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	n, to := m.notice(deaths), m.addressees()
	for _, vm := range m.Controls() {
		if vm != m.self {
			wg.Go(func() { m.exchange(ctx, vm, m.noticeFor(n, vm, &to)) })
		}
	}
	wg.Wait()
	m.chooseListSource()
}

// addressees are the control VMs that are asked and told more than the others.
type addressees struct {
	load      string   // is asked what the other VMs do
	entrances string   // is asked for the directory
	changes   string   // is asked what has changed in the list of backend servers
	told      []string // are told of the use of engines; empty: all are
}

func (m *Member) addressees() addressees {
	a := addressees{entrances: m.source(), told: m.schedulers(toldControls)}
	a.load = a.entrances
	if len(a.told) > 0 {
		// Only the control VM that decides knows who waits, and so whether memory is short.
		a.load = a.told[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a.changes = m.listSource
	return a
}

// noticeFor is what one control VM gets of a notice.
func (m *Member) noticeFor(n Heartbeat, vm string, to *addressees) Heartbeat {
	if len(to.told) > 0 && !slices.Contains(to.told, vm) {
		n.UseReport = UseReport{}
	}
	n.WantChanges = n.WantChanges || vm == to.changes
	n.WantEndpoints = vm == to.entrances && m.local.LearnEndpoints != nil
	n.WantSummary = vm == to.load && (m.local.Learn != nil || m.local.LearnSpent != nil)
	if n.WantSummary {
		m.mu.Lock()
		defer m.mu.Unlock()
		n.RoutersDigest, n.WantUse = m.others.digest, m.others.wantsUse(time.Now())
	}
	return n
}

// source is the control VM that answered last: the one to ask what all of them know.
func (m *Member) source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := ""
	for vm, at := range m.answered {
		if best == "" || at.After(m.answered[best]) {
			best = vm
		}
	}
	return best
}

func (m *Member) notice(deaths []recovery.Death) Heartbeat {
	n := Heartbeat{Zone: m.local.Zone, Endpoint: m.local.Endpoint, Deaths: deaths, Control: m.local.Control}
	if m.local.Ready != nil {
		n.Ready = m.local.Ready()
	}
	if m.local.Dead != nil {
		n.Dead = m.local.Dead()
	}
	if m.local.Runs != nil {
		n.Runs = m.local.Runs()
	}
	if m.local.Rollouts != nil {
		n.Rollouts = m.local.Rollouts()
	}
	n.Spent = m.spent()
	n.UseReport = m.toldWhole()
	if _, digest, age, ok := m.held.Current(); ok {
		n.ListDigest, n.ListAgeMS = digest, age.Milliseconds()
		// One control VM tells of changes, as long as the list is young: what a zone's
		// loss changes would else come from each of them.
		n.WantChanges = m.local.Control || age > staleList
	}
	return n
}

func (m *Member) exchange(ctx context.Context, vm string, n Heartbeat) {
	sent := time.Now()
	var a HeartbeatReply
	if err := m.t.Call(ctx, vm, peer.KindNotice, n, &a); err != nil {
		m.missed(vm, err)
		return
	}
	m.heard(vm, &a)
	if a.Observer {
		return
	}
	m.takeChanges(vm, &n, &a, time.Since(sent))
	if n.WantEndpoints {
		m.local.LearnEndpoints(a.Endpoints)
	}
	if !n.WantSummary {
		return
	}
	m.learnAll(vm, &a, n.Dead)
}

// learnAll takes what all VMs told.
func (m *Member) learnAll(vm string, a *HeartbeatReply, dead []string) {
	m.mu.Lock()
	k, err := m.others.learn(a, dead, time.Now())
	m.mu.Unlock()
	if err != nil {
		m.log.Error().Err(err).Str("control", vm).Msg("what the other VMs do is not readable")
		return
	}
	m.learnSpent(k.Spent)
	if m.local.Learn != nil {
		m.local.Learn(k)
	}
}

// Find asks a control VM for what a stream left that another VM carried.
func (m *Member) FindOrphan(ctx context.Context, identity uint64) (forward.Orphan, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var out forward.Orphan
	if err := m.t.Call(ctx, m.source(), peer.KindKept, identity, &out); err != nil {
		m.log.Debug().Err(err).Msg("no answer about a copy")
		return forward.Orphan{}, false
	}
	return out, out != (forward.Orphan{})
}

func (m *Member) heard(vm string, a *HeartbeatReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if a.Observer {
		m.observers[vm] = now
	} else {
		m.answered[vm] = now
		delete(m.observers, vm)
	}
	if m.silent[vm] {
		delete(m.silent, vm)
		m.log.Info().Str("control", vm).Msg("control VM answers again")
	}
	for _, c := range a.Controls {
		m.learnt[c] = now
	}
}

func (m *Member) missed(vm string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.answered, vm)
	if !m.silent[vm] {
		m.silent[vm] = true
		m.log.Warn().Err(err).Str("control", vm).Msg("control VM does not answer")
	}
}
