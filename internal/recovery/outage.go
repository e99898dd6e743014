package recovery

import (
	"math"
	"slices"
	"time"
)

// The failure that this file answers: the engines of a zone die within milliseconds of one
// another, some without closing their connections. Each VM has streams on a few of them and
// detects only those. The others stay on the list of backend servers for seconds and look
// idle, so they attract every new request and every resumed stream of all VMs. Each of
// these is refused there or waits for a connection that is never established, and spends
// the retry budget that the lost streams need.
//
// A few deaths in one failure domain within a second therefore count as the loss of the
// whole domain. A large domain needs more of them: of thirty servers, two may die within a
// second without a common cause, and the others are needed.

// Constants of the detection of an outage.
const (
	// outageDeaths within outageWindow mark a small failure domain as lost. Engines of one
	// service that are replaced or crash one by one seldom die twice within a second in the
	// same zone.
	outageDeaths = 2
	// smallDomainServers is the largest domain for which outageDeaths suffice. In a larger
	// one, outageShare of the servers beyond that number must die as well.
	smallDomainServers = 12
	outageShare        = 0.25
	outageWindow       = 1 * time.Second
	// OutageAvoidDuration is how long a domain is avoided after its last death. A restarted
	// engine has another id, which is on the list within two seconds.
	OutageAvoidDuration = 2500 * time.Millisecond
)

// Outage detects the loss of a whole failure domain. It is not safe for concurrent use.
type Outage struct{ deaths []domainDeath }

type domainDeath struct {
	domain, id string
	at         time.Time
}

// Note records a death in a domain with the given number of servers. It reports whether the
// whole domain counts as lost.
func (o *Outage) Note(domain, id string, servers int, now time.Time) bool {
	o.deaths = slices.DeleteFunc(o.deaths, func(d domainDeath) bool {
		return now.Sub(d.at) > outageWindow || d.domain == domain && d.id == id
	})
	o.deaths = append(o.deaths, domainDeath{domain, id, now})
	n := 0
	for _, d := range o.deaths {
		if d.domain == domain {
			n++
		}
	}
	return n >= outageThreshold(servers)
}

// outageThreshold returns how many deaths mark a domain with so many servers as lost.
func outageThreshold(servers int) int {
	further := max(0, servers-smallDomainServers)
	return outageDeaths + int(math.Ceil(outageShare*float64(further)))
}
