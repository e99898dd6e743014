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

// The load pattern. Hundreds of VMs each ask one control VM several times a second for
// the reports of all others. If the sum were computed and encoded for each VM, the work
// would grow with the square of the number of VMs, until the control VM answered none in
// time and all took it for lost.
//
// Therefore the sum is computed and encoded once for all requests within a short time. It
// includes the requesting VM's own share, which the reply states separately and which
// that VM subtracts.
//
// The names of hundreds of VMs and the use of hundreds of engines take kilobytes. Sent
// with every reply, they would load each VM's narrow link several times a second.
// Therefore the names are sent only when they have changed, and the use of engines
// rarely: only a VM that places streams by itself or requests a backup copy needs it. While
// VMs are started or restarted in turn, the names change with every heartbeat, and all of
// them would be sent to each of a thousand VMs several times a second. The more there are,
// the more seldom a VM asks for them.

const (
	// summaryTTL is how long a summary is reused. It is far shorter than the heartbeat
	// interval, by which any part of it may be older anyway.
	summaryTTL = 50 * time.Millisecond
	// useInterval is how often a VM requests the use of engines. useIntervalPerEngine
	// bounds the traffic with many engines: the use of one takes about 25 bytes.
	useInterval          = 3 * HeartbeatInterval
	useIntervalPerEngine = 6 * time.Millisecond
	// routersIntervalPerVM bounds the traffic of the names of routers: one takes about 20
	// bytes.
	routersIntervalPerVM = 5 * time.Millisecond
)

// Summary combines the reports of all VMs that a control VM received.
type Summary struct {
	// Calls are the calls in flight by backend server, for servers that run no streams.
	Calls map[string]int `cbor:"1,keyasint,omitempty"`
	// Deaths are for VMs that take no records of contents.
	Deaths []recovery.Death `cbor:"2,keyasint,omitempty"`
	Dead   []string         `cbor:"3,keyasint,omitempty"` // backend servers recently judged dead
	// LowMemory names the services whose engine memory is needed for prompts. No
	// backup copies should be made there.
	LowMemory []string `cbor:"4,keyasint,omitempty"`
	// EngineTimings holds the means over all VMs, by service. A VM that has just started or
	// has few streams has measured none itself.
	EngineTimings map[string]scheduler.EngineTiming `cbor:"6,keyasint,omitempty"`
	// RoutersDigest is the digest of the ids of all VMs that accept callers.
	RoutersDigest uint64 `cbor:"5,keyasint,omitempty"`
	// Limits are the rate limits of backend servers that are in force or have just ended.
	Limits []ServerLimit `cbor:"7,keyasint,omitempty"`
	// Leaving are the backend servers that leave by their own statement.
	Leaving []string `cbor:"8,keyasint,omitempty"`
	// Lost are the services of which some VMs reach no server.
	Lost []LostService `cbor:"9,keyasint,omitempty"`
}

// PeerReports combines the reports of all other VMs, as a VM last received them.
type PeerReports struct {
	Summary
	Routers []string                   // ids of VMs that accept callers
	Use     map[string]placement.Usage // of backend servers by the other VMs
	// Spent is what the other VMs spent of the retry budgets, by service.
	Spent map[string]forward.RetryUsage
}

// encodedSummary is a Summary in its wire form, with the parts that are sent on request.
type encodedSummary struct {
	builtAt       time.Time
	encoded       cbor.RawMessage
	encodedUse    cbor.RawMessage // of engines
	routers       []string
	routersDigest uint64                                // of routers
	endpoints     []string                              // addresses of the routers that are named to callers
	endpointsHeld bool                                  // endpoints are not known yet
	useByVM       map[string]map[string]placement.Usage // each VM's own use
	cutOff        map[string]bool                       // VMs that are not named to callers, since they have lost a service
	directory     Directory
	balances      map[string]Balance // by VM; nil: VMs are not weighted
}

// summarize returns the current summary, rebuilt if it has expired.
func (h *Hub) summarize() (*encodedSummary, error) {
	h.mu.Lock()
	s := h.summary
	h.mu.Unlock()
	if s != nil && time.Since(s.builtAt) < summaryTTL {
		return s, nil
	}
	summary := Summary{}
	summary.LowMemory, summary.EngineTimings = h.scheduling.memoryAndTimings()
	controls := h.controls()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	s, err := h.buildSummary(&summary, now)
	if err == nil {
		h.weighDirectory(s, controls, now)
		h.summary = s
	}
	return s, err
}

// buildSummary adds the VMs' reports to a Summary and encodes it. It needs h.mu.
func (h *Hub) buildSummary(out *Summary, now time.Time) (*encodedSummary, error) {
	s := &encodedSummary{builtAt: now, useByVM: map[string]map[string]placement.Usage{}, endpointsHeld: h.directoryHeld}
	out.Deaths = h.recentDeaths(now)
	use := map[string]placement.Usage{}
	var ready []vmState
	for vm, v := range h.vms {
		if now.Sub(v.at) > presenceTimeout {
			continue
		}
		s.useByVM[vm] = v.heartbeat.UseReport.Use
		for id, u := range v.heartbeat.UseReport.Use {
			use[id] = use[id].Add(u)
		}
		out.Dead = append(out.Dead, v.heartbeat.Dead...)
		if v.acceptsCallers() {
			ready = append(ready, v)
		}
	}
	slices.SortFunc(ready, func(a, b vmState) int { return strings.Compare(a.heartbeat.Endpoint, b.heartbeat.Endpoint) })
	out.Lost = lostServices(ready)
	s.cutOff = h.cutOffVMs(ready, out.Lost)
	for _, v := range ready {
		s.routers = append(s.routers, v.vm)
		if h.named(&v) && !s.cutOff[v.vm] {
			s.endpoints = append(s.endpoints, v.heartbeat.Endpoint)
		}
	}
	s.routersDigest = xxhash.Sum64String(strings.Join(s.routers, " "))
	out.RoutersDigest = s.routersDigest
	slices.Sort(out.Dead)
	out.Dead = slices.Compact(out.Dead)
	out.Calls = extractCalls(use)
	out.Limits = h.permits.report(now)
	out.Leaving = h.leaving.ids()
	var errUse, err error
	s.encodedUse, errUse = codec.Marshal(use)
	s.encoded, err = codec.Marshal(out)
	return s, errors.Join(err, errUse)
}

// extractCalls removes the servers that run only calls from use and returns their calls.
func extractCalls(use map[string]placement.Usage) map[string]int {
	calls := map[string]int{}
	for id, u := range use {
		if u == (placement.Usage{Requests: u.Requests}) {
			calls[id] = u.Requests
			delete(use, id)
		}
	}
	return calls
}

// addTo adds to a reply what its receiver requested and does not hold.
func (s *encodedSummary) addTo(reply *HeartbeatReply, from string, heartbeat *Heartbeat) {
	reply.EncodedSummary, reply.OwnUse = s.encoded, s.useByVM[from]
	if heartbeat.WantUse {
		reply.EncodedUse = s.encodedUse
	}
	if heartbeat.RoutersDigest != s.routersDigest && !heartbeat.SkipRouters {
		reply.Routers = s.routers
	}
}

// recentDeaths drops expired reports and returns the others. It needs h.mu.
func (h *Hub) recentDeaths(now time.Time) []recovery.Death {
	h.deaths = slices.DeleteFunc(h.deaths, func(d reportedDeath) bool { return now.Sub(d.at) > deathReportTTL })
	out := make([]recovery.Death, 0, len(h.deaths))
	for _, d := range h.deaths {
		out = append(out, d.death)
	}
	return out
}

// peerState is what a VM retains of the summaries that it received. It is not safe for
// concurrent use.
type peerState struct {
	routers       []string
	routersDigest uint64                     // of routers
	routersAt     time.Time                  // when routers were received
	use           map[string]placement.Usage // as of useUpdatedAt
	useUpdatedAt  time.Time
}

// wantsUse reports whether the use of engines must be requested again.
func (o *peerState) wantsUse(now time.Time) bool {
	every := max(useInterval, time.Duration(len(o.use))*useIntervalPerEngine)
	return now.Sub(o.useUpdatedAt) > every-HeartbeatInterval/2
}

// wantsRouters reports whether the names of routers must be requested if they have changed.
func (o *peerState) wantsRouters(now time.Time) bool {
	every := time.Duration(len(o.routers)) * routersIntervalPerVM
	return now.Sub(o.routersAt) > every-HeartbeatInterval/2
}

// learn applies a reply and returns the resulting reports of the other VMs. own are the
// servers that this VM itself reported dead.
func (o *peerState) learn(reply *HeartbeatReply, own []string, now time.Time) (PeerReports, error) {
	var reports PeerReports
	if err := codec.Unmarshal(reply.EncodedSummary, &reports.Summary); err != nil {
		return reports, err
	}
	if len(reply.EncodedUse) > 0 {
		use := map[string]placement.Usage{}
		if err := codec.Unmarshal(reply.EncodedUse, &use); err != nil {
			return reports, err
		}
		o.use, o.useUpdatedAt = use, now
		for id, u := range reply.OwnUse {
			if _, ok := use[id]; ok {
				use[id] = use[id].Add(u.Negated())
			}
		}
	}
	if reports.RoutersDigest != o.routersDigest && len(reply.Routers) > 0 {
		o.routers, o.routersDigest, o.routersAt = reply.Routers, reports.RoutersDigest, now
	}
	reports.Routers, reports.Spent = o.routers, reply.Spent
	reports.Use = maps.Clone(o.use)
	if reports.Use == nil {
		reports.Use = map[string]placement.Usage{}
	}
	for id, calls := range reports.Calls {
		reports.Use[id] = placement.Usage{Requests: calls - reply.OwnUse[id].Requests}
	}
	reports.Dead = slices.DeleteFunc(reports.Dead, func(id string) bool { return slices.Contains(own, id) })
	return reports, nil
}
