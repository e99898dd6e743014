package scheduler

import (
	"cmp"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// The account of a service's engines.
//
// The overload. Reports arrive hundreds of times a second. If each of them examines every
// engine, and each grant sums the memory of all, the one VM that decides takes longer for a
// report than the time to the next, and new streams wait for decisions and not for engines.
//
// What decisions need of all engines together is therefore updated when the usage or the
// health of one engine changes.

// engineAccount holds the sets and sums of a service's engines.
type engineAccount struct {
	all  engineSet
	lost engineSet
	// gained holds the engines that became ready or usable, or got more free memory, since the
	// last pass.
	gained engineSet
	ready  engineSet // a slot is free and the prefill backlog is short and not stalled; lost or not
	// backlog holds the engines with pending prompt tokens, sorted by them. maxPending is
	// the backlog up to which an engine is ready.
	backlog    []*server
	changed    bool // the list changed, or all engines were or are lost, since the last full pass
	maxPending int
	usable     int // engines that are not lost
	versions   map[string]*engineSums
	total      engineSums // of all versions
}

// engineSums sums the engines of one version, or of all.
type engineSums struct {
	listed         int
	byID           []*server // sorted by ID
	usable         int
	tokens, copies int // of the usable engines
}

func (s *engineSums) add(e *server, by int) {
	s.usable += by
	s.tokens += by * e.usage.Tokens
	s.copies += by * e.usage.Copies
}

// prefillingShare is the share of the usable engines that have pending prompts.
func (a *engineAccount) prefillingShare() float64 {
	if a.usable == 0 {
		return 1
	}
	return min(1, float64(len(a.backlog))/float64(a.usable))
}

// listEngines builds the account anew for the listed engines.
func (v *service) listEngines() {
	n := len(v.servers)
	v.engineAccount = engineAccount{all: newEngineSet(n), lost: newEngineSet(n), ready: newEngineSet(n), gained: newEngineSet(n), versions: map[string]*engineSums{}, maxPending: v.timing.maxPending()}
	v.total.listed, v.changed = n, true
	for i, e := range v.servers {
		e.service, e.pos = v, i
		v.all.set(i, true)
		if v.versions[e.Version] == nil {
			v.versions[e.Version] = &engineSums{}
		}
		o := v.versions[e.Version]
		o.listed, o.byID = o.listed+1, append(o.byID, e)
		v.lost.set(i, e.lost)
		if !e.lost {
			v.count(e, 1)
		}
		if e.usage.PendingPrompt > 0 {
			v.backlog = append(v.backlog, e)
		}
		v.updateReady(e)
	}
	slices.SortFunc(v.backlog, compareBacklog)
	for _, o := range v.versions {
		slices.SortFunc(o.byID, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// count adds a usable engine to the sums (by = 1) or removes it (by = -1).
func (v *service) count(e *server, by int) {
	v.usable += by
	v.total.add(e, by)
	v.versions[e.Version].add(e, by)
}

func compareBacklog(a, b *server) int {
	return cmp.Or(cmp.Compare(a.usage.PendingPrompt, b.usage.PendingPrompt), cmp.Compare(a.pos, b.pos))
}

// setLost records whether an engine is lost.
func (e *server) setLost(lost bool) {
	if e.lost == lost {
		return
	}
	e.lost = lost
	e.service.lost.set(e.pos, lost)
	if lost {
		e.service.count(e, -1)
	} else {
		e.service.count(e, 1)
		e.service.gained.set(e.pos, true)
	}
	if e.service.usable <= 1 {
		// Lost engines are used while all are lost.
		e.service.changed = true
	}
}

// addUsage updates the usage of a listed engine and what depends on it.
func (e *server) addUsage(u placement.Usage) {
	v := e.service
	if u.Tokens < 0 {
		v.gained.set(e.pos, true)
	}
	if !e.lost {
		v.count(e, -1)
	}
	if u.PendingPrompt != 0 && e.usage.PendingPrompt > 0 {
		if i, ok := slices.BinarySearchFunc(v.backlog, e, compareBacklog); ok {
			v.backlog = slices.Delete(v.backlog, i, i+1)
		}
	}
	e.usage = e.usage.Add(u)
	if u.PendingPrompt != 0 && e.usage.PendingPrompt > 0 {
		i, _ := slices.BinarySearchFunc(v.backlog, e, compareBacklog)
		v.backlog = slices.Insert(v.backlog, i, e)
	}
	if !e.lost {
		v.count(e, 1)
	}
	e.stalled = e.stalled && e.usage.PendingPrompt > 0
	v.updateReady(e)
}

func (v *service) updateReady(e *server) {
	slot := e.Slots <= 0 || e.usage.Requests < e.Slots
	ready := slot && !e.stalled && e.usage.PendingPrompt <= v.maxPending
	if ready && !v.ready.has(e.pos) {
		v.gained.set(e.pos, true)
	}
	v.ready.set(e.pos, ready)
}

// learn updates the timing with a VM's measurements. The engines whose backlog lies between
// the former and the new bound become ready or busy.
func (v *service) learn(o EngineTiming) {
	v.timing.learn(o)
	former := v.maxPending
	v.maxPending = v.timing.maxPending()
	if former == v.maxPending {
		return
	}
	from, to := min(former, v.maxPending), max(former, v.maxPending)
	i, _ := slices.BinarySearchFunc(v.backlog, from+1, func(e *server, pending int) int { return cmp.Compare(e.usage.PendingPrompt, pending) })
	for ; i < len(v.backlog) && v.backlog[i].usage.PendingPrompt <= to; i++ {
		v.updateReady(v.backlog[i])
	}
}

// maxPending is how many prompt tokens an engine prefills in maxPrefillBacklog.
func (p EngineTiming) maxPending() int { return int(maxPrefillBacklog / p.prefillTime(1)) }
