package cordon

import "time"

// This file tells a VM which cordons are in force.
//
// The failure. The clocks of VMs differ, and operators and time servers set them. If each VM
// compared the end of a cordon with its own clock, a VM whose clock is an hour ahead would
// send new work to a server that is being repaired. If VMs waited until they are told, a
// group without a majority could not end any cordon.
//
// Each VM therefore measures the remaining time on its monotonic clock from when it learned of
// the cordon. It knows the remaining time at the last change of the cordons, which is at most
// too long. A VM that learned of a cordon late therefore ends it late by itself, and in time
// when the leader removes it. The leader also counts the time from when it learned of a
// cordon. For those that it learned of when it started, it takes its wall clock, which is
// what the group's clock follows.

// Tracker holds the cordons that a VM knows. All times carry a monotonic clock reading. It is
// not safe for concurrent use.
type Tracker struct{ known []tracked }

type tracked struct {
	Cordon
	ends time.Time
	// replayed is set if the cordon was read from this VM's log at its start, an unknown time
	// after the order.
	replayed bool
}

// Learn replaces the known cordons. replayed marks those that are new.
func (t *Tracker) Learn(s *State, now time.Time, replayed bool) {
	former := map[Cordon]tracked{}
	for _, k := range t.known {
		former[k.Cordon] = k
	}
	t.known = make([]tracked, 0, len(s.Cordons))
	for _, c := range s.Cordons {
		k, ok := former[c]
		if !ok {
			left := time.Duration(max(0, c.EndMS-s.AsOfMS)) * time.Millisecond
			k = tracked{c, now.Add(min(left, MaxDuration)), replayed}
		}
		t.known = append(t.known, k)
	}
}

// InForce returns what is out of service now.
func (t *Tracker) InForce(now time.Time) InForce {
	out := InForce{Engines: Names{}, VMs: Names{}}
	for _, k := range t.known {
		switch {
		case !now.Before(k.ends):
		case k.Kind == Engine:
			out.Engines[k.ID] = true
		case k.Kind == VM:
			out.VMs[k.ID] = true
		}
	}
	return out
}

// Remaining is a cordon in force and the time until its end.
type Remaining struct {
	Cordon
	Left time.Duration
}

// List returns the cordons in force, sorted by kind and id.
func (t *Tracker) List(now time.Time) []Remaining {
	out := make([]Remaining, 0, len(t.known))
	for _, k := range t.known {
		if left := k.ends.Sub(now); left > 0 {
			out = append(out, Remaining{k.Cordon, left})
		}
	}
	return out
}

// Ended returns the removals of the cordons whose time has passed, for the leader to propose.
// wallMS is the wall clock in Unix milliseconds.
func (t *Tracker) Ended(now time.Time, wallMS int64) []Removal {
	var out []Removal
	for _, k := range t.known {
		if !now.Before(k.ends) || k.replayed && wallMS >= k.EndMS {
			out = append(out, Removal{k.Kind, k.ID, k.Number})
		}
	}
	return out
}

// NextEnd returns when the next cordon ends by itself; zero: none is in force.
func (t *Tracker) NextEnd(now time.Time) time.Time {
	var next time.Time
	for _, k := range t.known {
		if now.Before(k.ends) && (next.IsZero() || k.ends.Before(next)) {
			next = k.ends
		}
	}
	return next
}
