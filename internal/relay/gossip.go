package relay

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
)

// Bounds of the distribution of suspicion reports.
const (
	// maxDirectPeers is the number of peers up to which a VM sends a report to all of
	// them directly. With more peers, each VM sends to those 1, 2, 4, 8... places after
	// it in the order of names, and they forward the report. A report reaches 330 VMs
	// within nine steps, and no VM needs more than nine connections for it. Direct
	// sends to all would require a full mesh of connections whose pings alone cost
	// 28 KB/s.
	maxDirectPeers = 12

	// seenTTL is how long a report is remembered and not forwarded again. A report
	// reaches every VM in far less time.
	seenTTL = 10 * time.Second
	maxSeen = 4096
)

// neighbours returns the VMs to which self sends a report, and whether they have to
// forward it.
func neighbours(self string, all []generation.Candidate) (vms []string, forward bool) {
	for _, c := range all {
		vms = append(vms, c.VM)
	}
	slices.Sort(vms)
	vms = slices.Compact(vms)
	if len(vms) <= maxDirectPeers+1 {
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

// seenReports holds recent reports, each of which is forwarded once.
type seenReports map[suspicionReport]time.Time

// first records m and reports whether it is new.
func (h seenReports) first(m suspicionReport, now time.Time) bool {
	m.Death.At = time.Time{}
	if at, ok := h[m]; ok && now.Sub(at) < seenTTL {
		return false
	}
	if len(h) >= maxSeen {
		clear(h) // bounds memory; some reports are forwarded twice
	}
	h[m] = now
	return true
}
