package scheduler

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// This file describes the state of a service to operators, who ask for it under overload: its
// cost is that of one pass over the waiting streams and the engines, and it changes nothing.

// Group is the streams of a service with one priority and workspace.
type Group struct {
	Service   string
	Priority  int
	Workspace string
}

// Group returns the group of the stream.
func (s *Stream) Group() Group { return Group{s.Service, s.Priority, s.Workspace} }

// WaitingGroup counts the waiting streams of a group.
type WaitingGroup struct {
	Interrupted, InTime, Late int
	Longest                   time.Duration // the longest wait so far
}

// Total returns the number of waiting streams.
func (w WaitingGroup) Total() int { return w.Interrupted + w.InTime + w.Late }

// Snapshot is the state of one service.
type Snapshot struct {
	Waiting map[Group]WaitingGroup
	// Engines counts the engines that may get streams, Usable those that are not lost,
	// Prefilling those that prefill a prompt, and Slow those that prefill notably slower than
	// the median.
	Engines, Usable, Prefilling, Slow int
	Usage                             placement.Usage // sum over these engines
	MemoryTokens                      int             // memory of one engine; 0: not stated yet
	FreeTokens                        int             // of all usable engines
	// PrefillPerToken are the measured prefill times of the engines, ascending.
	PrefillPerToken []time.Duration
	// OldestReport is the age of the oldest report of a VM, and OldestSpeed that of the oldest
	// measurement in PrefillPerToken.
	OldestReport, OldestSpeed time.Duration
}

// Snapshot returns the state of a service. It returns false if no engine is listed for the
// service and no stream of it waits.
func (s *Scheduler) Snapshot(name string, now time.Time) (Snapshot, bool) {
	v := s.services[name]
	if v == nil || len(v.servers)+len(v.waiting) == 0 {
		return Snapshot{}, false
	}
	out := Snapshot{Waiting: map[Group]WaitingGroup{}, Engines: len(v.servers), MemoryTokens: v.kvTokens}
	for _, w := range v.waiting {
		g := out.Waiting[w.Group()]
		switch v.classOf(w, now) {
		case interrupted:
			g.Interrupted++
		case inTime:
			g.InTime++
		case late:
			g.Late++
		}
		g.Longest = max(g.Longest, now.Sub(w.enqueuedAt))
		out.Waiting[w.Group()] = g
	}
	out.addEngines(v, s.health(now), now)
	for _, vm := range s.vms {
		out.OldestReport = max(out.OldestReport, now.Sub(vm.at))
	}
	return out, true
}

func (o *Snapshot) addEngines(v *service, h health, now time.Time) {
	median := v.medianPerToken()
	for _, e := range v.servers {
		o.Usage = o.Usage.Add(e.usage)
		if e.usage.PendingPrompt > 0 {
			o.Prefilling++
		}
		if e.slowdown(median, now) > 1 {
			o.Slow++
		}
		if !h.lost(e) {
			o.Usable++
			o.FreeTokens += max(0, v.kvTokens-e.usage.Tokens)
		}
		if e.speed.perToken > 0 {
			o.PrefillPerToken = append(o.PrefillPerToken, e.speed.perToken)
			o.OldestSpeed = max(o.OldestSpeed, now.Sub(e.speed.at))
		}
	}
	slices.Sort(o.PrefillPerToken)
}
