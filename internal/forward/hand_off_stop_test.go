package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Times of the end of a VM, after its drain.
const (
	lastAnswers = 100 * time.Millisecond // for the callers whose requests cannot be finished
	handBack    = 150 * time.Millisecond // for the VMs that handed off requests
)

// relayedSystem is a VM that reaches no server, and VMs that serve its requests.
type relayedSystem struct {
	*fixture // of the VM that reaches none
	relays   []*fixture
	servers  []*handoff.Server
}

func newRelayedSystem(t *testing.T, relays int, servers func() []*routedengine.Server) *relayedSystem {
	s := &relayedSystem{fixture: newFixture(t, engine("a"), voteServer("a"))}
	n := peertest.New(1)
	n.SetDelay(time.Millisecond, 2*time.Millisecond)
	var names []string
	for i := range relays {
		f := newFixture(t, servers()...)
		takes := func(string) bool { return !f.isClosing() }
		name := fmt.Sprint("relay", i)
		serve := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handler.ServeHTTP(w, r) })
		s.servers = append(s.servers, handoff.NewServer(t.Context(), n.VM(name), serve, takes, memory.NewAccount(0), zerolog.Nop()))
		s.relays, names = append(s.relays, f), append(names, name)
	}
	s.handOff = handoff.NewClient(n.VM("cut"), func(string) []string { return names }, memory.NewAccount(0), zerolog.Nop())
	s.setPlacer(nil)
	for _, own := range s.fixture.servers {
		own.Set(routedengine.Unresponsive)
	}
	s.loseServices(t, "models", "votes")
	return s
}

func (s *relayedSystem) shutDown() {
	s.fixture.shutDown()
	for _, f := range s.relays {
		f.shutDown()
	}
}

// stopRelay stops a VM that serves, with a drain of drawnGrace.
func (s *relayedSystem) stopRelay(i int) {
	s.relays[i].endAt(time.Now().Add(drawnGrace))
	time.AfterFunc(drawnGrace+lastAnswers, func() {
		ctx, cancel := context.WithTimeout(s.t.Context(), handBack)
		defer cancel()
		s.servers[i].EndAll(ctx)
	})
}

func (s *relayedSystem) runs(id string) int {
	n := 0
	for _, f := range s.relays {
		n += f.totalRuns(id)
	}
	return n
}

// rarelyLongServers return engines and servers of calls, at which one request in 15 outlasts a stop.
func rarelyLongServers() (out []*routedengine.Server) {
	for range 4 {
		e, v := engine("a"), voteServer("a")
		e.Events, e.PrefillTime, e.EventInterval = 10, 50*time.Millisecond, 30*time.Millisecond
		v.CallTime, v.Slots = 100*time.Millisecond, 64
		e.Times, v.Times = routedengine.RareLong(1, 15, 30), routedengine.RareLong(1, 15, 90)
		out = append(out, e, v)
	}
	return out
}

// checkAtStop checks the answer to a request that was sent some time after the stop of its own VM began.
// It may be cut off, or its outcome be unknown, only if it was sent early.
func (s *relayedSystem) checkAtStop(path, id string, a *answer, sent time.Duration) {
	s.t.Helper()
	runs, ended := s.runs(id), sent+a.took
	early, isVote := sent <= drawnEarly && s.stop.Load() != nil, path == "/vote/1"
	cutOff := a.broken || a.status == http.StatusOK && ended > drawnGrace+lastAnswers
	switch {
	case cutOff && !early:
		s.t.Errorf("%s, sent after %v, was cut off after %v", id, sent, a.took)
	case a.status == http.StatusServiceUnavailable && runs > 0:
		s.t.Errorf("%s was refused as not run and ran %d times", id, runs)
	case isVote && runs > 1:
		s.t.Errorf("%s ran %d times, want once at most", id, runs)
	case a.status == http.StatusBadGateway && !early && !isVote:
		s.t.Errorf("%s, sent after %v: its outcome is unknown", id, sent)
	case !cutOff && a.status != http.StatusOK && a.status != http.StatusBadGateway && a.status != http.StatusServiceUnavailable:
		s.t.Errorf("%s: got status %d", id, a.status)
	}
}

// Guards against requests that another VM serves and that are cut off, run twice or are refused as not
// run although they ran, when their own VM, that one, or both are stopped one after the other.
func TestHandedOffRequestsAtStops(t *testing.T) {
	const (
		before = 3 * time.Second // requests before the first stop
		apart  = 2 * drawnGap
		never  = time.Minute
	)
	for i, tt := range []struct {
		name       string
		own, other time.Duration // when the VMs are stopped
		relays     int
		taken      time.Duration // requests that are sent until then are taken
	}{
		{"VM that serves first", 700 * time.Millisecond, 0, 2, 700*time.Millisecond + drawnEarly},
		{"own VM", 0, never, 2, drawnEarly},
		{"VM that serves", never, 0, 2, never},
		{"own VM first", 0, 700 * time.Millisecond, 2, drawnEarly},
		{"own VM first, no third one", 0, 700 * time.Millisecond, 1, 700 * time.Millisecond},
		{"VM that serves first, no third one", 700 * time.Millisecond, 0, 1, 0},
	} {
		for _, path := range []string{"/s/1", "/vote/1", "/tally/1"} {
			t.Run(tt.name+path, func(t *testing.T) {
				if testing.Short() && i > 0 {
					t.Skip("one case shows the races of this test")
				}
				synctest.Test(t, func(t *testing.T) {
					s := newRelayedSystem(t, tt.relays, rarelyLongServers)
					defer s.shutDown()
					for _, f := range append(s.relays, s.fixture) {
						f.setTimeouts(20 * time.Second)
					}
					time.AfterFunc(before+tt.own, func() { s.endAt(time.Now().Add(drawnGrace)) })
					time.AfterFunc(before+tt.other, func() { s.stopRelay(0) })
					var answers []*answer
					for began := time.Now(); time.Since(began) < before+drawnGrace+min(tt.own, tt.other); {
						answers = append(answers, s.send(http.MethodPost, path, fmt.Sprint("q", len(answers)), "dossier"))
						time.Sleep(apart)
					}
					whole := 0
					for i, a := range answers {
						<-a.done
						s.checkAtStop(path, fmt.Sprint("q", i), a, time.Duration(i)*apart-before-tt.own)
						if !a.broken && a.status == http.StatusOK {
							whole++
						}
					}
					if taken := min(len(answers), int((before+tt.taken)/apart)); whole < taken*9/10 {
						t.Errorf("%d of %d whole, want nine in ten", whole, taken)
					}
				})
			})
		}
	}
}
