package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Hub is a control VM's side: who is there. Safe for concurrent use.
type Hub struct {
	held     *Held
	controls func() []string
	log      zerolog.Logger

	schedule *schedule

	mu     sync.Mutex
	vms    map[string]seen
	silent map[string]bool // told in the log
	spent  spentBook
	deaths []toldDeath
	// recalled is what an earlier life wrote down; its copies are there until copiesTo.
	recalled             []forward.Kept
	copiesTo, recalledTo time.Time
}

type seen struct {
	vm     string
	notice Notice
	at     time.Time
}

type toldDeath struct {
	death recovery.Death
	at    time.Time
}

// NewHub registers the handler of notices. controls names the control VMs.
func NewHub(t peer.Transport, held *Held, controls func() []string, log zerolog.Logger) *Hub {
	h := &Hub{held: held, controls: controls, vms: map[string]seen{}, silent: map[string]bool{}, spent: spentBook{}, log: log, schedule: newSchedule(t, log)}
	held.KeepFormer()
	t.Handle(peer.KindNotice, h.serve)
	t.Handle(peer.KindKept, h.serveKept)
	t.Handle(peer.KindSpent, h.serveSpent)
	t.Handle(peer.KindPlace, h.schedule.servePlace)
	t.Handle(peer.KindUse, h.schedule.serveUse)
	return h
}

func (h *Hub) serve(_ context.Context, from string, body []byte) (any, error) {
	var n Notice
	if err := codec.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	h.note(from, n)
	h.schedule.told(from, &n.Told)
	a := Answer{Controls: h.controls()}
	if n.WantLoad {
		for _, s := range h.present() {
			a.Routers = append(a.Routers, s.vm)
		}
		a.Others, a.Deaths, a.Dead = h.load(from), h.recentDeaths(), h.dead(from)
		a.Spent, a.Short = h.spentByOthers(n.Spent.Life), h.schedule.short()
	}
	_, digest, age, ok := h.held.Now()
	// A VM with a younger list than ours has nothing to gain.
	if ok {
		a.Listed, a.Digest, a.AgeMS = true, digest, age.Milliseconds()
		if digest != n.Held && (n.Held == 0 || a.AgeMS < n.HeldAge) {
			changed, digest := h.held.Since(n.Held)
			a.Changed, a.Digest = &changed, digest
		}
	}
	return a, nil
}

// TakeList takes the list of backend servers.
func (h *Hub) TakeList(l upstream.List) { h.schedule.setServers(l) }

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
	if left == (forward.Left{}) && now.Before(h.recalledTo) {
		left = find(expired(h.recalled, now.After(h.copiesTo)), identity)
	}
	return left, nil
}

// find returns what the one stream under an identity left. Two copies are of two
// streams that look alike: neither is given out.
func find(kept []forward.Kept, identity uint64) forward.Left {
	var found forward.Left
	for _, k := range kept {
		if k.Identity != identity {
			continue
		}
		if found.Copy.Address != "" && found.Copy != k.Copy {
			return forward.Left{}
		}
		found = k.Left
	}
	return found
}

// allKept is what the streams of all VMs leave, as they last told. It needs h.mu.
func (h *Hub) allKept(now time.Time) []forward.Kept {
	var out []forward.Kept
	for _, s := range h.vms {
		out = append(out, expired(s.notice.Kept, now.Sub(s.at) > keptFor)...)
	}
	return out
}

// expired leaves the copies out where engines have dropped them.
func expired(kept []forward.Kept, copies bool) []forward.Kept {
	if !copies {
		return kept
	}
	out := make([]forward.Kept, len(kept))
	for i, k := range kept {
		out[i] = k
		out[i].Copy = forward.Copy{}
	}
	return out
}

func (h *Hub) note(from string, n Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if _, known := h.vms[from]; !known || h.silent[from] {
		h.log.Info().Str("member", from).Str("zone", n.Zone).Bool("ready", n.Ready).Msg("VM is heard")
	}
	delete(h.silent, from)
	h.vms[from] = seen{from, n, now}
	h.spent.note(n.Spent, now)
	h.expire(now)
	for _, d := range n.Deaths {
		h.deaths = append(h.deaths, toldDeath{d, now})
	}
}

// expire needs h.mu.
func (h *Hub) expire(now time.Time) {
	for vm, s := range h.vms {
		silent := now.Sub(s.at)
		if silent > presentFor && !h.silent[vm] {
			h.silent[vm] = true
			h.schedule.forget(vm)
			h.log.Warn().Str("member", vm).Str("zone", s.notice.Zone).Dur("silent", silent).Msg("VM is silent")
		}
		if silent > forgetAfter {
			delete(h.vms, vm)
			delete(h.silent, vm)
		}
	}
}

func (h *Hub) recentDeaths() []recovery.Death {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.deaths = slices.DeleteFunc(h.deaths, func(d toldDeath) bool { return now.Sub(d.at) > deathsFor })
	out := make([]recovery.Death, 0, len(h.deaths))
	for _, d := range h.deaths {
		out = append(out, d.death)
	}
	return out
}

// load sums what the VMs other than one have running.
func (h *Hub) load(except string) map[string]placement.Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	out := map[string]placement.Use{}
	for vm, s := range h.vms {
		if vm == except || now.Sub(s.at) > presentFor {
			continue
		}
		for id, u := range s.notice.Told.Use {
			out[id] = out[id].Add(u)
		}
	}
	return out
}

// dead are the backend servers that other VMs judged dead.
func (h *Hub) dead(except string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []string
	for vm, s := range h.vms {
		if vm != except && now.Sub(s.at) <= presentFor {
			out = append(out, s.notice.Dead...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// present are the VMs that take callers now, in order of id.
func (h *Hub) present() []seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []seen
	for _, s := range h.vms {
		if s.notice.Ready && s.notice.Callers != "" && now.Sub(s.at) <= presentFor {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b seen) int { return strings.Compare(a.notice.Callers, b.notice.Callers) })
	return out
}

// Entrances are the addresses that callers may use, in order, at most limit. Where
// there are more, each answer draws its own: the same ones each time would get all
// callers, and the others none.
func (h *Hub) Entrances(limit int) []string {
	var out []string
	for _, s := range h.present() {
		out = append(out, s.notice.Callers)
	}
	if len(out) <= limit {
		return out
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	out = out[:limit]
	slices.Sort(out)
	return out
}
