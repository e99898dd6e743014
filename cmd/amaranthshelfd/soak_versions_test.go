package main

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
)

const (
	// leastGoOn is the share of the streams to which callers reconnect that go on while several versions serve.
	leastGoOn = 0.9
	// restartSpan bounds the time for which all processes are down at once.
	restartSpan = 500 * time.Millisecond
)

// isMixed reports whether engines of several versions serve in the run of a seed. The other runs
// have a roll-out.
func isMixed(seed uint64) bool { return seed%3 == 0 }

// soakVersions are the versions of the engines of a mixed run: two of three engines and one of
// which there is a single engine.
var soakVersions = []string{"v1", "v1", "v1.1", "v1", "v1.1", "V1"}

func (s *soakSystem) engineVersion(i int) string {
	if !s.mixed {
		return "v1"
	}
	return soakVersions[i%len(soakVersions)]
}

// versionHold is the setting with that name. Without a roll-out, versions are used at once.
func (s *soakSystem) versionHold() time.Duration {
	if s.mixed {
		return 0
	}
	return 10 * time.Second
}

// planRestartOfAll kills all processes of a mixed run at the same time.
func (s *soakSystem) planRestartOfAll(rng *rand.Rand, length time.Duration) []fault {
	if !s.mixed {
		return nil
	}
	at, down := length/3+randomDuration(rng, length/3), randomDuration(rng, restartSpan)
	var out []fault
	for process := range s.processes {
		f := s.restartFault("all processes killed", process, syscall.SIGKILL, down)
		f.at = at
		out = append(out, f)
	}
	return out
}

// streamOrigin is what a caller knows of the first event of its stream.
type streamOrigin struct {
	attempt     string // empty: it has no event
	version     string
	reconnected bool
	versions    []string // of all events
}

// named returns the attempt that a caller names when it reconnects. While there is one
// version only, every second caller names none.
func (o *streamOrigin) named(mixed bool, caller int) string {
	if !mixed && caller%2 == 0 {
		return ""
	}
	return o.attempt
}

// noteOrigin notes what a caller received in a try. Its events must be of the version that sent
// the first one.
func (w *soakClients) noteOrigin(o *streamOrigin, q *routedlocal.StreamRequest, got *routedlocal.StreamResult) {
	if q.After > 0 && !o.reconnected {
		o.reconnected = true
		w.locked(func() { w.reconnected++ })
	}
	if q.After > 0 && cannotGoOn(got) {
		w.locked(func() { w.begunAnew++ })
	}
	o.versions = append(o.versions, got.Versions...)
	if len(got.EventIDs) == 0 {
		return
	}
	if o.attempt == "" {
		o.attempt, o.version = q.ID, got.Versions[0]
	}
	for _, version := range got.Versions {
		if version != o.version {
			w.t.Errorf("stream %s: attempt %s got events of version %s, but attempt %s got the first one of %s", q.Path, q.ID, version, o.attempt, o.version)
		}
	}
}

// cannotGoOn reports whether the answer states that the stream must begin anew.
func cannotGoOn(got *routedlocal.StreamResult) bool {
	code := got.Refusal.Code
	return (code == result.StreamVersionUnknown || code == result.StreamVersionGone) && got.Refusal.RetryAfter == 0
}

// checkVersions checks that most of the streams to which callers reconnected went on.
func (w *soakClients) checkVersions() {
	w.t.Logf("versions mixed: %t; %d streams with reconnects, %d begun anew", w.s.mixed, w.reconnected, w.begunAnew)
	if float64(w.begunAnew) > (1-leastGoOn)*float64(w.reconnected)+1 {
		w.t.Errorf("%d of %d streams with reconnects could not go on, want at most one in ten", w.begunAnew, w.reconnected)
	}
}
