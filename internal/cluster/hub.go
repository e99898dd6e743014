package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
	"github.com/amaranthshelf/amaranthshelf/internal/endpoints"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Hub receives the heartbeats of all VMs on a control VM and keeps the directory of
// those that are present. Safe for concurrent use.
type Hub struct {
	list     *ListReplica
	controls func() []string
	log      zerolog.Logger

	scheduling *schedulerService
	calls      *callGrantService
	recorded   recordedCounts

	mu            sync.Mutex
	vms           map[string]vmState
	loggedSilent  map[string]bool // VMs whose silence has been logged
	expiredAt     time.Time       // when silent VMs were last looked for
	retrySpending *spendingTable
	ledger        *rollout.Ledger
	permits       *permitService
	contents      *contentService
	leaving       leavingServers
	cordonedVMs   cordon.Names // named to no caller
	directoryHeld bool         // cordons are not known yet: no VM is named
	listLimiter   listLimiter
	deaths        []reportedDeath
	summary       *encodedSummary // nil: must be rebuilt
	startedAt     time.Time
	addresses     *endpoints.Sequence
	// formerRuns are the stream runs of router processes that have started again.
	formerRuns []runReport
	// savedRuns are the stream runs that a former process saved; their copies are
	// offered until copiesExpireAt.
	savedRuns                         []forward.ReportedRun
	copiesExpireAt, savedRunsExpireAt time.Time
}

type vmState struct {
	vm        string
	heartbeat Heartbeat
	at        time.Time
	joinedAt  time.Time // zero: before the Hub started
}

func (s vmState) acceptsCallers() bool { return s.heartbeat.Ready && s.heartbeat.Endpoint != "" }

type reportedDeath struct {
	death recovery.Death
	at    time.Time
}

// NewHub returns a Hub and registers its message handlers with t. controls returns the
// ids of the control VMs.
func NewHub(t peer.Transport, list *ListReplica, controls func() []string, log zerolog.Logger) *Hub {
	h := &Hub{
		list: list, controls: controls, vms: map[string]vmState{}, loggedSilent: map[string]bool{}, retrySpending: newSpendingTable(), ledger: rollout.NewLedger(), log: log,
		scheduling: newSchedulerService(t, log), calls: newCallGrantService(t, log), permits: newPermitService(), contents: newContentService(), leaving: leavingServers{}, startedAt: time.Now(), addresses: newSequence(),
	}
	h.scheduling.learnServers = h.calls.setServers
	list.KeepHistory()
	t.Handle(peer.KindHeartbeat, h.serveHeartbeat)
	t.Handle(peer.KindBackendList, h.serveList)
	t.Handle(peer.KindFindRun, h.serveFindRun)
	t.Handle(peer.KindRetrySpending, h.serveSpent)
	t.Handle(peer.KindPlace, h.scheduling.servePlace)
	t.Handle(peer.KindUseReport, h.scheduling.serveUseReport)
	t.Handle(peer.KindPermit, h.servePermit)
	t.Handle(peer.KindContentTrial, h.serveContentTrial)
	t.Handle(peer.KindContentTrialEnd, h.serveContentTrialEnd)
	t.Handle(peer.KindCallGrant, h.calls.serveRequest)
	t.Handle(peer.KindCallDone, h.calls.serveDone)
	return h
}

func (h *Hub) serveHeartbeat(_ context.Context, from string, body []byte) (any, error) {
	var heartbeat Heartbeat
	if err := codec.Unmarshal(body, &heartbeat); err != nil {
		return nil, err
	}
	h.recordHeartbeat(from, heartbeat)
	h.scheduling.receiveReport(from, &heartbeat.UseReport)
	reply := HeartbeatReply{Levels: h.scheduling.currentLevels()}
	h.hearTerm(from, &heartbeat, &reply)
	reply.setControls(h.controls(), &heartbeat)
	if heartbeat.WantContents {
		h.addContents(heartbeat.ContentsVersion, &reply)
	}
	if heartbeat.WantSummary || heartbeat.WantEndpoints {
		if err := h.addPeerReports(from, &heartbeat, &reply); err != nil {
			return nil, err
		}
	}
	_, digest, age, ok := h.list.Current()
	if !ok {
		return reply, nil
	}
	reply.HasList, reply.ListDigest, reply.ListAgeMS = true, digest, age.Milliseconds()
	// A VM whose list is younger than this one needs no changes.
	if heartbeat.WantChanges && digest != heartbeat.ListDigest && reply.ListAgeMS < heartbeat.ListAgeMS {
		changed, digest, ok, err := h.list.PackedDifferenceSince(heartbeat.ListDigest)
		if err != nil {
			return nil, err
		}
		if ok {
			reply.Changes, reply.ListDigest = &changed, digest
		}
	}
	return reply, nil
}

// addPeerReports adds the requested reports of all VMs to a reply.
func (h *Hub) addPeerReports(from string, heartbeat *Heartbeat, reply *HeartbeatReply) error {
	s, err := h.summarize()
	if err != nil {
		return err
	}
	if heartbeat.WantSummary {
		s.addTo(reply, from, heartbeat)
		reply.Spent = h.spentByOthers(heartbeat.Spent.Incarnation)
		reply.Balance = s.balanceFor(from)
	}
	if heartbeat.WantEndpoints {
		s.directory.addTo(reply)
		reply.EndpointsHeld = s.endpointsHeld
	}
	return nil
}

// SetBackends sets the backend servers that may be scheduled.
func (h *Hub) SetBackends(l upstream.List) { h.scheduling.setServers(l) }

// Totals returns the state of the streams that are scheduled here.
func (h *Hub) Totals() Totals { return h.scheduling.totals() }

// CallTotals returns the state of the calls that are granted here.
func (h *Hub) CallTotals() CallTotals { return h.calls.totals() }

// StopGrantingCalls makes the routers decide about their calls by themselves, or ask another
// control VM. It is called before a planned shutdown.
func (h *Hub) StopGrantingCalls() { h.calls.close() }

// Run decides about waiting streams and calls until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	go h.calls.run(ctx)
	h.scheduling.poll(ctx)
}

func (h *Hub) recordHeartbeat(from string, heartbeat Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if _, known := h.vms[from]; !known || h.loggedSilent[from] {
		h.log.Info().Str("member", from).Str("zone", heartbeat.Zone).Bool("ready", heartbeat.Ready).Msg("VM sends heartbeats")
	}
	delete(h.loggedSilent, from)
	v := vmState{vm: from, heartbeat: heartbeat, at: now}
	v.joinedAt = h.joinedAt(v)
	h.keepFormerRuns(&v, now)
	if v.acceptsCallers() != h.vms[from].acceptsCallers() {
		h.summary = nil // callers must not be directed to a router that shuts down
	}
	h.vms[from] = v
	h.retrySpending.record(heartbeat.Spent, now)
	h.ledger.Note(heartbeat.Spent.Incarnation, heartbeat.Rollouts, now)
	h.permits.receive(&heartbeat, now)
	h.contents.receive(heartbeat.Contents, now)
	if h.leaving.learn(heartbeat.Leaving, now) {
		h.summary = nil // other VMs must not send to them either
		h.scheduling.setLeaving(h.leaving)
	}
	h.expireVMs(now)
	for _, d := range heartbeat.Deaths {
		h.deaths = append(h.deaths, reportedDeath{d, now})
	}
}

// Evidence returns what all routers observed of a roll-out in progress.
func (h *Hub) Evidence(service string, number uint64) rollout.Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Sum(service, number, time.Now())
}

// RetainEvidence drops the observations of all roll-outs except those in progress.
func (h *Hub) RetainEvidence(underWay map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Keep(underWay)
}

// expireVMs logs VMs that have become silent and forgets those silent for forgetAfter. It
// looks for them every expiryInterval, whatever the number of heartbeats. It needs h.mu.
func (h *Hub) expireVMs(now time.Time) {
	if now.Sub(h.expiredAt) < expiryInterval {
		return
	}
	h.expiredAt = now
	for vm, s := range h.vms {
		silent := now.Sub(s.at)
		if silent > presenceTimeout && !h.loggedSilent[vm] {
			h.loggedSilent[vm], h.summary = true, nil
			h.scheduling.forget(vm)
			h.calls.forget(vm)
			h.log.Warn().Str("member", vm).Str("zone", s.heartbeat.Zone).Dur("silent", silent).Msg("VM sends no heartbeats; removed from the directory")
		}
		if silent > forgetAfter {
			delete(h.vms, vm)
			delete(h.loggedSilent, vm)
		}
	}
}

// AllKeepVersions reports whether no control VM that sends heartbeats is of an earlier release,
// which does not know the versions of services in the group's log.
func (h *Hub) AllKeepVersions() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.vms {
		if s.heartbeat.Control && !s.heartbeat.KeepsVersions {
			return false
		}
	}
	return true
}

// Endpoints returns at most limit addresses of VMs that accept callers, sorted. zone is the
// caller's zone, or empty.
func (h *Hub) Endpoints(zone string, limit int) []string {
	return h.directory().choose(zone, limit, h.addresses.Next)
}

// ReadyRouters returns the number of VMs that accept callers.
func (h *Hub) ReadyRouters() int { return len(h.directory().Endpoints) }

func (h *Hub) directory() *Directory {
	s, err := h.summarize()
	if err != nil {
		h.log.Error().Err(err).Msg("summary of heartbeats could not be encoded; returning no addresses")
		return &Directory{}
	}
	return &s.directory
}

// sampleAddresses returns at most limit addresses, sorted. If there are more, it draws a
// random sample for each call: with a fixed choice the same VMs would receive all
// callers and the others none. It reorders addrs.
func sampleAddresses(addrs []string, limit int) []string {
	if len(addrs) <= limit {
		return addrs
	}
	rand.Shuffle(len(addrs), func(i, k int) { addrs[i], addrs[k] = addrs[k], addrs[i] })
	addrs = addrs[:limit]
	slices.Sort(addrs)
	return addrs
}
