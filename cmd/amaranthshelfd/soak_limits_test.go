package main

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// The bounds of a rate limit that a server states.
const (
	soakLimitWindow      = 4 * time.Second
	soakLimitFactor      = 1.5
	soakLimitSlack       = 5
	soakLimitInForceFrom = 3 * time.Second // after the limit was first stated
)

// soakLimit is a rate limit that a server stated for a while.
type soakLimit struct {
	server   int
	rate     float64
	from, to time.Time
}

// planLimits draws the servers that state a rate limit for most of the run. Some of them also
// die, stop answering or are cut off meanwhile.
func (s *soakSystem) planLimits(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	for range 2 {
		server, rate := rng.IntN(len(s.servers)), 0.5+7.5*rng.Float64()
		at := randomDuration(rng, length/6)
		f := fault{kind: "rate limit stated", at: at, target: server, duration: length - at}
		f.begin = func() { s.stateLimit(server, rate) }
		f.end = func() { s.endLimit(server) }
		out = append(out, f)
	}
	return out
}

// soakPause is a time in which a server refuses every request and asks for a pause, or states
// that it leaves.
type soakPause struct {
	server   int
	leaving  bool
	from, to time.Time
}

// Constants of pauses.
const (
	// soakTellTime is the time after which the requests that were on their way when a server
	// asked for a pause have reached it.
	soakTellTime = time.Second
	// soakSendsPerPause is how many requests may reach a server from a router that it has to
	// tell first.
	soakSendsPerPause = 2
)

// planPauses draws a vote server that asks for a pause, and an engine that states that it
// leaves.
func (s *soakSystem) planPauses(rng *rand.Rand, length time.Duration) []fault {
	engines := 2 * soakZones
	desk, engine := engines+rng.IntN(soakZones), rng.IntN(engines)
	at := randomDuration(rng, length/3)
	pause := fault{kind: "pause asked for", at: at, target: desk, duration: length / 2}
	pause.begin = func() {
		s.servers[desk].RefuseUntil(strconv.FormatFloat((2 * length).Seconds(), 'f', 2, 64))
		s.beginPause(soakPause{server: desk})
	}
	pause.end = func() {
		s.endPause(desk)
		s.servers[desk].RefuseUntil("")
	}
	leaving := fault{kind: "leaving stated", at: randomDuration(rng, length/3), target: engine, duration: length / 2}
	leaving.begin = func() {
		s.servers[engine].StateLeaving()
		s.beginPause(soakPause{server: engine, leaving: true})
	}
	leaving.end = func() { s.endPause(engine) }
	return []fault{pause, leaving}
}

func (s *soakSystem) beginPause(p soakPause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.from = time.Now()
	s.pauses = append(s.pauses, p)
}

func (s *soakSystem) endPause(server int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.pauses {
		if p := &s.pauses[i]; p.server == server {
			p.to = time.Now()
		}
	}
}

// checkPauses fails the test if a server received more requests than it takes to tell each
// router, and each one that was restarted, that it wants none.
func (s *soakSystem) checkPauses() {
	allowed := soakSendsPerPause * (soakRouters + s.routerStarts)
	for _, p := range s.pauses {
		arrivals := s.servers[p.server].Arrivals()
		if p.leaving {
			arrivals = nil // probes of what runs there may arrive
			for _, r := range s.servers[p.server].Runs() {
				arrivals = append(arrivals, r.At)
			}
		}
		n := 0
		for _, at := range arrivals {
			if at.After(p.from.Add(soakTellTime)) && at.Before(p.to) {
				n++
			}
		}
		if n > allowed {
			s.t.Errorf("server %s received %d requests in %v although it wanted none (leaving: %t), want %d at most", s.servers[p.server].ID, n, p.to.Sub(p.from), p.leaving, allowed)
		}
	}
}

func (s *soakSystem) stateLimit(server int, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server].StateRateLimit(strconv.FormatFloat(rate, 'f', 2, 64))
	s.limits = append(s.limits, soakLimit{server: server, rate: rate, from: time.Now()})
}

func (s *soakSystem) endLimit(server int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server].StateRateLimit("")
	for i := range s.limits {
		if l := &s.limits[i]; l.server == server && l.to.IsZero() {
			l.to = time.Now()
		}
	}
}

// checkLimits fails the test if a server received more than the limit that it stated allows.
// Where a server stated two limits, the higher one counts.
func (s *soakSystem) checkLimits() {
	for _, l := range s.limits {
		rate := l.rate
		for _, other := range s.limits {
			if other.server == l.server {
				rate = max(rate, other.rate)
			}
		}
		allowed := int(soakLimitFactor*rate*soakLimitWindow.Seconds()) + soakLimitSlack
		var arrivals []time.Time
		for _, at := range s.servers[l.server].Arrivals() {
			if at.After(l.from.Add(soakLimitInForceFrom)) && at.Before(l.to) {
				arrivals = append(arrivals, at)
			}
		}
		most, first := 0, 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) >= soakLimitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if most > allowed {
			s.t.Errorf("server %s with a limit of %.2f a second received %d requests within 4 s, want %d at most", s.servers[l.server].ID, rate, most, allowed)
		}
	}
}
