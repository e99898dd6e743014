package routed

import (
	"slices"
	"time"
)

const (
	// heardWindow is how long a received byte shows that a service is reached.
	heardWindow = time.Second
	// reachProbeInterval separates the probes of a service that this VM or another has lost.
	reachProbeInterval = 300 * time.Millisecond
)

// hears reports whether this VM has just heard a server of a service.
func (r *Router) hears(service string) bool { return r.fleet.HeardWithin(service, heardWindow) }

// takes reports whether this VM serves requests of a service for others.
func (r *Router) takes(service string) bool {
	return r.Ready() && r.fleet.Reaches(service) && r.hears(service)
}

// probeLostServices probes the services that this VM has lost, to find out when it reaches
// them again, and those that others have lost and this VM has not heard lately. Contents are not
// blamed for servers that only this VM does not reach.
func (r *Router) probeLostServices() {
	ticker := time.NewTicker(reachProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		for _, service := range r.fleet.LostServices() {
			if len(r.member.Relays(service)) > 0 {
				r.suspectContents.WithdrawSilences(service)
			}
		}
		services := slices.Concat(r.fleet.LostServices(), r.member.LostElsewhere())
		slices.Sort(services)
		for _, service := range slices.Compact(services) {
			if !r.hears(service) {
				r.handler.ProbeService(service)
			}
		}
	}
}
