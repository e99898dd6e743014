// Package handoff has another VM serve a request if this VM reaches no backend server of its
// service.
//
// The failure that it answers: a VM is partitioned from all backend servers, while callers and
// the other VMs reach it. Callers keep its address for a while, and each of their requests
// would be refused or would wait until its deadline, although other VMs could serve it.
package handoff

// maxServersTried is how many servers of a service must fail in a row before the service
// counts as lost. In a small service all of them must.
const maxServersTried = 4

// Reach tracks which services this VM reaches. It is not safe for concurrent use.
type Reach struct {
	failed map[string]map[string]struct{} // servers that failed since the service was last heard, by service
}

// NewReach returns a Reach that has seen no failure.
func NewReach() *Reach { return &Reach{failed: map[string]map[string]struct{}{}} }

// Heard records that bytes came from some server of a service.
func (r *Reach) Heard(service string) {
	if len(r.failed) > 0 {
		delete(r.failed, service)
	}
}

// Failed records that a server accepted no connection, or did not answer a probe.
func (r *Reach) Failed(service, server string) {
	if r.failed[service] == nil {
		r.failed[service] = map[string]struct{}{}
	}
	r.failed[service][server] = struct{}{}
}

// Lost reports whether this VM reaches no server of a service that has so many of them.
func (r *Reach) Lost(service string, servers int) bool {
	return servers > 0 && len(r.failed[service]) >= min(servers, maxServersTried)
}

// Suspects returns the services of which a server failed since they were last heard.
func (r *Reach) Suspects() []string {
	out := make([]string, 0, len(r.failed))
	for service := range r.failed {
		out = append(out, service)
	}
	return out
}
