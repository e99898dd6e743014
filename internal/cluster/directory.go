package cluster

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/endpoints"
)

// The load pattern: see package endpoints. A control VM weighs the VMs of its directory by
// their heartbeats whenever it rebuilds the summary. An Observer receives the weights with the
// directory. A router receives the mean load with the summary, and thereby knows that VMs are
// weighted.

// EndpointZones are the zones of the Endpoints of a HeartbeatReply: that of endpoint i is
// Names[Index[i]].
type EndpointZones struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	Index []byte
}

// maxZones is the number of zones that an EndpointZones can name.
const maxZones = 256

// Balance tells a VM how its load compares with that of others.
type Balance struct {
	_        struct{} `cbor:",toarray"`
	MeanLoad uint16   // of all VMs that accept callers, in thousandths
	Weight   uint16   // of the receiver; endpoints.MeanWeight is the mean
}

// Directory is the list of the VMs that accept callers.
type Directory struct {
	Endpoints []string // addresses for callers, sorted
	weighted  []endpoints.Candidate
}

// choose returns at most limit addresses for a caller in a zone, which may be empty.
func (d *Directory) choose(zone string, limit int, rng func() float64) []string {
	if len(d.weighted) == 0 {
		return sampleAddresses(slices.Clone(d.Endpoints), limit)
	}
	return endpoints.Choose(d.weighted, limit, zone, rng)
}

// addTo adds the directory to a reply.
func (d *Directory) addTo(reply *HeartbeatReply) {
	reply.Endpoints = d.Endpoints
	if len(d.weighted) == 0 {
		return
	}
	zones, index := &EndpointZones{}, map[string]byte{}
	for _, c := range d.weighted {
		reply.Weights = append(reply.Weights, c.Weight)
		i, ok := index[c.Zone]
		if !ok {
			i = byte(len(zones.Names))
			index[c.Zone], zones.Names = i, append(zones.Names, c.Zone)
		}
		zones.Index = append(zones.Index, i)
	}
	if n := len(zones.Names); n > 1 && n <= maxZones {
		reply.Zones = zones
	}
}

// directoryIn returns the directory in a reply. Weights that do not match the addresses are
// ignored.
func directoryIn(reply *HeartbeatReply) Directory {
	d := Directory{Endpoints: reply.Endpoints}
	if len(reply.Weights) != len(reply.Endpoints) {
		return d
	}
	for i, address := range reply.Endpoints {
		c := endpoints.Candidate{Address: address, Weight: reply.Weights[i]}
		if z := reply.Zones; z != nil && i < len(z.Index) && int(z.Index[i]) < len(z.Names) {
			c.Zone = z.Names[z.Index[i]]
		}
		d.weighted = append(d.weighted, c)
	}
	return d
}

// newSequence returns the numbers by which a control VM draws addresses.
func newSequence() *endpoints.Sequence { return endpoints.NewSequence(rand.Float64()) }

// weighDirectory adds the weights of the VMs to a summary. controls are the ids of the control
// VMs that vote. It needs h.mu.
func (h *Hub) weighDirectory(s *encodedSummary, controls []string, now time.Time) {
	s.directory.Endpoints = s.endpoints
	if !slices.ContainsFunc(s.routers, func(id string) bool { return h.vms[id].heartbeat.Capacity != nil }) {
		return // no VM states its size
	}
	hosts := h.controlHosts(controls)
	vms := make([]endpoints.VM, len(s.routers))
	for i, id := range s.routers {
		v := h.vms[id]
		vms[i] = endpoints.VM{
			Zone: v.heartbeat.Zone, Load: v.heartbeat.Load, LoadAge: now.Sub(v.at),
			SinceJoined: now.Sub(v.joinedAt), OnControl: hosts[hostOf(id)],
		}
		if size := v.heartbeat.Capacity; size != nil {
			vms[i].Size = *size
		}
	}
	weights := endpoints.Weigh(vms)
	if !weights.On {
		return
	}
	s.balances = make(map[string]Balance, len(vms))
	for i, id := range s.routers {
		v := h.vms[id]
		s.balances[id] = Balance{MeanLoad: weights.MeanLoad, Weight: weights.Weights[i]}
		if !h.named(&v) || s.cutOff[id] {
			continue
		}
		c := endpoints.Candidate{Address: v.heartbeat.Endpoint, Weight: weights.Weights[i]}
		if weights.PreferZone {
			c.Zone = vms[i].Zone
		}
		s.directory.weighted = append(s.directory.weighted, c)
	}
}

// balanceFor returns what a VM is told of its load; nil: VMs are not weighted.
func (s *encodedSummary) balanceFor(vm string) *Balance {
	if b, ok := s.balances[vm]; ok {
		return &b
	}
	return nil
}

// controlHosts returns the hosts on which a control process runs: those of the given control
// VMs, of voters and of observers, which send heartbeats without an endpoint. It needs h.mu.
func (h *Hub) controlHosts(controls []string) map[string]bool {
	hosts := map[string]bool{}
	for _, id := range controls {
		hosts[hostOf(id)] = true
	}
	for id, v := range h.vms {
		if v.heartbeat.Control || v.heartbeat.Endpoint == "" {
			hosts[hostOf(id)] = true
		}
	}
	return hosts
}

// hostOf returns the host of a VM's id, which is its peer address.
func hostOf(id string) string {
	if host, _, err := net.SplitHostPort(id); err == nil {
		return host
	}
	return id
}

// joinedAt returns when a VM joined: when its process first reported that it accepts callers.
// The VMs that a Hub hears soon after its own start were there before.
func (h *Hub) joinedAt(v vmState) time.Time {
	before, known := h.vms[v.vm]
	switch {
	case known && before.acceptsCallers() && before.heartbeat.Spent.Incarnation == v.heartbeat.Spent.Incarnation:
		return before.joinedAt
	case v.at.Sub(h.startedAt) < presenceTimeout:
		return time.Time{}
	}
	return v.at
}
