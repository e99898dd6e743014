package relay

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// Figures of spreading blame.
const (
	// directMost VMs are told directly. Beyond it each VM tells those 1, 2, 4, 8...
	// places behind it in the order of names, and they tell on: all 330 hear within
	// nine steps, and no VM needs more than nine connections for it. Telling all
	// directly would leave a mesh of connections whose pings alone cost 28 KB/s.
	directMost = 12

	// heardLife is how long a message is known, and not passed on again; it takes
	// far less to reach everybody.
	heardLife = 10 * time.Second
	heardMost = 4096
)

// neighbours returns the VMs that self tells, and whether they have to tell on.
func neighbours(self string, all []generation.Candidate) (vms []string, pass bool) {
	for _, c := range all {
		vms = append(vms, c.VM)
	}
	slices.Sort(vms)
	vms = slices.Compact(vms)
	if len(vms) <= directMost+1 {
		return slices.DeleteFunc(vms, func(vm string) bool { return vm == self }), false
	}
	at, found := slices.BinarySearch(vms, self)
	if !found {
		vms = slices.Insert(vms, at, self)
	}
	var out []string
	for step := 1; step < len(vms); step *= 2 {
		out = append(out, vms[(at+step)%len(vms)])
	}
	return out, true
}

// heard remembers recent messages, so that each is passed on once.
type heard map[blameMessage]time.Time

// first reports whether m is new.
func (h heard) first(m blameMessage, now time.Time) bool {
	m.Death.At = time.Time{}
	if at, ok := h[m]; ok && now.Sub(at) < heardLife {
		return false
	}
	if len(h) >= heardMost {
		clear(h) // some are passed on twice; memory stays bounded
	}
	h[m] = now
	return true
}
