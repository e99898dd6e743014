package forward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against an answer with events of two versions, when all engines of the version that
// began the stream die in the middle of it.
func TestStreamDoesNotChangeItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, withVersion("v1", engine("a")), withVersion("v2", engine("b")), withVersion("v2", engine("c")))
		defer f.shutDown()
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		began := f.engineRunning("r1")
		f.applyWithout(began.Version)
		for _, s := range f.servers {
			if s.Version == began.Version {
				s.Set(routedengine.Dead)
			}
		}
		<-a.done
		for _, s := range f.servers {
			if n := len(s.Runs()); s.Version != began.Version && n > 0 {
				t.Errorf("a stream that version %s began ran on %s of version %s", began.Version, s.ID, s.Version)
			}
		}
		if !a.broken {
			t.Error("the answer ended regularly without its end, want it broken off")
		}
	})
}

// Guards against a guess: a router that does not know which version began a stream must not
// send the rest of it to any.
func TestUnknownStreamIsNotResumed(t *testing.T) {
	for _, tt := range []struct {
		name    string
		headers []string
	}{
		{"names an unknown attempt", []string{forward.HeaderFirstAttempt, "r0"}},
		{"names no attempt", nil},
		{"names an empty attempt", []string{forward.HeaderFirstAttempt, ""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, withVersion("v1", engine("a")), withVersion("v2", engine("b")))
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log", append([]string{forward.HeaderLastEvent, "10"}, tt.headers...)...)
				<-a.done
				if n := f.totalRuns("r1"); n > 0 || a.status != http.StatusServiceUnavailable {
					t.Errorf("got status %d after %d runs, want 503 and no run", a.status, n)
				}
			})
		})
	}
}

// sharedOrigins is what control VMs hold of the streams of all routers.
type sharedOrigins struct {
	store  *streamversion.Store
	delay  time.Duration // until a record is held
	slow   bool          // a control VM waits for its disk meanwhile
	silent bool          // a control VM does not answer
}

func newSharedOrigins() *sharedOrigins {
	return &sharedOrigins{store: streamversion.NewStore(nil, "", zerolog.Nop())}
}

func (o *sharedOrigins) Record(r streamversion.Record) forward.RecordWait {
	done := make(chan struct{})
	time.AfterFunc(o.delay, func() {
		o.store.Put([]streamversion.Record{r})
		close(done)
	})
	wait := forward.RecordWait{Held: done}
	if o.slow {
		isSlow := make(chan struct{})
		close(isSlow)
		wait.DiskIsSlow = isSlow
	}
	return wait
}

func (o *sharedOrigins) Find(_ context.Context, k streamversion.Key) (streamversion.Origin, streamversion.Finding, bool) {
	origin, finding, _ := o.store.Find(k)
	return origin, finding, !o.silent
}

// began records that a stream began at a version.
func (o *sharedOrigins) began(workspace, attempt, service, version string) {
	o.store.Put([]streamversion.Record{{
		Key: streamversion.KeyOf(workspace, attempt), Origin: streamversion.Origin{Service: service, Version: version}, TTL: time.Minute,
	}})
}

// newSharedFixture starts a router that shares its records with others.
func newSharedFixture(t *testing.T, o forward.Origins, servers ...*routedengine.Server) *fixture {
	f := newFixture(t, servers...)
	f.origins = o
	f.setPlacer(nil)
	return f
}

func mixedEngines() []*routedengine.Server {
	return []*routedengine.Server{
		withVersion("v1", engine("a")), withVersion("v1", engine("b")), withVersion("v2", engine("a")), withVersion("v2", engine("b")), withVersion("v2", engine("c")),
	}
}

// Guards against a stream that is joined with another one, or refused with a code that does not say
// whether another try helps, by what its caller names.
func TestReconnect(t *testing.T) {
	long := strings.Repeat("a", streamversion.MaxAttemptBytes+1)
	resumes, last := forward.HeaderFirstAttempt, forward.HeaderLastEvent
	tests := []struct {
		name    string
		headers []string
		prepare func(f *fixture, o *sharedOrigins)
		version string // at which it goes on; empty: it is refused
		code    result.Code
		retry   bool // the refusal names a time to come back
	}{
		{name: "recorded", headers: []string{last, "10", resumes, "first"}, version: "v1"},
		{name: "unknown to all", headers: []string{last, "10", resumes, "never"}, code: result.StreamVersionUnknown},
		{
			name: "unknown to those that answer", headers: []string{last, "10", resumes, "never"}, code: result.StreamVersionUnknown, retry: true,
			prepare: func(_ *fixture, o *sharedOrigins) { o.silent = true },
		},
		{name: "another workspace's", headers: []string{last, "10", resumes, "of-rupert"}, code: result.StreamVersionUnknown},
		{name: "none named", headers: []string{last, "10"}, code: result.StreamVersionUnknown},
		{name: "empty", headers: []string{last, "10", resumes, ""}, code: result.StreamVersionUnknown},
		{name: "twice used", headers: []string{last, "10", resumes, "twice"}, code: result.StreamVersionUnknown},
		{name: "too long", headers: []string{last, "10", resumes, long}, code: result.InvalidReconnect},
		{name: "its own", headers: []string{last, "10", resumes, "r1"}, code: result.InvalidReconnect},
		{name: "no last event", headers: []string{resumes, "first"}, code: result.InvalidReconnect},
		{name: "last event not a number", headers: []string{last, "ten", resumes, "first"}, code: result.InvalidReconnect},
		{name: "last event not a number, none named", headers: []string{last, "-1"}, code: result.InvalidReconnect},
		{name: "version that has left", headers: []string{last, "10", resumes, "of-v0"}, code: result.StreamVersionGone},
		{
			name: "version that is not on an old list", headers: []string{last, "10", resumes, "of-v0"}, code: result.StreamVersionGone, retry: true,
			prepare: func(*fixture, *sharedOrigins) { time.Sleep(3 * time.Second) },
		},
		{name: "version without a name", headers: []string{last, "10", resumes, "of-none"}, code: result.StreamVersionGone},
		{name: "version that differs in case", headers: []string{last, "10", resumes, "of-V1"}, code: result.StreamVersionGone},
		{name: "service to which the route leads no more", headers: []string{last, "10", resumes, "of-votes"}, code: result.StreamVersionGone},
		{
			name: "none named, one version only", headers: []string{last, "10"}, version: "v1",
			prepare: func(f *fixture, _ *sharedOrigins) { f.onlyVersion("v1", rollout.Admitted) },
		},
		{
			name: "none named, one version only by an old copy", headers: []string{last, "10"}, code: result.StreamVersionUnknown, retry: true,
			prepare: func(f *fixture, _ *sharedOrigins) { f.onlyVersion("v1", rollout.Admitted); f.versionsStale = true },
		},
		{
			name: "none named, one version only by an old copy that catches up meanwhile", headers: []string{last, "10"}, code: result.StreamVersionUnknown,
			prepare: func(f *fixture, _ *sharedOrigins) {
				f.onlyVersion("v1", rollout.Admitted)
				f.catchesUp = func() {
					f.setStandings("models", rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.Admitted})
				}
			},
		},
		{
			name: "none named, a second version announced", headers: []string{last, "10"}, code: result.StreamVersionUnknown,
			prepare: func(f *fixture, _ *sharedOrigins) {
				f.setStandings("models", rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.Announced})
			},
		},
		{
			name: "none named, versions not known", headers: []string{last, "10"}, code: result.StreamVersionUnknown,
			prepare: func(f *fixture, _ *sharedOrigins) { f.state.Store(&rollout.State{}) },
		},
		{
			name: "recorded, versions not known", headers: []string{last, "10", resumes, "first"}, version: "v1",
			prepare: func(f *fixture, _ *sharedOrigins) { f.state.Store(&rollout.State{}); f.versionsStale = true },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newSharedOrigins()
				f := newSharedFixture(t, o, mixedEngines()...)
				defer f.shutDown()
				o.began("nelson", "first", "models", "v1")
				o.began("rupert", "of-rupert", "models", "v1")
				o.began("nelson", "twice", "models", "v1")
				o.began("nelson", "twice", "models", "v2")
				o.began("nelson", "of-v0", "models", "v0")
				o.began("nelson", "of-none", "models", "")
				o.began("nelson", "of-V1", "models", "V1")
				o.began("nelson", "of-votes", "votes", "v1")
				if tt.prepare != nil {
					tt.prepare(f, o)
				}
				a := f.send("POST", "/s/1", "r1", "log", tt.headers...)
				<-a.done
				if tt.version != "" {
					if s := f.engineRunning("r1"); a.status != http.StatusOK || s == nil || s.Version != tt.version || f.totalRuns("r1") != 1 {
						t.Fatalf("got status %d after %d runs, want one at %s", a.status, f.totalRuns("r1"), tt.version)
					}
					return
				}
				var refusal result.Error
				if err := json.Unmarshal([]byte(a.text.String()), &refusal); err != nil {
					t.Fatal(err)
				}
				if n := f.totalRuns("r1"); n > 0 || refusal.Code != tt.code || refusal.Ran != result.RanNo || (a.header.Get("Retry-After") != "") != tt.retry {
					t.Errorf("got %+v, Retry-After %q after %d runs; want code %d, no run, a time to come back: %t", refusal, a.header.Get("Retry-After"), n, tt.code, tt.retry)
				}
			})
		})
	}
}

// onlyVersion sets the one known version of the service of streams.
func (f *fixture) onlyVersion(version string, standing rollout.Standing) {
	f.setStandings("models", rollout.KnownVersions{version: standing})
}

// Guards against an attempt named twice, of which a VM could take either.
func TestDoubledReconnectHeader(t *testing.T) {
	h := http.Header{forward.HeaderLastEvent: {"10"}, forward.HeaderFirstAttempt: {"a", "b"}}
	if c, err := forward.NewPlainWire().ReadCaller(h); err != nil || c.ReconnectFault == "" {
		t.Errorf("got %+v, error %v, want a fault", c, err)
	}
}

// Guards against a stream whose caller is sent events before other VMs know its version, and
// against a long wait for VMs that are slow to answer.
func TestFirstEventWaitsForItsRecord(t *testing.T) {
	for _, tt := range []struct {
		name        string
		delay       time.Duration
		oneVersion  bool
		slow        bool          // its disks are slow
		least, most time.Duration // of the wait
	}{
		{"held soon", 20 * time.Millisecond, false, false, 20 * time.Millisecond, 21 * time.Millisecond},
		{"held late", time.Second, false, false, 200 * time.Millisecond, 201 * time.Millisecond},
		{"one version only", time.Second, true, false, 0, time.Millisecond},
		{"on a slow disk", time.Second, false, true, time.Second, 1001 * time.Millisecond},
		{"on a disk that stands still", 10 * time.Second, false, true, 1500 * time.Millisecond, 1501 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newSharedOrigins()
				o.delay, o.slow = tt.delay, tt.slow
				f := newSharedFixture(t, o, mixedEngines()...)
				defer f.shutDown()
				if tt.oneVersion {
					f.onlyVersion("v1", rollout.Admitted)
				}
				began := time.Now()
				a := f.send("POST", "/s/1", "r1", "log")
				a.requireCompleteStream(t, 100)
				const undisturbed = time.Second + 30*time.Millisecond // the prefill and the first event
				if wait := a.arrived[0].Sub(began) - undisturbed; wait < tt.least || wait > tt.most {
					t.Errorf("the first event waited %v, want %v to %v", wait, tt.least, tt.most)
				}
			})
		})
	}
}

// Guards against a stream that changes its version while its caller reconnects again and again: each
// attempt names the one that began it.
func TestReconnectTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSharedOrigins()
		first := newSharedFixture(t, o, mixedEngines()...)
		defer first.shutDown()
		a := first.send("POST", "/s/1", "r1", "log")
		time.Sleep(1500 * time.Millisecond)
		a.leave()
		<-a.done
		began := first.engineRunning("r1").Version
		for i, id := range []string{"r2", "r3"} {
			other := newSharedFixture(t, o, mixedEngines()...)
			b := other.send("POST", "/s/1", id, "log", forward.HeaderLastEvent, strconv.Itoa(10+i), forward.HeaderFirstAttempt, "r1")
			time.Sleep(1500 * time.Millisecond)
			b.leave()
			<-b.done
			if s := other.engineRunning(id); s == nil || s.Version != began {
				t.Errorf("attempt %s went on at %+v, want version %s", id, s, began)
			}
			other.shutDown()
		}
	})
}

// Guards against a stream that a roll-out moves to another version, or that finds no server while
// the former ones still serve.
func TestStreamUnderARollout(t *testing.T) {
	for _, tt := range []struct {
		phase rollout.Phase
		goOn  bool // the stream goes on at v1 when its engine dies
	}{
		{rollout.Trial, true},
		{rollout.Switching, true},
		{rollout.Moving, true},
		{rollout.Completed, false},
		{rollout.Reverted, true},
	} {
		for _, reconnected := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reconnected %t", tt.phase, reconnected), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSharedFixture(t, newSharedOrigins(), mixedEngines()...)
					defer f.shutDown()
					f.setStandings("models", rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.InForce})
					a := f.send("POST", "/s/1", "r1", "log")
					time.Sleep(2 * time.Second)
					f.setRollout("models", tt.phase, 1)
					time.Sleep(time.Second / 2)
					if reconnected {
						a.leave()
						<-a.done
						a = f.send("POST", "/s/1", "r2", "log", forward.HeaderLastEvent, "30", forward.HeaderFirstAttempt, "r1")
					} else {
						f.engineRunning("r1").Set(routedengine.Dead)
					}
					<-a.done
					if n := f.runsOnVersion("models", "v2"); n > 0 {
						t.Errorf("got %d runs of a stream that v1 began at v2, want none", n)
					}
					if went := !a.broken && a.status == http.StatusOK; went != tt.goOn {
						t.Errorf("the stream went on: %t, want %t", went, tt.goOn)
					}
				})
			})
		}
	}
}

// fullPlacer is a Placer whose engines have no room. It asks each second whether to go on.
type fullPlacer struct{ scriptedPlacer }

func (*fullPlacer) Place(ctx context.Context, _ scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	for timer.Sleep(ctx, time.Second) == nil {
		if abandon() {
			return scheduler.Answer{Outcome: scheduler.Waiting}, true
		}
	}
	return scheduler.Answer{}, false
}

// Guards against a caller that is kept until its deadline while its version has no room.
func TestFullVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSharedOrigins()
		f := newSharedFixture(t, o, mixedEngines()...)
		defer f.shutDown()
		f.setPlacer(&fullPlacer{})
		o.began("nelson", "first", "models", "v1")
		began := time.Now()
		a := f.send("POST", "/s/1", "r1", "log", forward.HeaderLastEvent, "10", forward.HeaderFirstAttempt, "first")
		<-a.done
		if d := time.Since(began); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || d > 6*time.Second {
			t.Errorf("got status %d, Retry-After %q after %v, want a refusal with a time to come back within 6 s", a.status, a.header.Get("Retry-After"), d)
		}
	})
}

// Guards against a stream that a new version on trial began, and that goes to the former version
// when all engines of its own are down.
func TestStreamStaysOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSharedFixture(t, newSharedOrigins(), mixedEngines()...)
		defer f.shutDown()
		f.setStandings("models", rollout.KnownVersions{"v1": rollout.Admitted, "v2": rollout.InForce})
		f.setRollout("models", rollout.Trial, 1)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		for _, s := range f.servers {
			if s.Version == "v2" {
				s.Set(routedengine.Dead)
			}
		}
		<-a.done
		if n := f.runsOnVersion("models", "v1"); n > 0 || !a.broken {
			t.Errorf("got %d runs at v1, broken off: %t; want none, and the answer broken off", n, a.broken)
		}
	})
}

// Guards against a caller that waits for a version of which all servers drain.
func TestDrainingVersionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSharedOrigins()
		f := newSharedFixture(t, o, mixedEngines()...)
		defer f.shutDown()
		o.began("nelson", "first", "models", "v1")
		list := f.net.Backends()
		for i := range list {
			list[i].Draining = list[i].Version == "v1"
		}
		time.Sleep(time.Millisecond)
		f.fleet.Apply(upstream.List{Backends: list, AsOf: time.Now()})
		began := time.Now()
		a := f.send("POST", "/s/1", "r1", "log", forward.HeaderLastEvent, "10", forward.HeaderFirstAttempt, "first")
		<-a.done
		if a.status != http.StatusServiceUnavailable || !strings.Contains(a.text.String(), "stream_version_gone") || time.Since(began) > 0 {
			t.Errorf("got status %d, %s after %v, want stream_version_gone at once", a.status, a.text.String(), time.Since(began))
		}
	})
}
