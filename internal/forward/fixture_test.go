package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/overload"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// fixture is a router with simulated servers, in virtual time.
type fixture struct {
	t                *testing.T
	net              *routedengine.Net
	fleet            *upstream.Fleet
	handler          *forward.Handler
	table            atomic.Pointer[routes.Table]
	pool             *upstream.Pool
	log              zerolog.Logger
	servers          []*routedengine.Server
	reported         []forward.ReportedRun // by another router
	refusalLevel     func(string) (overload.Level, bool)
	placer           forward.Placer     // nil: the router chooses engines itself
	callGrants       forward.CallGrants // nil: the router decides about calls itself
	state            atomic.Pointer[rollout.State]
	recorder         *rollout.Recorder
	contents         *forward.SuspectContents
	closing          bool // the router is shutting down
	unreadBytes      int  // of the memory account; 0: the default
	memory           *memory.Account
	shutdownTimeLeft time.Duration        // until the router stops; 0: it is not shutting down
	stop             atomic.Pointer[stop] // nil: the router is not shutting down
	ending           context.Context      // ends with the stop
	end              context.CancelFunc
	versionsStale    bool                  // the router's copy of the known versions is out of date
	catchesUp        func()                // brings the copy of the known versions up to date, just before it is asked whether it is fresh; nil: nothing does
	origins          forward.Origins       // nil: the router knows its own streams only
	noRetries        bool                  // the retry budget is spent
	handOff          forward.HandOff       // nil: requests are not handed off
	trials           forward.ContentTrials // nil: the router grants trials itself
}

// admitAll returns the versions of all servers, admitted to new work.
func (f *fixture) admitAll() map[string]rollout.KnownVersions {
	out := map[string]rollout.KnownVersions{}
	for _, s := range f.servers {
		if out[s.Service] == nil {
			out[s.Service] = rollout.KnownVersions{}
		}
		out[s.Service][s.Version] = rollout.Admitted
	}
	return out
}

// stop is a planned shutdown of the router.
type stop struct {
	began  time.Time
	window shutdown.Window
}

func (s *stop) endsAt() time.Time { return s.began.Add(s.window.Grace) }

// earlyPart is the part of a stop in which requests are taken that usually end in time.
const earlyPart = 0.3

// surelyEnds reports whether a request that is sent some time after the stop began ends by its deadline.
func (s *stop) surelyEnds(sent, timeout time.Duration) bool { return sent+timeout <= s.window.Grace }

func (s *stop) isEarly(sent time.Duration) bool {
	return sent <= time.Duration(earlyPart*float64(s.window.Grace))
}

func (f *fixture) cannotFinish(w shutdown.Work) bool {
	if s := f.stop.Load(); s != nil {
		return s.window.CannotFinish(time.Since(s.began), w)
	}
	return f.shutdownTimeLeft > 0 && w.Expected > f.shutdownTimeLeft && w.Left > f.shutdownTimeLeft
}

func (f *fixture) isClosing() bool {
	return f.closing || f.shutdownTimeLeft > 0 || f.stop.Load() != nil
}

// setEnd makes the router expect that it ends its calls at a moment, late in its grace period.
func (f *fixture) setEnd(t time.Time) {
	f.stop.Store(&stop{began: t.Add(-time.Hour), window: shutdown.Window{Grace: time.Hour}})
}

// endAt makes the router shut down: it ends its calls at a moment.
func (f *fixture) endAt(t time.Time) {
	f.stop.Store(&stop{began: time.Now(), window: shutdown.Window{Grace: time.Until(t)}})
	time.AfterFunc(time.Until(t), f.end)
}

func (f *fixture) findOrphan(_ context.Context, wanted forward.RunID) (forward.ReportedRun, bool) {
	run, ok := forward.FindReported(slices.Values(f.reported), wanted)
	if ok && f.handler.CarriesStream(run.RunID) {
		run.Copy, run.RunID = forward.Copy{}, forward.RunID{}
	}
	return run, ok
}

// reportRuns makes the runs of the router known to the lookup of others.
func (f *fixture) reportRuns() {
	f.reported = nil
	for _, run := range f.handler.ResumableRuns() {
		f.reported = append(f.reported, forward.ReportedRun{ResumableRun: run})
	}
}

// testRoutes returns routes of a resumable stream, a vote that may run once, and an
// idempotent call.
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

// newFixture starts a router and assigns each server an id and an address.
func newFixture(t *testing.T, servers ...*routedengine.Server) *fixture {
	return newFixtureWithLog(t, zerolog.Nop(), servers...)
}

func newFixtureWithLog(t *testing.T, log zerolog.Logger, servers ...*routedengine.Server) *fixture {
	f := &fixture{t: t, net: routedengine.NewNet()}
	for i, s := range servers {
		s.ID, s.Address = fmt.Sprintf("i%d", i), fmt.Sprintf("10.0.0.%d:80", i)
		f.servers = append(f.servers, f.net.Add(s))
	}
	f.log, f.pool = log, upstream.NewPoolWith(f.net.Dial)
	f.fleet = upstream.NewFleet(f.pool, log)
	f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
	f.table.Store(testRoutes())
	f.state.Store(&rollout.State{Known: f.admitAll()})
	f.recorder = rollout.NewRecorder(time.Now)
	f.ending, f.end = context.WithCancel(t.Context())
	ready := make(chan struct{})
	close(ready)
	f.newHandler(ready)
	return f
}

// keepNoCopies makes the engines keep no copies of each other's runs.
func (f *fixture) keepNoCopies() {
	list := testRoutes().List
	list.Services[0].Engine.KeepCopies = false
	f.table.Store(routes.NewTable(list))
}

// newAccount replaces the memory account of the router.
func (f *fixture) newAccount() *memory.Account {
	f.memory = memory.NewAccount(0)
	if f.unreadBytes > 0 {
		f.memory = memory.NewAccountOf(f.unreadBytes)
	}
	return f.memory
}

// newHandler replaces the router's handler by one that has its lists once ready is closed.
func (f *fixture) newHandler(ready <-chan struct{}) {
	retries := forward.RetryAllowance{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	if f.noRetries {
		retries.Ratio, retries.Slack = 0, 0
	}
	f.contents = forward.NewSuspectContents(zerolog.Nop())
	f.handler = forward.NewHandler(forward.Options{
		Zone: "a", Wire: forward.NewPlainWire(), Pool: f.pool, Fleet: f.fleet,
		Routes: f.table.Load, ListsReady: ready, RetryAllowance: retries,
		Log: f.log, RoutineLog: f.log, Metrics: metrics.NewSet(), SuspectContents: f.contents, Closing: f.isClosing, Ending: f.ending,
		Memory: f.newAccount(), CannotFinish: f.cannotFinish, FindOrphan: f.findOrphan, Placer: f.placer, RefusalLevel: f.refusalLevel, CallGrants: f.callGrants,
		Rollouts: &forward.Rollouts{State: f.state.Load, Recorder: f.recorder}, VersionsFresh: func() bool { return f.versionsFresh() }, Origins: f.origins, HandOff: f.handOff, ContentTrials: f.trials,
	})
}

// versionsFresh reports whether the router's copy of the known versions is fresh.
func (f *fixture) versionsFresh() bool {
	if f.catchesUp != nil {
		f.catchesUp()
	}
	return !f.versionsStale
}

// setCallGrants replaces the router's handler by one that uses CallGrants.
func (f *fixture) setCallGrants(g forward.CallGrants) {
	f.callGrants = g
	f.setPlacer(f.placer)
}

// setPlacer replaces the router's handler by one that uses a Placer.
func (f *fixture) setPlacer(p forward.Placer) {
	f.placer = p
	ready := make(chan struct{})
	close(ready)
	f.newHandler(ready)
}

// shutDown resets every connection, since no goroutine of a synctest bubble may remain.
func (f *fixture) shutDown() {
	for _, s := range f.servers {
		s.Set(routedengine.Dead)
	}
	f.fleet.Apply(upstream.List{AsOf: time.Now().Add(time.Hour)})
	time.Sleep(time.Second)
	synctest.Wait()
	if u := f.memory.Usage(); u.Bytes != 0 {
		f.t.Errorf("%d bytes are held after the last request, want none", u.Bytes)
	}
}

func engine(zone string) *routedengine.Server {
	return &routedengine.Server{
		Backend: upstream.Backend{Service: "models", Zone: zone, Slots: 64},
		Events:  100, PrefillTime: time.Second, EventInterval: 30 * time.Millisecond,
	}
}

func voteServer(zone string) *routedengine.Server {
	return &routedengine.Server{
		Backend: upstream.Backend{Service: "votes", Zone: zone, Slots: 6}, CallTime: 60 * time.Millisecond,
	}
}

// answer is what a caller received.
type answer struct {
	mu      sync.Mutex
	header  http.Header
	status  int
	text    strings.Builder
	arrived []time.Time // of each write
	broken  bool        // the connection was aborted
	done    chan struct{}
	took    time.Duration // until done
	leave   context.CancelFunc
	// lengthUnstated is set if the caller does not state the length of its body.
	lengthUnstated bool
	// A caller that has stopped reading blocks all writes while resumed is not closed, or
	// until the write deadline is moved into the past.
	resumed  chan struct{} // nil: the caller reads
	deadline chan struct{}
	expire   sync.Once
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
	if a.resumed != nil {
		select {
		case <-a.resumed:
		case <-a.deadline:
			return 0, os.ErrDeadlineExceeded
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrived = append(a.arrived, time.Now())
	return a.text.Write(p)
}

func (a *answer) Flush() {}

// SetWriteDeadline only implements a deadline in the past.
func (a *answer) SetWriteDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		a.expire.Do(func() { close(a.deadline) })
	}
	return nil
}

// longestPause returns the longest time between two events.
func (a *answer) longestPause() time.Duration {
	var longest time.Duration
	for i := 1; i < len(a.arrived); i++ {
		longest = max(longest, a.arrived[i].Sub(a.arrived[i-1]))
	}
	return longest
}

// send starts a caller's request and returns at once.
func (f *fixture) send(method, path, id, body string, headers ...string) *answer {
	return f.sendTo(&answer{}, method, path, id, body, headers...)
}

// sendUnread is send for a caller that does not read until resumed is closed.
func (f *fixture) sendUnread(method, path, id, body string) *answer {
	return f.sendTo(&answer{resumed: make(chan struct{})}, method, path, id, body)
}

func (f *fixture) sendTo(a *answer, method, path, id, body string, headers ...string) *answer {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "shelf"
	if a.lengthUnstated {
		r.ContentLength = -1
	}
	r.Header.Set(forward.HeaderRequestID, id)
	r.Header.Set("Authorization", "Bearer key-of-nelson")
	r.Header.Set(forward.HeaderTokens, "8000,1000")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	a.header, a.done, a.deadline, a.leave = http.Header{}, make(chan struct{}), make(chan struct{}), cancel
	sent := time.Now()
	go func() {
		defer close(a.done)
		defer func() { a.took = time.Since(sent) }()
		defer func() {
			if p := recover(); p != nil {
				if p != http.ErrAbortHandler {
					panic(p)
				}
				a.broken = true
			}
		}()
		f.handler.ServeHTTP(a, r.WithContext(ctx))
	}()
	return a
}

// requireCompleteStream fails the test unless each of n events came once, in order, and
// the answer ended regularly.
func (a *answer) requireCompleteStream(t *testing.T, n int) {
	t.Helper()
	<-a.done
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	if a.broken || a.status != http.StatusOK {
		t.Fatalf("got status %d, aborted: %t, want 200 and a regular end", a.status, a.broken)
	}
	if got := a.text.String(); got != want.String() {
		t.Fatalf("got %d bytes that are not the complete stream:\n%s", len(got), got)
	}
}

// totalRuns counts the runs of a request over all servers.
func (f *fixture) totalRuns(id string) int {
	n := 0
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			if r.RequestID == id {
				n++
			}
		}
	}
	return n
}
