package cluster

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxRelays is how many VMs are named that hear a service which others have lost.
const maxRelays = 8

// LostService is a service of which some VMs reach no server, and VMs that hear it.
type LostService struct {
	Service string   `cbor:"1,keyasint"`
	Relays  []string `cbor:"2,keyasint,omitempty"`
}

// lostServices returns the services that VMs have lost, with VMs that hear them. vms are
// present VMs that accept callers.
func lostServices(vms []vmState) []LostService {
	var lost []string
	for i := range vms {
		lost = append(lost, vms[i].heartbeat.Lost...)
	}
	slices.Sort(lost)
	var out []LostService
	for _, service := range slices.Compact(lost) {
		var relays []string
		for i := range vms {
			if slices.Contains(vms[i].heartbeat.Hears, service) {
				relays = append(relays, vms[i].vm)
			}
		}
		rand.Shuffle(len(relays), func(i, k int) { relays[i], relays[k] = relays[k], relays[i] })
		out = append(out, LostService{Service: service, Relays: relays[:min(len(relays), maxRelays)]})
	}
	return out
}

// cutOff reports whether a VM has lost a service that other VMs hear.
func (s *vmState) cutOff(lost []LostService) bool {
	return slices.ContainsFunc(lost, func(l LostService) bool {
		return len(l.Relays) > 0 && slices.Contains(s.heartbeat.Lost, l.Service)
	})
}

// cutOffVMs returns the VMs that are cut off. It returns none if that would leave no VM to
// name to callers. It needs h.mu.
func (h *Hub) cutOffVMs(vms []vmState, lost []LostService) map[string]bool {
	out, named := map[string]bool{}, 0
	for i := range vms {
		switch {
		case vms[i].cutOff(lost):
			out[vms[i].vm] = true
		case h.named(&vms[i]):
			named++
		}
	}
	if named == 0 {
		return nil
	}
	return out
}

// lostState is what a Member knows of lost services. Safe for concurrent use.
type lostState struct {
	mu   sync.Mutex
	told []LostService // by the last Summary
}

func (m *Member) learnLost(lost []LostService) {
	m.lost.mu.Lock()
	defer m.lost.mu.Unlock()
	m.lost.told = lost
}

// LostElsewhere returns the services that some VM has lost, by the last Summary.
func (m *Member) LostElsewhere() []string {
	m.lost.mu.Lock()
	defer m.lost.mu.Unlock()
	var out []string
	for _, l := range m.lost.told {
		out = append(out, l.Service)
	}
	return out
}

// Relays returns VMs that hear a service, without this one.
func (m *Member) Relays(service string) []string {
	m.lost.mu.Lock()
	defer m.lost.mu.Unlock()
	for _, l := range m.lost.told {
		if l.Service == service {
			return slices.DeleteFunc(slices.Clone(l.Relays), func(vm string) bool { return vm == m.self })
		}
	}
	return nil
}

// addReach adds to a heartbeat which services this VM lost and, of those that others lost,
// which it hears.
func (m *Member) addReach(heartbeat *Heartbeat) {
	if m.local.Lost == nil {
		return
	}
	heartbeat.Lost = m.local.Lost()
	for _, service := range slices.Concat(m.LostElsewhere(), heartbeat.Lost) {
		if m.local.Hears(service) && !slices.Contains(heartbeat.Hears, service) {
			heartbeat.Hears = append(heartbeat.Hears, service)
		}
	}
}
