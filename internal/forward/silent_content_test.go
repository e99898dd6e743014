package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// silentFor makes servers silent for a time and returns once they answer again.
func silentFor(d time.Duration, servers ...*routedengine.Server) {
	for _, s := range servers {
		s.Set(routedengine.Unresponsive)
	}
	time.Sleep(d)
	for _, s := range servers {
		s.Set(routedengine.Alive)
	}
}

// requireServed fails the test unless n votes of one content that come together are served.
func (f *fixture) requireServed(n int, when string) {
	f.t.Helper()
	var answers []*answer
	for i := range n {
		answers = append(answers, f.send("POST", "/vote/1", fmt.Sprint(when, i), "yes"))
	}
	for _, a := range answers {
		if <-a.done; a.status != http.StatusOK {
			f.t.Errorf("got status %d for a vote %s, want 200", a.status, when)
		}
	}
}

// Guards against harmless content that is sent one at a time, or refused, for minutes because
// sound servers fell silent while they ran it, together or one after the other.
func TestContentOfSilentServersIsNotBlamed(t *testing.T) {
	for _, together := range []bool{true, false} {
		for _, silence := range []time.Duration{600 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("together: %t/%v", together, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, voteServers(3)...)
					defer f.shutDown()
					rounds := [][]*routedengine.Server{f.servers[:1], f.servers[1:2], f.servers[2:]}
					if together {
						rounds = [][]*routedengine.Server{f.servers}
					}
					for round, silent := range rounds {
						for i := range 9 {
							// Their callers wait for less time than the silence lasts.
							f.send("POST", "/vote/1", fmt.Sprint("v", round, "-", i), "yes", forward.HeaderDeadline, "300")
						}
						time.Sleep(20 * time.Millisecond)
						silentFor(silence, silent...)
					}
					time.Sleep(600 * time.Millisecond)
					f.requireServed(9, "after the silence")
					if n := f.contents.Count(); n != 0 {
						t.Errorf("%d contents are suspect, want none", n)
					}
				})
			})
		}
	}
}

// Guards against streams that are refused or wait for a trial because the engines that prefilled
// the same prompt for others fell silent for a while.
func TestStreamsOfSilentEnginesAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engines []*routedengine.Server
		for range 3 {
			e := engine("a")
			e.PrefillTime = 3 * time.Second
			engines = append(engines, e)
		}
		f := newFixture(t, engines...)
		defer f.shutDown()
		list := testRoutes().List
		list.Routes[0].Objective = 9 * time.Second
		f.table.Store(routes.NewTable(list))
		var answers []*answer
		for i := range 6 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), "log"))
		}
		time.Sleep(1400 * time.Millisecond)
		silentFor(time.Second, f.servers...)
		sent := time.Now()
		for i := range 3 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("late", i), "log"))
		}
		for i, a := range answers {
			a.requireCompleteStream(t, 100)
			if first := a.arrived[0].Sub(sent); first > 3500*time.Millisecond {
				t.Errorf("the first event of stream %d came %v after the silence, want the prefill of 3s and little more", i, first)
			}
		}
		if n := f.contents.Count(); n != 0 {
			t.Errorf("%d contents are suspect, want none", n)
		}
	})
}

// Guards against a content that is blamed for a server that another VM took for dead.
func TestWrongPeerReportIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].CallTime = 150 * time.Millisecond
		<-f.send("POST", "/vote/1", "given up", "yes", forward.HeaderDeadline, "100").done
		time.Sleep(400 * time.Millisecond)
		f.fleet.PeerReportedDead([]string{f.servers[0].ID})
		time.Sleep(200 * time.Millisecond)
		if n := f.contents.Count(); n != 0 {
			t.Errorf("%d contents are suspect, want none", n)
		}
	})
}

// Guards against a crash that is taken for a silence: the host of the server refuses connections
// after a while, and the server starts again under its id.
func TestSilentCrashIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
			s.Set(routedengine.Unresponsive)
			time.Sleep(600 * time.Millisecond)
			s.Set(routedengine.Dead)
			return true
		}
		<-f.send("POST", "/vote/1", "crashing", "yes", forward.HeaderDeadline, "300").done
		time.Sleep(900 * time.Millisecond)
		f.servers[0].Set(routedengine.Alive)
		time.Sleep(time.Second)
		if n := f.contents.Count(); f.fleet.DeadServers() != 0 || n != 1 {
			t.Errorf("%d contents are suspect and %d servers are dead, want one and none", n, f.fleet.DeadServers())
		}
	})
}

// Guards against the pardon of a content because its crashed server is back at once, under its id.
// Meanwhile connections are refused, closed once they are accepted, or hang.
func TestCrashAndRestartIsBlamed(t *testing.T) {
	for name, state := range map[string]routedengine.State{
		"refused": routedengine.Dead, "closed": routedengine.Breaking, "hanging": routedengine.Unresponsive,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"))
				defer f.shutDown()
				f.servers[0].Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
					s.Set(routedengine.Dead) // breaks the connection
					s.Set(state)
					return true
				}
				<-f.send("POST", "/vote/1", "crashing", "yes").done
				time.Sleep(700 * time.Millisecond)
				f.servers[0].Set(routedengine.Alive)
				time.Sleep(time.Second)
				if n := f.contents.Count(); f.fleet.DeadServers() != 0 || n != 1 {
					t.Errorf("%d contents are suspect and %d servers are dead, want one and none", n, f.fleet.DeadServers())
				}
			})
		})
	}
}

// Guards against a content that is held back for a trial that was never sent: the server of the
// trial did not answer the probe before it.
func TestTrialThatIsNotSentIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServers(4)...)
		defer f.shutDown()
		for i := range 8 {
			f.send("POST", "/vote/1", fmt.Sprint("p", i), "yes")
		}
		time.Sleep(20 * time.Millisecond)
		f.servers[0].Set(routedengine.Dead)
		f.servers[1].Set(routedengine.Dead)
		time.Sleep(time.Second)
		go silentFor(time.Second, f.servers[2:]...)
		synctest.Wait()
		<-f.send("POST", "/vote/1", "trial", "yes").done
		if n := f.totalRuns("trial"); n != 0 {
			t.Errorf("the trial ran %d times, want a trial that is not sent", n)
		}
		time.Sleep(2 * time.Second)
		f.requireServed(1, "after the silence")
	})
}

// Guards against a content that other VMs hold back, since a VM that was cut off from all servers
// blamed it for their silence.
func TestContentOfACutOffVMIsNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServers(3)...)
		defer f.shutDown()
		for i := range 9 {
			f.send("POST", "/vote/1", fmt.Sprint("v", i), "yes", forward.HeaderDeadline, "300")
		}
		time.Sleep(20 * time.Millisecond)
		for _, s := range f.servers {
			s.Set(routedengine.Unresponsive)
		}
		time.Sleep(time.Second)
		if f.contents.Count() == 0 || f.fleet.Reaches("votes") {
			t.Fatal("want the content blamed and the service lost")
		}
		f.contents.WithdrawSilences("models")
		if f.contents.Count() == 0 {
			t.Error("the silence of another service cleared the content")
		}
		f.contents.WithdrawSilences("votes")
		if n := f.contents.Count(); n != 0 {
			t.Errorf("%d contents are suspect, want none", n)
		}
	})
}
