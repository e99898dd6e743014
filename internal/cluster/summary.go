package cluster

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// The load pattern. Hundreds of VMs ask one control VM, some times a second each, what
// all the others do. Summed and encoded for each of them, that takes a time which grows
// with the square of the VMs, until the control VM answers nobody in time and is taken
// for lost by all of them.
//
// So the sum is made and encoded once for all who ask within a moment, the asker's own
// part included, which is told beside it and which the asker takes off.
//
// Told whole each time, the names of hundreds of VMs and the use of hundreds of engines
// are some kilobytes, some times a second for each VM over a thin link. So the names
// come where they have changed, and the use of engines seldom: only a VM that must place
// streams alone, or orders a copy, goes by it.

const (
	// summaryFor is how long a summary is told: far below the time between two notices,
	// by which every part of it is older.
	summaryFor = 50 * time.Millisecond
	// useEvery is how often a VM wants the use of engines, and usePerEngine bounds the
	// traffic where there are many: an engine's use takes some 25 bytes.
	useEvery     = 3 * HeartbeatInterval
	usePerEngine = 6 * time.Millisecond
)

// Summary is what all VMs told a control VM.
type Summary struct {
	// Calls under way, by backend server: of those that run no streams.
	Calls  map[string]int   `cbor:"1,keyasint,omitempty"`
	Deaths []recovery.Death `cbor:"2,keyasint,omitempty"`
	Dead   []string         `cbor:"3,keyasint,omitempty"` // judged dead lately
	// Short names the services whose memory is needed for prompts.
	LowMemory []string `cbor:"4,keyasint,omitempty"`
	// Paces of the services' engines: a VM that has just started, or carries few streams,
	// has observed none.
	Paces map[string]scheduler.EngineTiming `cbor:"6,keyasint,omitempty"`
	// RoutersDigest is of the names of all VMs that take callers.
	RoutersDigest uint64 `cbor:"5,keyasint,omitempty"`
}

// Known is what a VM has learnt of all others together.
type PeerReports struct {
	Summary
	Routers []string                   // VMs that take callers, by id
	Use     map[string]placement.Usage // of backend servers, by the others
	// Spent is what the others spent of the retry budgets, by service.
	Spent map[string]forward.RetryUsage
}

// summary is a Summary as it is told.
type summary struct {
	made      time.Time
	encoded   cbor.RawMessage
	use       cbor.RawMessage // of engines
	routers   []string
	digest    uint64                                // of routers
	entrances []string                              // of routers, by address
	parts     map[string]map[string]placement.Usage // what each VM told of its use
}

// summarize returns the summary that is told now.
func (h *Hub) summarize() (*summary, error) {
	h.mu.Lock()
	s := h.summed
	h.mu.Unlock()
	if s != nil && time.Since(s.made) < summaryFor {
		return s, nil
	}
	told := Summary{}
	told.LowMemory, told.Paces = h.schedule.outlook()
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.sum(&told, time.Now())
	if err == nil {
		h.summed = s
	}
	return s, err
}

// sum adds to a Summary what VMs told, and encodes it. It needs h.mu.
func (h *Hub) sum(told *Summary, now time.Time) (*summary, error) {
	s := &summary{made: now, parts: map[string]map[string]placement.Usage{}}
	told.Deaths = h.recentDeaths(now)
	use := map[string]placement.Usage{}
	var ready []seen
	for vm, v := range h.vms {
		if now.Sub(v.at) > presentFor {
			continue
		}
		s.parts[vm] = v.notice.UseReport.Use
		for id, u := range v.notice.UseReport.Use {
			use[id] = use[id].Add(u)
		}
		told.Dead = append(told.Dead, v.notice.Dead...)
		if v.takesCallers() {
			ready = append(ready, v)
		}
	}
	slices.SortFunc(ready, func(a, b seen) int { return strings.Compare(a.notice.Endpoint, b.notice.Endpoint) })
	for _, v := range ready {
		s.routers = append(s.routers, v.vm)
		s.entrances = append(s.entrances, v.notice.Endpoint)
	}
	s.digest = xxhash.Sum64String(strings.Join(s.routers, " "))
	told.RoutersDigest = s.digest
	slices.Sort(told.Dead)
	told.Dead = slices.Compact(told.Dead)
	told.Calls = takeCalls(use)
	var errUse, err error
	s.use, errUse = codec.Marshal(use)
	s.encoded, err = codec.Marshal(told)
	return s, errors.Join(err, errUse)
}

// takeCalls moves the servers that run calls alone out of a sum.
func takeCalls(use map[string]placement.Usage) map[string]int {
	calls := map[string]int{}
	for id, u := range use {
		if u == (placement.Usage{Requests: u.Requests}) {
			calls[id] = u.Requests
			delete(use, id)
		}
	}
	return calls
}

// tell adds to an answer what its asker wants and does not hold.
func (s *summary) tell(a *HeartbeatReply, from string, n *Heartbeat) {
	a.EncodedSummary, a.OwnUse = s.encoded, s.parts[from]
	if n.WantUse {
		a.EncodedUse = s.use
	}
	if n.RoutersDigest != s.digest {
		a.Routers = s.routers
	}
}

// recentDeaths needs h.mu.
func (h *Hub) recentDeaths(now time.Time) []recovery.Death {
	h.deaths = slices.DeleteFunc(h.deaths, func(d toldDeath) bool { return now.Sub(d.at) > deathsFor })
	out := make([]recovery.Death, 0, len(h.deaths))
	for _, d := range h.deaths {
		out = append(out, d.death)
	}
	return out
}

// others is what a VM holds of what it was told of all others. It is not safe for
// concurrent use.
type others struct {
	routers []string
	digest  uint64                     // of routers
	engines map[string]placement.Usage // as of usedAt
	usedAt  time.Time
}

// wantsUse reports whether the use of engines is wanted again.
func (o *others) wantsUse(now time.Time) bool {
	every := max(useEvery, time.Duration(len(o.engines))*usePerEngine)
	return now.Sub(o.usedAt) > every-HeartbeatInterval/2
}

// learn takes an answer, and returns all that is known by it. own are the servers that
// this VM itself said are dead.
func (o *others) learn(a *HeartbeatReply, own []string, now time.Time) (PeerReports, error) {
	var k PeerReports
	if err := codec.Unmarshal(a.EncodedSummary, &k.Summary); err != nil {
		return k, err
	}
	if len(a.EncodedUse) > 0 {
		use := map[string]placement.Usage{}
		if err := codec.Unmarshal(a.EncodedUse, &use); err != nil {
			return k, err
		}
		o.engines, o.usedAt = use, now
		for id, u := range a.OwnUse {
			if _, ok := use[id]; ok {
				use[id] = use[id].Add(u.Negated())
			}
		}
	}
	if k.RoutersDigest != o.digest && len(a.Routers) > 0 {
		o.routers, o.digest = a.Routers, k.RoutersDigest
	}
	k.Routers, k.Spent = o.routers, a.Spent
	k.Use = maps.Clone(o.engines)
	if k.Use == nil {
		k.Use = map[string]placement.Usage{}
	}
	for id, calls := range k.Calls {
		k.Use[id] = placement.Usage{Requests: calls - a.OwnUse[id].Requests}
	}
	k.Dead = slices.DeleteFunc(k.Dead, func(id string) bool { return slices.Contains(own, id) })
	return k, nil
}
