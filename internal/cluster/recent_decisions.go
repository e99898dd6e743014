package cluster

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

const (
	// decisionPeriod is how long decisions are counted together. The counts cover the
	// present period and the one before.
	decisionPeriod = 30 * time.Second
	// maxDecisionGroups bounds the counted groups of a period. The decisions of further ones
	// are counted without their workspace.
	maxDecisionGroups = 4096
)

// decisionCounts counts decisions about streams.
type decisionCounts struct{ granted, refused int }

func (c decisionCounts) plus(o decisionCounts) decisionCounts {
	return decisionCounts{c.granted + o.granted, c.refused + o.refused}
}

type decisionGroups map[scheduler.Group]decisionCounts

// recentDecisions counts the decisions of the last periods by group of streams. It is not safe
// for concurrent use.
type recentDecisions struct {
	began         time.Time // of the present period
	current, last decisionGroups
}

func (r *recentDecisions) rotate(now time.Time) {
	if now.Sub(r.began) < decisionPeriod {
		return
	}
	r.last = nil
	if now.Sub(r.began) < 2*decisionPeriod {
		r.last = r.current
	}
	r.current, r.began = decisionGroups{}, now
}

// count counts a decision that grants or refuses a stream.
func (r *recentDecisions) count(d *scheduler.Decision, now time.Time) {
	var n decisionCounts
	switch d.Outcome {
	case scheduler.Granted:
		n.granted = 1
	case scheduler.Refused, scheduler.TooLarge:
		n.refused = 1
	default:
		return
	}
	r.rotate(now)
	g := d.Stream.Group()
	if _, known := r.current[g]; !known && len(r.current) >= maxDecisionGroups {
		g.Workspace = ""
	}
	r.current[g] = r.current[g].plus(n)
}

// of returns the counts of a service by group.
func (r *recentDecisions) of(service string, now time.Time) decisionGroups {
	r.rotate(now)
	out := decisionGroups{}
	for _, period := range []decisionGroups{r.last, r.current} {
		for g, n := range period {
			if g.Service == service {
				out[g] = out[g].plus(n)
			}
		}
	}
	return out
}
