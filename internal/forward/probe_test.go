package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Guards against an engine that is judged dead because it resets new connections, as a busy one
// does at its limit of them. Its streams would be searched another engine, and prefilled again.
func TestEngineAtItsConnectionLimitIsAlive(t *testing.T) {
	for _, interval := range []time.Duration{260 * time.Millisecond, 300 * time.Millisecond, 390 * time.Millisecond} {
		t.Run(fmt.Sprint(interval), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"), engine("a"))
				defer f.shutDown()
				for _, s := range f.servers {
					s.EventInterval, s.Events = interval, 20
				}
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(500 * time.Millisecond)
				f.engineRunning("r1").TakeConnections(true)
				a.requireCompleteStream(t, 20)
				if n := f.totalRuns("r1"); n != 1 {
					t.Errorf("got %d runs, want 1", n)
				}
			})
		})
	}
}

// Guards against calls that end with an unknown outcome while a server that resets each connection
// is probed: a broken answer and a reset are enough.
func TestServerThatResetsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.TakeConnections(true)
			return breakAfter("HTTP/1.1 200 OK\r\n")(s, w, r)
		}
		<-f.send("POST", "/vote/1", "r1", "yes").done
		time.Sleep(20 * time.Millisecond)
		if n := f.fleet.DeadServers(); n != 1 {
			t.Errorf("%d servers are judged dead 20ms after the break, want 1", n)
		}
	})
}
