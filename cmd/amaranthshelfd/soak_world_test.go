package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Bounds of the soak's callers.
const (
	soakStreams = 6 // callers of streams at once
	soakVoters  = 6
	// streamTries is far more than a caller needs through any trouble of the plan.
	streamTries = 200
	tryPause    = 60 * time.Millisecond
	// slowestTry: no trouble of the plan lasts for four seconds. A stream that is waited
	// for until its route's time is over was lost, and nobody noticed.
	slowestTry  = 15 * time.Second
	callTimeout = 5 * time.Second
	// healedIn is how long after the last fault everything serves the last list.
	healedIn = 20 * time.Second
)

// vote is what a caller was told about one vote.
type vote struct {
	id     string
	status int // 0: the connection ended
	ran    result.Ran
}

// soakWorld is the callers and operators around the system, and what they saw.
type soakWorld struct {
	t    *testing.T
	s    *soakSystem
	work sync.WaitGroup
	// acknowledged is the highest version of the route list that was accepted.
	acknowledged atomic.Uint64
	ordered      atomic.Bool // a roll-out was acknowledged

	mu      sync.Mutex
	votes   []vote
	streams int
	resumes int
	reads   int
}

func newSoakWorld(t *testing.T, s *soakSystem) *soakWorld { return &soakWorld{t: t, s: s} }

func soakList(version uint64) string {
	return fmt.Sprintf(`{"version": %d, "routes": [
		{"name": "summary", "host": %q, "prefix": "/s/", "kind": "stream", "resumable": true, "timeout_ms": 20000,
		 "objective_ms": 4000, "pause_ms": 700, "max_attempts": 5, "targets": [{"service": "models", "weight": 1}]},
		{"name": "vote", "host": %q, "prefix": "/vote/", "kind": "once", "timeout_ms": 3000,
		 "objective_ms": 300, "max_attempts": 1, "targets": [{"service": "desk", "weight": 1}]},
		{"name": "version", "host": %q, "prefix": "/version/%d/", "kind": "once", "timeout_ms": 3000,
		 "objective_ms": 300, "max_attempts": 1, "targets": [{"service": "desk", "weight": 1}]}],
		"services": [{"name": "models", "engine": {"slots": 8, "kv_tokens": 88000, "keep_copies": true,
		 "copies_on_order": true, "copy_life_ms": 4000}}, {"name": "desk"}]}`,
		version, routedlocal.Host, routedlocal.Host, routedlocal.Host, version)
}

// start runs the callers and operators until ctx ends.
func (w *soakWorld) start(ctx context.Context, seed uint64) {
	for i := range soakStreams {
		w.work.Go(func() { w.streamCaller(ctx, i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	for i := range soakVoters {
		w.work.Go(func() { w.voter(ctx, i, rand.New(rand.NewPCG(seed, uint64(200+i)))) })
	}
	w.work.Go(func() { w.operator(ctx, rand.New(rand.NewPCG(seed, 300))) })
	w.work.Go(func() { w.reader(ctx, rand.New(rand.NewPCG(seed, 301))) })
	w.work.Go(func() { w.orderRollout(ctx, rand.New(rand.NewPCG(seed, 302))) })
	w.work.Go(func() { w.watchRollout(ctx, rand.New(rand.NewPCG(seed, 303))) })
}

// streamCaller asks for one stream after the other, and for the rest of each at any
// router when it breaks off.
func (w *soakWorld) streamCaller(ctx context.Context, caller int, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		path := fmt.Sprintf("/s/%d-%d", caller, n)
		var ids []int
		whole := false
		for try := 0; try < streamTries && !whole; try++ {
			asked := time.Now()
			got, err := routedlocal.Stream(w.t.Context(), w.s.callers[rng.IntN(soakRouters)], path, fmt.Sprint(path[3:], "-", try), len(ids), nil)
			ids = append(ids, got.EventIDs...)
			if d := time.Since(asked); d > slowestTry {
				w.t.Errorf("stream %s, try %d: %d events after %v, whole %t, %v", path, try, len(got.EventIDs), d, got.Complete, err)
			}
			whole = err == nil && got.Complete && len(ids) > 0
			if !whole {
				_ = timer.Sleep(w.t.Context(), tryPause)
			}
			w.count(func() { w.resumes += min(try, 1) })
		}
		if !whole || !routedlocal.HasAllEvents(ids, soakEvents) {
			w.t.Errorf("stream %s: whole %t, events %v", path, whole, ids)
		}
		w.count(func() { w.streams++ })
	}
}

func (w *soakWorld) count(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// voter sends one vote after the other, each once.
func (w *soakWorld) voter(ctx context.Context, caller int, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("v%d-%d", caller, n)
		v := w.vote(w.s.callers[rng.IntN(soakRouters)], "/vote/x", id)
		w.count(func() { w.votes = append(w.votes, v) })
		_ = timer.Sleep(ctx, upTo(rng, 40*time.Millisecond))
	}
}

func (w *soakWorld) vote(front, path, id string) vote {
	v := vote{id: id}
	resp, body, err := w.ask(w.t.Context(), http.MethodPost, "http://"+front+path, id, "yes")
	if err != nil {
		return v
	}
	v.status = resp.StatusCode
	var e result.Error
	if v.status != http.StatusOK && json.Unmarshal(body, &e) == nil {
		v.ran = e.Ran
	}
	return v
}

// ask sends one request on a connection of its own.
func (w *soakWorld) ask(ctx context.Context, method, url, id, body string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Host, r.Close = routedlocal.Host, true
	r.Header.Set(forward.HeaderRequestID, id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// put sends a version to the control processes in turn until one acknowledges it.
func (w *soakWorld) put(ctx context.Context, version uint64) {
	for try := 0; ctx.Err() == nil; try++ {
		resp, _, err := w.ask(ctx, http.MethodPut, "http://"+w.s.operators[try%soakControls]+"/v1/routes", "", soakList(version))
		if err == nil && resp.StatusCode == http.StatusOK {
			w.acknowledged.Store(version)
			return
		}
		_ = timer.Sleep(ctx, tryPause)
	}
}

func (w *soakWorld) operator(ctx context.Context, rng *rand.Rand) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		// Sent until it is acknowledged, also when the callers stop: one whose outcome is
		// unknown may be in force or not.
		w.put(w.t.Context(), version)
		_ = timer.Sleep(ctx, upTo(rng, 600*time.Millisecond))
	}
}

// reader reads the list back: never an older one than was acknowledged before the
// question.
func (w *soakWorld) reader(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		before := w.acknowledged.Load()
		control := rng.IntN(soakControls)
		resp, body, err := w.ask(ctx, http.MethodGet, "http://"+w.s.operators[control]+"/v1/routes", "", "")
		var list struct {
			Version uint64 `json:"version"`
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			w.count(func() { w.reads++ })
			if err := json.Unmarshal(body, &list); err != nil || list.Version < before {
				w.t.Errorf("control process %d reads version %d back, %d was acknowledged: %v", control, list.Version, before, err)
			}
		}
		_ = timer.Sleep(ctx, 50*time.Millisecond)
	}
}

// allServe waits until every router serves every route of a version or a later one.
func (w *soakWorld) allServe(version uint64) {
	deadline := time.Now().Add(healedIn)
	for i, front := range w.s.callers {
		for n := 0; ; n++ {
			v := w.vote(front, fmt.Sprintf("/version/%d/", version), fmt.Sprintf("check%d-%d-%d", version, i, n))
			got, err := routedlocal.Stream(w.t.Context(), front, "/s/check", fmt.Sprintf("check%d-%d-%d", version, i, n), 0, nil)
			if v.status == http.StatusOK && err == nil && got.Complete {
				break
			}
			if time.Now().After(deadline) {
				w.t.Fatalf("router %d does not serve version %d: vote %+v, stream whole %t, %v", i, version, v, got.Complete, err)
			}
			_ = timer.Sleep(w.t.Context(), tryPause)
		}
	}
}

// checkVotes compares what callers were told with what the servers ran.
func (w *soakWorld) checkVotes() {
	runs := map[string]int{}
	for _, e := range w.s.servers {
		for _, r := range e.Runs() {
			runs[r.RequestID]++
		}
	}
	for _, v := range w.votes {
		n := runs[v.id]
		switch {
		case n > 1:
			w.t.Errorf("vote %s ran %d times", v.id, n)
		case v.status == http.StatusOK && n != 1:
			w.t.Errorf("vote %s was answered and ran %d times", v.id, n)
		case v.ran == result.RanNo && n != 0:
			w.t.Errorf("vote %s was said not to have run (%d), and has", v.id, v.status)
		}
	}
}

func (w *soakWorld) summary() string {
	told := map[int]int{}
	for _, v := range w.votes {
		told[v.status]++
	}
	return fmt.Sprintf("%d streams, %d resumed by their callers; votes by status %v; %d versions, %d reads", w.streams, w.resumes, told, w.acknowledged.Load(), w.reads)
}
