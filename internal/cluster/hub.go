package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Hub is a control VM's side: who is there. Safe for concurrent use.
type Hub struct {
	held     *ListReplica
	controls func() []string
	log      zerolog.Logger

	schedule *schedule

	mu     sync.Mutex
	vms    map[string]seen
	silent map[string]bool // told in the log
	spent  spentBook
	ledger *rollout.Ledger
	lists  listPace
	deaths []toldDeath
	summed *summary // nil: to be made anew
	// recalled is what an earlier life wrote down; its copies are there until copiesTo.
	recalled             []forward.ResumableRun
	copiesTo, recalledTo time.Time
}

type seen struct {
	vm     string
	notice Heartbeat
	at     time.Time
}

func (s seen) takesCallers() bool { return s.notice.Ready && s.notice.Endpoint != "" }

type toldDeath struct {
	death recovery.Death
	at    time.Time
}

// NewHub registers the handler of notices. controls names the control VMs.
func NewHub(t peer.Transport, held *ListReplica, controls func() []string, log zerolog.Logger) *Hub {
	h := &Hub{held: held, controls: controls, vms: map[string]seen{}, silent: map[string]bool{}, spent: spentBook{}, ledger: rollout.NewLedger(), log: log, schedule: newSchedule(t, log)}
	held.KeepHistory()
	t.Handle(peer.KindNotice, h.serve)
	t.Handle(peer.KindList, h.serveList)
	t.Handle(peer.KindKept, h.serveKept)
	t.Handle(peer.KindSpent, h.serveSpent)
	t.Handle(peer.KindPlace, h.schedule.servePlace)
	t.Handle(peer.KindUse, h.schedule.serveUse)
	return h
}

func (h *Hub) serve(_ context.Context, from string, body []byte) (any, error) {
	var n Heartbeat
	if err := codec.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	h.note(from, n)
	h.schedule.told(from, &n.UseReport)
	a := HeartbeatReply{Controls: h.controls()}
	if n.WantSummary || n.WantEndpoints {
		if err := h.answerAll(from, &n, &a); err != nil {
			return nil, err
		}
	}
	_, digest, age, ok := h.held.Current()
	if !ok {
		return a, nil
	}
	a.HasList, a.ListDigest, a.ListAgeMS = true, digest, age.Milliseconds()
	// A VM with a younger list than ours has nothing to gain.
	if n.WantChanges && digest != n.ListDigest && a.ListAgeMS < n.ListAgeMS {
		changed, digest, ok, err := h.held.PackedDifferenceSince(n.ListDigest)
		if err != nil {
			return nil, err
		}
		if ok {
			a.Changes, a.ListDigest = &changed, digest
		}
	}
	return a, nil
}

// answerAll adds what all VMs told.
func (h *Hub) answerAll(from string, n *Heartbeat, a *HeartbeatReply) error {
	s, err := h.summarize()
	if err != nil {
		return err
	}
	if n.WantSummary {
		s.tell(a, from, n)
		a.Spent = h.spentByOthers(n.Spent.Incarnation)
	}
	if n.WantEndpoints {
		a.Endpoints = s.entrances
	}
	return nil
}

// TakeList takes the list of backend servers.
func (h *Hub) SetBackends(l upstream.List) { h.schedule.setServers(l) }

// Totals is the state of the streams that ask here.
func (h *Hub) Totals() Totals { return h.schedule.totals() }

// Run decides about streams that wait, until ctx ends.
func (h *Hub) Run(ctx context.Context) { h.schedule.look(ctx) }

// serveKept answers which copy a stream that some VM carried has left. Two copies
// under one identity are two requests that look alike: neither is given out.
func (h *Hub) serveKept(_ context.Context, _ string, body []byte) (any, error) {
	var identity uint64
	if err := codec.Unmarshal(body, &identity); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	left := find(h.allKept(now), identity)
	if left == (forward.Orphan{}) && now.Before(h.recalledTo) {
		left = find(expired(h.recalled, now.After(h.copiesTo)), identity)
	}
	return left, nil
}

// find returns what the one stream under an identity left. Two copies are of two
// streams that look alike: neither is given out.
func find(kept []forward.ResumableRun, identity uint64) forward.Orphan {
	var found forward.Orphan
	for _, k := range kept {
		if k.Identity != identity {
			continue
		}
		if found.Copy.Address != "" && found.Copy != k.Copy {
			return forward.Orphan{}
		}
		found = k.Orphan
	}
	return found
}

// allKept is what the streams of all VMs leave, as they last told. It needs h.mu.
func (h *Hub) allKept(now time.Time) []forward.ResumableRun {
	var out []forward.ResumableRun
	for _, s := range h.vms {
		out = append(out, expired(s.notice.Runs, now.Sub(s.at) > keptFor)...)
	}
	return out
}

// expired leaves the copies out where engines have dropped them.
func expired(kept []forward.ResumableRun, copies bool) []forward.ResumableRun {
	if !copies {
		return kept
	}
	out := make([]forward.ResumableRun, len(kept))
	for i, k := range kept {
		out[i] = k
		out[i].Copy = forward.Copy{}
	}
	return out
}

func (h *Hub) note(from string, n Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if _, known := h.vms[from]; !known || h.silent[from] {
		h.log.Info().Str("member", from).Str("zone", n.Zone).Bool("ready", n.Ready).Msg("VM is heard")
	}
	delete(h.silent, from)
	v := seen{from, n, now}
	if v.takesCallers() != h.vms[from].takesCallers() {
		h.summed = nil // callers must not be sent to a router that leaves
	}
	h.vms[from] = v
	h.spent.note(n.Spent, now)
	h.ledger.Note(n.Spent.Incarnation, n.Rollouts, now)
	h.expire(now)
	for _, d := range n.Deaths {
		h.deaths = append(h.deaths, toldDeath{d, now})
	}
}

// Evidence is what all routers observed of a roll-out under way.
func (h *Hub) Evidence(service string, number uint64) rollout.Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Sum(service, number, time.Now())
}

// KeepEvidence forgets what was observed of other roll-outs than those under way.
func (h *Hub) RetainEvidence(underWay map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Keep(underWay)
}

// expire needs h.mu.
func (h *Hub) expire(now time.Time) {
	for vm, s := range h.vms {
		silent := now.Sub(s.at)
		if silent > presentFor && !h.silent[vm] {
			h.silent[vm], h.summed = true, nil
			h.schedule.forget(vm)
			h.log.Warn().Str("member", vm).Str("zone", s.notice.Zone).Dur("silent", silent).Msg("VM is silent")
		}
		if silent > forgetAfter {
			delete(h.vms, vm)
			delete(h.silent, vm)
		}
	}
}

// Entrances are the addresses that callers may use, in order, at most limit.
func (h *Hub) Endpoints(limit int) []string {
	s, err := h.summarize()
	if err != nil {
		h.log.Error().Err(err).Msg("no directory")
		return nil
	}
	return pick(slices.Clone(s.entrances), limit)
}

// pick returns at most limit addresses, in order. Where there are more, each answer
// draws its own: the same ones each time would get all callers, and the others none.
// It reorders addrs.
func pick(addrs []string, limit int) []string {
	if len(addrs) <= limit {
		return addrs
	}
	rand.Shuffle(len(addrs), func(i, k int) { addrs[i], addrs[k] = addrs[k], addrs[i] })
	addrs = addrs[:limit]
	slices.Sort(addrs)
	return addrs
}
