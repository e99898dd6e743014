package recovery

import (
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
// So a few deaths in one place within a moment count for the whole place.

// Figures of an outage.
const (
	// outageDeaths: engines of one service that are replaced or crash one by one
	// seldom die two in a second in the same zone.
	outageDeaths = 2
	outageWindow = 1 * time.Second
	// OutageFor is how long the place is avoided after its last death: a restarted
	// engine has another id, which is on the list within two seconds.
	OutageFor = 2500 * time.Millisecond
)

// Outage recognises the loss of a whole place. It is not safe for concurrent use.
type Outage struct{ deaths []placedDeath }

type placedDeath struct {
	place, id string
	at        time.Time
}

// Note adds a death and reports whether the place as a whole counts as lost.
func (o *Outage) Note(place, id string, now time.Time) bool {
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
	return n >= outageDeaths
}
