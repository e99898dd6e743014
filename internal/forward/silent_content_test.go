package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

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
