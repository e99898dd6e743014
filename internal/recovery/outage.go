package recovery

import (
	"math"
	"slices"
	"time"
)

// The load pattern of an outage. The engines of a zone die within milliseconds of
// one another, some without a word. Each VM has streams on a few of them and
// learns of those alone; the others stay on the list of backend servers for
// seconds, look idle, and so attract every new request and every resumed stream of
// all VMs: each is refused there, or waits for a connection that never comes, and
// spends the retry budget that the lost streams need.
//
// So a few deaths in one place within a moment count for the whole place, and more of
// them where it is large: of thirty servers, two that die within a second are an
// ordinary second, and the others are needed.

// Figures of an outage.
const (
	// outageDeaths: engines of one service that are replaced or crash one by one
	// seldom die two in a second in the same zone.
	outageDeaths = 2
	// smallPlace is up to how many servers that holds. Beyond it outageShare of the
	// further ones must die too.
	smallPlace   = 12
	outageShare  = 0.25
	outageWindow = 1 * time.Second
	// OutageFor is how long the place is avoided after its last death: a restarted
	// engine has another id, which is on the list within two seconds.
	OutageAvoidDuration = 2500 * time.Millisecond
)

// Outage recognises the loss of a whole place. It is not safe for concurrent use.
type Outage struct{ deaths []placedDeath }

type placedDeath struct {
	place, id string
	at        time.Time
}

// Note adds a death in a place with so many servers and reports whether the place as a
// whole counts as lost.
func (o *Outage) Note(place, id string, servers int, now time.Time) bool {
	o.deaths = slices.DeleteFunc(o.deaths, func(d placedDeath) bool {
		return now.Sub(d.at) > outageWindow || d.place == place && d.id == id
	})
	o.deaths = append(o.deaths, placedDeath{place, id, now})
	n := 0
	for _, d := range o.deaths {
		if d.place == place {
			n++
		}
	}
	return n >= deathsOfAll(servers)
}

// deathsOfAll is how many deaths count for a whole place.
func deathsOfAll(servers int) int {
	further := max(0, servers-smallPlace)
	return outageDeaths + int(math.Ceil(outageShare*float64(further)))
}
