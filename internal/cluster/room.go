package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/endpoints"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// maxRoomWorkspaces is how many workspaces a Room names. The others are summed up.
const maxRoomWorkspaces = 20

// Room describes to an operator what is waiting in a service of streams and why. Figures that
// nobody has measured, or of a part that is off, are missing.
type Room struct {
	Service string `json:"service"`
	Decider string `json:"decider"` // the control VM that decides, and that answers
	RoomCounts
	Priorities []RoomPriority  `json:"priorities"`
	Workspaces []RoomWorkspace `json:"workspaces"` // those with the most waiting streams
	// OtherWorkspaces sums up the others.
	OtherWorkspaces RoomOthers  `json:"other_workspaces"`
	Running         int         `json:"running"` // streams on engines that take new work
	Memory          RoomMemory  `json:"memory"`
	Engines         RoomEngines `json:"engines"`
	VMs             []RoomVM    `json:"vms"`
	Ages            RoomAges    `json:"ages"`
}

// RoomCounts counts streams. Granted and Refused cover the last 30 to 60 s.
type RoomCounts struct {
	Waiting       int   `json:"waiting"`
	Interrupted   int   `json:"interrupted"` // of those waiting
	Late          int   `json:"late"`        // of those waiting
	LongestWaitMS int64 `json:"longest_wait_ms"`
	Granted       int   `json:"granted"`
	Refused       int   `json:"refused"`
}

func (c *RoomCounts) addWaiting(w scheduler.WaitingGroup) {
	c.Waiting += w.Total()
	c.Interrupted += w.Interrupted
	c.Late += w.Late
	c.LongestWaitMS = max(c.LongestWaitMS, w.Longest.Milliseconds())
}

func (c *RoomCounts) add(o *RoomCounts) {
	c.Waiting += o.Waiting
	c.Interrupted += o.Interrupted
	c.Late += o.Late
	c.LongestWaitMS = max(c.LongestWaitMS, o.LongestWaitMS)
	c.Granted += o.Granted
	c.Refused += o.Refused
}

// RoomPriority counts the streams of one priority; 0 is served first.
type RoomPriority struct {
	Priority int `json:"priority"`
	RoomCounts
}

// RoomWorkspace counts the streams of one workspace; empty: not stated.
type RoomWorkspace struct {
	Workspace string `json:"workspace"`
	RoomCounts
}

// RoomOthers counts the streams of the workspaces that are not named.
type RoomOthers struct {
	Workspaces int `json:"workspaces"`
	RoomCounts
}

// RoomMemory is the memory of the engines that take new work, in tokens.
type RoomMemory struct {
	EngineTokens int `json:"engine_tokens"` // of one engine; 0: no stream has stated it yet
	UsedTokens   int `json:"used_tokens"`
	CopyTokens   int `json:"copy_tokens"` // of those used, by backup copies
	FreeTokens   int `json:"free_tokens"` // of usable engines
}

// RoomEngines counts the engines of the service.
type RoomEngines struct {
	Listed     int `json:"listed"`
	Cordoned   int `json:"cordoned"`
	Usable     int `json:"usable"`
	Prefilling int `json:"prefilling"`
	Slow       int `json:"slow"`
	Measured   int `json:"measured"` // engines whose speed is known
	// PrefillMicros are the quartiles of the prefill time per 1,000 tokens, in microseconds:
	// of the fastest quarter, the median, and of the slowest quarter.
	PrefillMicros []int64 `json:"prefill_us_per_1000_tokens,omitempty"`
}

// RoomVM is a VM that sends heartbeats and serves callers.
type RoomVM struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Cordoned bool   `json:"cordoned,omitempty"`
	AgeMS    int64  `json:"age_ms"` // of its last heartbeat
	// Load is the largest share of a limit in use; 0: not stated. Weight is the chance to be
	// named to callers relative to the mean; 0: VMs are not weighted.
	Load   float64 `json:"load,omitempty"`
	Weight float64 `json:"weight,omitempty"`
}

// RoomAges are the ages of the oldest figures. What waits and what was decided is as of now.
type RoomAges struct {
	ReportsMS int64 `json:"reports_ms"` // of what runs on the engines, as VMs reported it
	SpeedsMS  int64 `json:"speeds_ms"`  // of the engines' speeds
	ListMS    int64 `json:"list_ms"`    // of the list of backend servers
}

// Room returns the state of a service as this control VM knows it. It returns false if no
// engine is listed for the service and no stream of it waits.
func (h *Hub) Room(service string) (Room, bool) {
	now := time.Now()
	out, ok := h.scheduling.room(service, now)
	if !ok {
		return out, false
	}
	_, _, age, _ := h.list.Current()
	out.Ages.ListMS = age.Milliseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, v := range h.vms {
		if v.heartbeat.Endpoint != "" && now.Sub(v.at) <= presenceTimeout {
			out.VMs = append(out.VMs, RoomVM{
				ID: id, Endpoint: v.heartbeat.Endpoint, Zone: v.heartbeat.Zone, Ready: v.heartbeat.Ready,
				Cordoned: h.cordonedVMs.Has(id, v.heartbeat.Endpoint), AgeMS: now.Sub(v.at).Milliseconds(),
				Load: float64(v.heartbeat.Load) / 1000, Weight: h.relativeWeight(id),
			})
		}
	}
	slices.SortFunc(out.VMs, func(a, b RoomVM) int { return cmp.Compare(a.ID, b.ID) })
	return out, true
}

// relativeWeight returns the weight of a VM in the last summary; 0: VMs are not weighted. It
// needs h.mu.
func (h *Hub) relativeWeight(vm string) float64 {
	if h.summary == nil {
		return 0
	}
	return float64(h.summary.balances[vm].Weight) / endpoints.MeanWeight
}

// room returns the streams, memory and engines of a service.
func (c *schedulerService) room(service string, now time.Time) (Room, bool) {
	c.mu.Lock()
	s, ok := c.scheduler.Snapshot(service, now)
	decided := c.recent.of(service, now)
	c.mu.Unlock()
	listed, cordoned := c.inbox.listed(service)
	if !ok && listed == 0 {
		return Room{}, false
	}
	out := Room{
		Service: service, Running: s.Usage.Requests, Priorities: []RoomPriority{}, Workspaces: []RoomWorkspace{}, VMs: []RoomVM{},
		Memory: RoomMemory{s.MemoryTokens, s.Usage.Tokens, s.Usage.Copies, s.FreeTokens},
		Engines: RoomEngines{
			Listed: listed, Cordoned: cordoned, Usable: s.Usable, Prefilling: s.Prefilling, Slow: s.Slow,
			Measured: len(s.PrefillPerToken), PrefillMicros: quartiles(s.PrefillPerToken),
		},
		Ages: RoomAges{ReportsMS: s.OldestReport.Milliseconds(), SpeedsMS: s.OldestSpeed.Milliseconds()},
	}
	out.countStreams(s.Waiting, decided)
	return out, true
}

// countStreams counts the streams by priority and by workspace.
func (r *Room) countStreams(waiting map[scheduler.Group]scheduler.WaitingGroup, decided decisionGroups) {
	groups := map[scheduler.Group]*RoomCounts{}
	of := func(g scheduler.Group) *RoomCounts {
		if groups[g] == nil {
			groups[g] = &RoomCounts{}
		}
		return groups[g]
	}
	for g, w := range waiting {
		of(g).addWaiting(w)
	}
	for g, n := range decided {
		of(g).Granted, of(g).Refused = n.granted, n.refused
	}
	priorities, workspaces := map[int]*RoomPriority{}, map[string]*RoomWorkspace{}
	for g, n := range groups {
		r.RoomCounts.add(n)
		if priorities[g.Priority] == nil {
			priorities[g.Priority] = &RoomPriority{Priority: g.Priority}
		}
		priorities[g.Priority].add(n)
		if workspaces[g.Workspace] == nil {
			workspaces[g.Workspace] = &RoomWorkspace{Workspace: g.Workspace}
		}
		workspaces[g.Workspace].add(n)
	}
	for _, p := range priorities {
		r.Priorities = append(r.Priorities, *p)
	}
	slices.SortFunc(r.Priorities, func(a, b RoomPriority) int { return cmp.Compare(a.Priority, b.Priority) })
	for _, w := range workspaces {
		r.Workspaces = append(r.Workspaces, *w)
	}
	slices.SortFunc(r.Workspaces, func(a, b RoomWorkspace) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	for _, w := range r.Workspaces[min(len(r.Workspaces), maxRoomWorkspaces):] {
		r.OtherWorkspaces.Workspaces++
		r.OtherWorkspaces.add(&w.RoomCounts)
	}
	r.Workspaces = r.Workspaces[:min(len(r.Workspaces), maxRoomWorkspaces)]
}

// quartiles returns the quartiles of ascending prefill times per token, in microseconds per
// 1,000 tokens; nil: there are none.
func quartiles(times []time.Duration) []int64 {
	if len(times) == 0 {
		return nil
	}
	var out []int64
	for i := 1; i <= 3; i++ {
		out = append(out, (1000 * times[(len(times)-1)*i/4]).Microseconds())
	}
	return out
}
