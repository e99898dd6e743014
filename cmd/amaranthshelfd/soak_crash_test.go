package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// The bounds of a request that crashes the servers that run it, and the course of a crash.
const (
	soakCrashesBeforeBound = 3               // servers that end before the bound holds
	soakCrashBoundFrom     = 3 * time.Second // after the last of them
	soakSendsAfterCrashes  = 3               // from then on
	soakCrashPath          = "/vote/crash"
	soakCrashInterval      = 200 * time.Millisecond // between two callers of the request
	soakCrashTime          = 30 * time.Millisecond  // from the start of the run
	soakCrashRestart       = 700 * time.Millisecond // until the server is back
)

// soakCrasher ends servers under one request, which comes again and again.
type soakCrasher struct {
	sent  atomic.Int64
	ended atomic.Int64
}

// intercept answers as next does, unless the request crashes the server.
func (c *soakCrasher) intercept(next func(*routedengine.Server, http.ResponseWriter, *http.Request) bool) func(*routedengine.Server, http.ResponseWriter, *http.Request) bool {
	return func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.RequestURI, soakCrashPath) {
			return next != nil && next(s, w, r)
		}
		s.RecordRun(r, 0, false)
		time.Sleep(soakCrashTime)
		c.ended.Add(1)
		s.Set(routedengine.Dead)
		time.AfterFunc(soakCrashRestart, func() { s.Set(routedengine.Alive) })
		return true
	}
}

// crashCaller sends the crashing request to a random router, under a new id each time.
func (w *soakClients) crashCaller(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		// Its key follows from the id, and its content is that of one workspace.
		id := fmt.Sprint("crash", w.s.crasher.sent.Add(1))
		w.crash(w.s.callers[rng.IntN(soakRouters)], id)
		_ = timer.Sleep(ctx, randomDuration(rng, 2*soakCrashInterval))
	}
}

func (w *soakClients) crash(router, id string) {
	v := w.vote(router, soakCrashPath, id)
	w.locked(func() { w.votes = append(w.votes, v) })
}

// checkCrashes fails the test if the crashing request of a workspace was sent too often after
// it had ended soakCrashesBeforeBound servers.
func (s *soakSystem) checkCrashes() {
	byContent := map[string][]time.Time{}
	for _, e := range s.servers {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.Path, soakCrashPath) {
				key := r.Header.Get("X-Workspace")
				byContent[key] = append(byContent[key], r.At)
			}
		}
	}
	for workspace, runs := range byContent {
		if late := lateRuns(runs); late > soakSendsAfterCrashes {
			s.t.Errorf("the crashing request of workspace %s was sent %d times from %v after its third crash on, want at most %d; it ran %d times",
				workspace, late, soakCrashBoundFrom, soakSendsAfterCrashes, len(runs))
		}
	}
}

// lateRuns counts the runs from soakCrashBoundFrom after the third crash on.
func lateRuns(runs []time.Time) int {
	if len(runs) < soakCrashesBeforeBound {
		return 0
	}
	slices.SortFunc(runs, time.Time.Compare)
	from := runs[soakCrashesBeforeBound-1].Add(soakCrashTime + soakCrashBoundFrom)
	late := 0
	for _, at := range runs {
		if at.After(from) {
			late++
		}
	}
	return late
}
