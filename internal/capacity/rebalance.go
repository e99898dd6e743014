package capacity

import "time"

const (
	// rebalanceRatio is the ratio of a VM's load to the mean of all VMs above which it closes
	// connections. Weights alone keep the busiest VM below it.
	rebalanceRatio = 1.25
	// rebalanceMinLoad is the load below which a VM closes no connections: it has room for
	// several times its callers, and they would connect again for nothing.
	rebalanceMinLoad = 0.25
	// rebalancedPerSecond is the largest share of its open connections that a VM closes in a
	// second. More would move a herd of callers to other VMs before these report it.
	rebalancedPerSecond = 0.02
)

// Rebalancer decides after which requests a loaded VM closes the caller's connection. It is
// not safe for concurrent use.
type Rebalancer struct{ next time.Time }

// Overloaded reports whether a VM's load is far above the mean of all VMs.
func Overloaded(load, mean float64) bool {
	return load >= rebalanceMinLoad && load > rebalanceRatio*mean
}

// Closes reports whether an overloaded VM with the given number of open connections closes
// one now. Closings are evenly spaced, so that no burst exceeds the rate.
func (r *Rebalancer) Closes(now time.Time, open int) bool {
	if open <= 0 || now.Before(r.next) {
		return false
	}
	r.next = now.Add(time.Duration(float64(time.Second) / (rebalancedPerSecond * float64(open))))
	return true
}
