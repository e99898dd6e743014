package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
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

// Numbers and bounds of the soak's callers.
const (
	soakVoteCallers = 6 // concurrent callers of votes
	// maxStreamTries is far more than a caller needs during any fault of the plan.
	maxStreamTries = 200
	retryPause     = 60 * time.Millisecond
	// maxTryDuration bounds one try of a stream. No fault of the plan lasts four seconds; a
	// try that lasts until its route's timeout of 20 s was lost without detection.
	maxTryDuration = 15 * time.Second
	callTimeout    = 5 * time.Second
	// recoveryTimeout bounds the time from the last fault until every router serves the
	// last list.
	recoveryTimeout = 20 * time.Second
)

// vote is the answer that a caller received to one vote. A vote is a non-idempotent request
// to a vote server, a stand-in server of the service "desk". A repeated run would count it
// twice. It has nothing to do with the votes of an election in the control group.
type vote struct {
	id     string
	status int // 0: the connection ended without an answer
	ran    result.Ran
}

// isNotRun reports whether the answer guarantees that the request has not run.
func (v *vote) isNotRun() bool {
	return v.ran == result.RanNo || v.status == http.StatusTooManyRequests || v.status == http.StatusServiceUnavailable || v.status == http.StatusRequestTimeout
}

// soakClients are the callers and operators of the system, with what they observed.
type soakClients struct {
	t  *testing.T
	s  *soakSystem
	wg sync.WaitGroup
	// acknowledged is the highest version of the route list that a control process accepted.
	acknowledged atomic.Uint64
	ordered      atomic.Bool // whether a roll-out was acknowledged
	cordoned     sync.Map    // paths of cordons that an operator has ordered and not ended
	states       callerStates

	mu          sync.Mutex
	sentTo      map[string]string // callers' addresses of the routers to which streams were sent, by request id
	votes       []vote
	refusals    []vote // of streams: tries that were answered with an error
	served      []int  // events that the callers of each workspace received
	streams     int
	resumes     int
	reconnected int // streams to which callers reconnected
	begunAnew   int // of these, those that could not go on
	listReads   int
	entries     []entryAnswer
}

func newSoakClients(t *testing.T, s *soakSystem) *soakClients {
	return &soakClients{t: t, s: s, served: make([]int, len(soakWorkspaces)), sentTo: map[string]string{}}
}

func (s *soakSystem) routeList(version uint64) string {
	return fmt.Sprintf(`{"version": %d, "routes": [
		{"name": "summary", "host": %q, "prefix": "/s/", "kind": "stream", "resumable": true, "timeout_ms": 20000, "priority": 0,
		 "objective_ms": 4000, "pause_ms": 700, "max_attempts": 5, "targets": [{"service": "models", "weight": 1}]},
		{"name": "batch", "host": %q, "prefix": "/b/", "kind": "stream", "resumable": true, "timeout_ms": 20000, "priority": 2,
		 "objective_ms": 8000, "pause_ms": 700, "max_attempts": 5, "targets": [{"service": "models", "weight": 1}]},
		{"name": "vote", "host": %q, "prefix": "/vote/", "kind": "once", "timeout_ms": 3000,
		 "objective_ms": 300, "max_attempts": 1, "targets": [{"service": "desk", "weight": 1}]},
		{"name": "version", "host": %q, "prefix": "/version/%d/", "kind": "once", "timeout_ms": 3000,
		 "objective_ms": 300, "max_attempts": 1, "targets": [{"service": "desk", "weight": 1}]}],
		"services": [{"name": "models", "engine": {"slots": %d, "kv_tokens": 88000, "keep_copies": true,
		 "copies_on_order": true, "copy_life_ms": 4000}}, {"name": "desk"}], "workspaces": %s}`,
		version, routedlocal.Host, routedlocal.Host, routedlocal.Host, routedlocal.Host, version, s.engineSlots(), soakWorkspaceList())
}

// start runs the callers and operators until ctx ends.
func (w *soakClients) start(ctx context.Context, seed uint64) {
	caller := 0
	for workspace, ws := range soakWorkspaces {
		for range ws.callers {
			id := caller
			w.wg.Go(func() { w.streamCaller(ctx, workspace, id, rand.New(rand.NewPCG(seed, uint64(100+id)))) })
			caller++
		}
	}
	for i := range soakVoteCallers {
		w.wg.Go(func() { w.voteCaller(ctx, i, rand.New(rand.NewPCG(seed, uint64(200+i)))) })
	}
	w.wg.Go(func() { w.crashCaller(ctx, rand.New(rand.NewPCG(seed, 304))) })
	w.wg.Go(func() { w.operator(ctx, rand.New(rand.NewPCG(seed, 300))) })
	w.wg.Go(func() { w.listReader(ctx, rand.New(rand.NewPCG(seed, 301))) })
	if w.s.mixed {
		return
	}
	w.wg.Go(func() { w.orderRollout(ctx, rand.New(rand.NewPCG(seed, 302))) })
	w.wg.Go(func() { w.watchRollout(ctx, rand.New(rand.NewPCG(seed, 303))) })
}

// streamCaller requests one stream after the other, on one of the two routes. When a stream
// breaks off, it requests the rest from a random router.
func (w *soakClients) streamCaller(ctx context.Context, workspace, caller int, rng *rand.Rand) {
	name := fmt.Sprint("stream caller ", caller)
	defer w.states.end(name)
	for n := 0; ctx.Err() == nil; n++ {
		path := fmt.Sprintf("/%s/%d-%d", []string{"s", "b"}[rng.IntN(2)], caller, n)
		var ids []int
		var origin streamOrigin
		complete := false
		for try := 0; try < maxStreamTries && !complete; try++ {
			q := routedlocal.StreamRequest{
				Addr: w.s.callers[rng.IntN(soakRouters)], Path: path, ID: fmt.Sprint(path[3:], "-", try),
				Key: soakWorkspaces[workspace].key(), After: len(ids), FirstAttempt: origin.named(w.s.mixed, caller),
			}
			w.states.set(name, fmt.Sprintf("try %d of stream %s at %s after %d events", try, path, q.Addr, len(ids)))
			sentAt := time.Now()
			got, err := q.Do(w.t.Context())
			ids = append(ids, got.EventIDs...)
			w.noteOrigin(&origin, &q, &got)
			if d := time.Since(sentAt); d > maxTryDuration {
				w.t.Errorf("stream %s, try %d: got %d events after %v, want at most 15s; complete %t, error %v", path, try, len(got.EventIDs), d, got.Complete, err)
			}
			if got.Foreign > 0 {
				w.t.Errorf("stream %s, try %d: got %d events of another stream, want none", path, try, got.Foreign)
			}
			complete = err == nil && got.Complete && len(ids) > 0
			w.locked(func() { w.countTry(workspace, try, &q, &got) })
			if cannotGoOn(&got) {
				ids, origin = nil, streamOrigin{}
			}
			if !complete {
				pause := retryPause + got.Refusal.RetryAfter
				w.states.set(name, fmt.Sprintf("waits %v after try %d of stream %s, status %d, refusal %+v", pause, try, path, got.Status, got.Refusal))
				_ = timer.Sleep(w.t.Context(), pause)
			}
		}
		if !complete || !routedlocal.HasAllEvents(ids, soakEvents) {
			w.t.Errorf("stream %s: complete %t, got events %v, want each event once and in order", path, complete, ids)
		}
		w.locked(func() { w.streams++ })
	}
}

// countTry counts one try of a stream. It needs w.mu.
func (w *soakClients) countTry(workspace, try int, q *routedlocal.StreamRequest, got *routedlocal.StreamResult) {
	w.sentTo[q.ID] = q.Addr
	w.resumes += min(try, 1)
	w.served[workspace] += len(got.EventIDs)
	if got.Status != 0 && got.Status != http.StatusOK {
		w.refusals = append(w.refusals, vote{id: q.ID, status: got.Status, ran: got.Refusal.Ran})
	}
}

func (w *soakClients) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// voteCaller sends one vote after the other without retries.
func (w *soakClients) voteCaller(ctx context.Context, caller int, rng *rand.Rand) {
	name := fmt.Sprint("vote caller ", caller)
	defer w.states.end(name)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("v%d-%d", caller, n)
		w.states.set(name, "vote "+id)
		v := w.vote(w.s.callers[rng.IntN(soakRouters)], "/vote/x", id)
		w.locked(func() { w.votes = append(w.votes, v) })
		_ = timer.Sleep(ctx, randomDuration(rng, 40*time.Millisecond))
	}
}

// vote sends one vote, or another call without retries, to a router.
func (w *soakClients) vote(router, path, id string) vote {
	v := vote{id: id}
	resp, body, err := w.roundTrip(w.t.Context(), http.MethodPost, "http://"+router+path, id, "yes")
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

// roundTrip sends one request on a separate connection and reads the whole answer.
func (w *soakClients) roundTrip(ctx context.Context, method, url, id, body string) (*http.Response, []byte, error) {
	return w.send(ctx, method, url, id, body, "")
}

// send is roundTrip with the key of an operator's order, which is carried out once.
func (w *soakClients) send(ctx context.Context, method, url, id, body, orderKey string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Host, r.Close = routedlocal.Host, true
	r.Header.Set(forward.HeaderRequestID, id)
	r.Header.Set("Authorization", "Bearer "+soakWorkspaces[crc32.ChecksumIEEE([]byte(id))%uint32(len(soakWorkspaces))].key())
	if orderKey != "" {
		r.Header.Set("Idempotency-Key", orderKey)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// putRouteList sends a version of the route list to the control processes in turn until one
// acknowledges it.
func (w *soakClients) putRouteList(ctx context.Context, version uint64) {
	for try := 0; ctx.Err() == nil; try++ {
		resp, _, err := w.roundTrip(ctx, http.MethodPut, "http://"+w.s.operators[try%soakControls]+"/v1/routes", "", w.s.routeList(version))
		if err == nil && resp.StatusCode == http.StatusOK {
			w.acknowledged.Store(version)
			return
		}
		_ = timer.Sleep(ctx, retryPause)
	}
}

func (w *soakClients) operator(ctx context.Context, rng *rand.Rand) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		// The version is sent until it is acknowledged, even after the callers have stopped.
		// Otherwise its outcome could stay unknown, and the last list in force with it.
		w.putRouteList(w.t.Context(), version)
		_ = timer.Sleep(ctx, randomDuration(rng, 600*time.Millisecond))
	}
}

// listReader reads the route list back. Its version must not be lower than one that was
// acknowledged before the read.
func (w *soakClients) listReader(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		acknowledged := w.acknowledged.Load()
		control := rng.IntN(soakControls)
		resp, body, err := w.roundTrip(ctx, http.MethodGet, "http://"+w.s.operators[control]+"/v1/routes", "", "")
		var list struct {
			Version uint64 `json:"version"`
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			w.locked(func() { w.listReads++ })
			if err := json.Unmarshal(body, &list); err != nil || list.Version < acknowledged {
				w.t.Errorf("control process %d returned version %d of the route list, want at least %d: %v", control, list.Version, acknowledged, err)
			}
		}
		_ = timer.Sleep(ctx, 50*time.Millisecond)
	}
}

// waitAllServe waits until every router serves every route of the given version of the list.
func (w *soakClients) waitAllServe(version uint64) {
	deadline := time.Now().Add(recoveryTimeout)
	for i, router := range w.s.callers {
		for n := 0; ; n++ {
			v := w.vote(router, fmt.Sprintf("/version/%d/", version), fmt.Sprintf("check%d-%d-%d", version, i, n))
			got, err := routedlocal.StreamRequest{
				Addr: router, Path: "/s/check", ID: fmt.Sprintf("check%d-%d-%d", version, i, n), Key: soakWorkspaces[0].key(),
			}.Do(w.t.Context())
			if v.status == http.StatusOK && err == nil && got.Complete {
				break
			}
			if time.Now().After(deadline) {
				w.t.Fatalf("router %d does not serve version %d after 20 s: vote %+v, stream complete %t, error %v", i, version, v, got.Complete, err)
			}
			_ = timer.Sleep(w.t.Context(), retryPause)
		}
	}
}

// checkVotes compares the answers that callers received with what the servers ran.
func (w *soakClients) checkVotes() {
	runs := map[string]int{}
	for _, e := range w.s.servers {
		for _, r := range e.Runs() {
			runs[r.RequestID]++
		}
	}
	for _, v := range w.refusals {
		if n := runs[v.id]; v.isNotRun() && n != 0 {
			w.t.Errorf("stream %s was answered as not run (status %d, ran %q), but it ran %d times", v.id, v.status, v.ran, n)
		}
	}
	for _, v := range w.votes {
		n := runs[v.id]
		switch {
		case n > 1:
			w.t.Errorf("vote %s ran %d times, want at most once", v.id, n)
		case v.status == http.StatusOK && n != 1:
			w.t.Errorf("vote %s was answered with 200 and ran %d times, want once", v.id, n)
		case v.isNotRun() && n != 0:
			w.t.Errorf("vote %s was answered as not run (status %d), but it ran", v.id, v.status)
		}
	}
}

func (w *soakClients) summary() string {
	byStatus := map[int]int{}
	for _, v := range w.votes {
		byStatus[v.status]++
	}
	return fmt.Sprintf("%d streams, %d resumed by their callers, %d tries refused, events by workspace %v; votes by status %v; %d versions, %d reads", w.streams, w.resumes, len(w.refusals), w.served, byStatus, w.acknowledged.Load(), w.listReads)
}
