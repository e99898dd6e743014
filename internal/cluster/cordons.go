package cluster

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
)

// SetCordons sets what is out of service by order of an operator. Cordoned servers get no new
// streams, and cordoned VMs are named to no caller.
func (h *Hub) SetCordons(c cordon.InForce) {
	h.mu.Lock()
	h.cordonedVMs, h.directoryHeld, h.summary = c.VMs, false, nil
	h.mu.Unlock()
	h.scheduling.setCordoned(c.Engines)
}

// HoldDirectory makes the directory empty until SetCordons is called. A control VM that has
// just started would otherwise name cordoned VMs until it has read its log.
func (h *Hub) HoldDirectory() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directoryHeld, h.summary = true, nil
}

// named reports whether callers may be told of a VM. It needs h.mu.
func (h *Hub) named(v *vmState) bool {
	return !h.directoryHeld && !h.cordonedVMs.Has(v.vm, v.heartbeat.Endpoint)
}

// CallerVMs returns the present VMs that accept callers, cordoned or not.
func (h *Hub) CallerVMs() []cordon.CallerVM {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []cordon.CallerVM
	now := time.Now()
	for id, v := range h.vms {
		if v.acceptsCallers() && now.Sub(v.at) <= presenceTimeout {
			out = append(out, cordon.CallerVM{ID: id, Endpoint: v.heartbeat.Endpoint})
		}
	}
	return out
}

// setCordoned sets the servers that receive no new streams by order of an operator.
func (c *schedulerService) setCordoned(names cordon.Names) {
	c.inbox.setCordoned(names)
	c.serversChanged()
}
