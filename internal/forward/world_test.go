package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// world is one router before stand-in servers, in virtual time.
type world struct {
	t       *testing.T
	net     *routedengine.Net
	fleet   *upstream.Fleet
	handler *forward.Handler
	table   atomic.Pointer[routes.Table]
	pool    *upstream.Pool
	log     zerolog.Logger
	servers []*routedengine.Server
	left    map[uint64]forward.Copy // what another router has told
	placer  forward.Placer          // nil: the router decides for itself
	state   atomic.Pointer[rollout.State]
	book    *rollout.Recorder
	closing bool          // the router is shutting down
	grace   time.Duration // left of its shutdown's; 0: none goes on
}

func (w *world) late(_ bool, takes time.Duration) bool { return w.grace > 0 && takes > w.grace }

func (w *world) find(_ context.Context, identity uint64) (forward.Orphan, bool) {
	c, ok := w.left[identity]
	return forward.Orphan{Copy: c}, ok
}

// testRoutes: a stream that may resume, a vote, and a lookup.
func testRoutes() *routes.Table {
	return routes.NewTable(&routes.List{
		Version: 1,
		Routes: []routes.Route{
			{
				Name: "summary", Host: "shelf", Prefix: "/s/", Kind: routes.Stream, Resumable: true, MaxAttempts: 5,
				Targets: []routes.Target{{Service: "models", Weight: 1}}, Timeout: 25 * time.Second,
				Objective: 4500 * time.Millisecond, PauseObjective: 700 * time.Millisecond,
			},
			{
				Name: "vote", Host: "shelf", Prefix: "/vote/", Kind: routes.Once, MaxAttempts: 1,
				Targets: []routes.Target{{Service: "votes", Weight: 1}}, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond,
			},
			{
				Name: "tally", Host: "shelf", Prefix: "/tally/", Kind: routes.Idempotent, MaxAttempts: 2,
				Targets: []routes.Target{{Service: "votes", Weight: 1}}, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond,
			},
		},
		Services: []routes.Service{
			{Name: "models", Engine: &routes.EngineTraits{Slots: 64, KVTokens: 88_000, KeepCopies: true, CopiesOnOrder: true, CopyLife: 4 * time.Second}},
			{Name: "votes"},
		},
		Workspaces: []routes.Workspace{{Name: "nelson", Keys: []string{"key-of-nelson"}}},
		Keyed:      true,
	})
}

// newWorld starts a router; each server is given its place on the network.
func newWorld(t *testing.T, servers ...*routedengine.Server) *world {
	return newWorldWithLog(t, zerolog.Nop(), servers...)
}

func newWorldWithLog(t *testing.T, log zerolog.Logger, servers ...*routedengine.Server) *world {
	w := &world{t: t, net: routedengine.NewNet()}
	for i, s := range servers {
		s.ID, s.Address = fmt.Sprintf("i%d", i), fmt.Sprintf("10.0.0.%d:80", i)
		w.servers = append(w.servers, w.net.Add(s))
	}
	w.log, w.pool = log, upstream.NewPoolWith(w.net.Dial)
	w.fleet = upstream.NewFleet(w.pool, log)
	w.fleet.Apply(upstream.List{Backends: w.net.List(), AsOf: time.Now()})
	w.table.Store(testRoutes())
	w.state.Store(&rollout.State{})
	w.book = rollout.NewRecorder(time.Now)
	ready := make(chan struct{})
	close(ready)
	w.rebuild(ready)
	return w
}

// rebuild makes the router's handler; it holds its lists once ready is closed.
func (w *world) rebuild(ready <-chan struct{}) {
	w.handler = forward.NewHandler(forward.Options{
		Zone: "a", Wire: forward.NewPlainWire(), Pool: w.pool, Fleet: w.fleet,
		Routes: w.table.Load, ListsReady: ready, RetryAllowance: forward.RetryAllowance{Ratio: 0.8, Slack: 150, Window: 10 * time.Second},
		Log: w.log, RoutineLog: w.log, Metrics: metrics.NewSet(), SuspectContents: forward.NewSuspectContents(), Closing: func() bool { return w.closing },
		CannotFinish: w.late, FindOrphan: w.find, Placer: w.placer,
		Rollouts: &forward.Rollouts{State: w.state.Load, Book: w.book},
	})
}

// place has someone decide where streams go.
func (w *world) place(p forward.Placer) {
	w.placer = p
	ready := make(chan struct{})
	close(ready)
	w.rebuild(ready)
}

// end resets every connection, so that nothing of the bubble is left.
func (w *world) end() {
	for _, s := range w.servers {
		s.Set(routedengine.Dead)
	}
	w.fleet.Apply(upstream.List{AsOf: time.Now().Add(time.Hour)})
	time.Sleep(time.Second)
	synctest.Wait()
}

func engine(zone string) *routedengine.Server {
	return &routedengine.Server{
		Backend: upstream.Backend{Service: "models", Zone: zone, Slots: 64},
		Events:  100, ReadTime: time.Second, EventTime: 30 * time.Millisecond,
	}
}

func voteServer(zone string) *routedengine.Server {
	return &routedengine.Server{
		Backend: upstream.Backend{Service: "votes", Zone: zone, Slots: 6}, WorkTime: 60 * time.Millisecond,
	}
}

// answer is what a caller received.
type answer struct {
	mu      sync.Mutex
	header  http.Header
	status  int
	text    strings.Builder
	arrived []time.Time // of each write
	broken  bool        // the connection was broken off
	done    chan struct{}
	leave   context.CancelFunc
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status == 0 {
		a.status = status
	}
}

func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrived = append(a.arrived, time.Now())
	return a.text.Write(p)
}

func (a *answer) Flush() {}

// longestPause is the longest time between two events.
func (a *answer) longestPause() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.arrived); i++ {
		longest = max(longest, a.arrived[i].Sub(a.arrived[i-1]))
	}
	return longest
}

// send starts a caller's request and returns at once.
func (w *world) send(method, path, id, body string, more ...string) *answer {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "shelf"
	r.Header.Set(forward.HeaderRequestID, id)
	r.Header.Set("Authorization", "Bearer key-of-nelson")
	r.Header.Set(forward.HeaderTokens, "8000,1000")
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	a := &answer{header: http.Header{}, done: make(chan struct{}), leave: cancel}
	go func() {
		defer close(a.done)
		defer func() {
			if p := recover(); p != nil {
				if p != http.ErrAbortHandler {
					panic(p)
				}
				a.broken = true
			}
		}()
		w.handler.ServeHTTP(a, r.WithContext(ctx))
	}()
	return a
}

// wholeStream fails unless each of n events came once, in order, and the answer
// ended properly.
func (a *answer) wholeStream(t *testing.T, n int) {
	t.Helper()
	<-a.done
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	if a.broken || a.status != http.StatusOK {
		t.Fatalf("status %d, broken off: %t", a.status, a.broken)
	}
	if got := a.text.String(); got != want.String() {
		t.Fatalf("the caller got %d bytes that are not the whole stream:\n%s", len(got), got)
	}
}

// totalRuns counts the runs of a request over all servers.
func (w *world) totalRuns(id string) int {
	n := 0
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			if r.RequestID == id {
				n++
			}
		}
	}
	return n
}
