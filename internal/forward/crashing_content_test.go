package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// crashers returns n vote servers that end so long after they began to run a path with
// "crash" in it, whether its caller waits or not, and counts them in ended.
func crashers(n int, after time.Duration, ended *atomic.Int64, died func(*routedengine.Server)) []*routedengine.Server {
	var out []*routedengine.Server
	for range n {
		s := voteServer("a")
		s.Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
			if !strings.Contains(r.RequestURI, "crash") {
				return false
			}
			s.RecordRun(r, 0, false)
			time.Sleep(after)
			ended.Add(1)
			died(s)
			return true
		}
		out = append(out, s)
	}
	return out
}

// Guards against crashes that are blamed on nobody. The content ends its server while it is
// answered; after the call was sent to a second server, since the first one was slow; silently;
// or while another server takes over the address at once. Callers repeat it.
func TestEachCrashIsBlamedOnItsContent(t *testing.T) {
	kill := func(s *routedengine.Server) { s.Set(routedengine.Dead) }
	for _, tt := range []struct {
		name  string
		after time.Duration
		died  func(*routedengine.Server)
	}{
		{"while it is answered", 46 * time.Millisecond, kill},
		{"after the call was sent elsewhere", 250 * time.Millisecond, kill},
		{"silently", 46 * time.Millisecond, func(s *routedengine.Server) { s.Set(routedengine.Unresponsive) }},
		{"while another server takes over its address", 46 * time.Millisecond, func(s *routedengine.Server) {
			next := voteServer(s.Zone)
			next.ID, next.Address = s.ID+" again", s.Address
			s.Net.Add(next)
			kill(s)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ended atomic.Int64
				f := newFixture(t, crashers(12, tt.after, &ended, tt.died)...)
				defer f.shutDown()
				for i := range 10 {
					<-f.send("GET", "/tally/crash", fmt.Sprint("c", i), "").done
					a := f.send("GET", fmt.Sprint("/tally/other", i), fmt.Sprint("o", i), "")
					<-a.done
					if a.status != http.StatusOK {
						t.Errorf("another request got status %d, want 200", a.status)
					}
					time.Sleep(3 * time.Second)
				}
				if n := ended.Load(); n > 3 {
					t.Errorf("the content ended %d servers, want at most 3", n)
				}
			})
		})
	}
}

// Guards against a suspect content that is sent to several servers at once: callers send the
// same vote at the same moment. One is tried, the others are refused as not run; once the
// trial is answered, all are served.
func TestSuspectContentRunsOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"), voteServer("b"), voteServer("c"), voteServer("d"))
		defer f.shutDown()
		for i := range 8 {
			f.send("POST", "/vote/1", fmt.Sprint("p", i), "yes")
		}
		time.Sleep(20 * time.Millisecond)
		f.servers[0].Set(routedengine.Dead)
		f.servers[1].Set(routedengine.Dead)
		time.Sleep(time.Second)
		var answers []*answer
		for i := range 4 {
			answers = append(answers, f.send("POST", "/vote/1", fmt.Sprint("q", i), "yes"))
		}
		served := 0
		for i, a := range answers {
			<-a.done
			refused := a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
			switch runs := f.totalRuns(fmt.Sprint("q", i)); {
			case a.status == http.StatusOK && runs == 1:
				served++
			case !refused || runs != 0:
				t.Errorf("got status %d, Retry-After %q and %d runs, want 503 with a time and none", a.status, a.header.Get("Retry-After"), runs)
			}
		}
		a := f.send("POST", "/vote/1", "later", "yes")
		<-a.done
		if served != 1 || a.status != http.StatusOK {
			t.Errorf("%d of 4 votes were served and a later one got status %d, want 1 and 200", served, a.status)
		}
	})
}

// Guards against callers that sleep for as long as a content is held, minutes or an hour, although
// their request has seconds left.
func TestHeldContentNamesNoLateRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		f := newFixture(t, crashers(12, 46*time.Millisecond, &ended, func(s *routedengine.Server) { s.Set(routedengine.Dead) })...)
		defer f.shutDown()
		held := 0
		for i := range 20 {
			sent := time.Now()
			a := f.send("GET", "/tally/crash", fmt.Sprint("c", i), "")
			<-a.done
			if a.status == http.StatusServiceUnavailable {
				held++
			}
			retryAfter, _ := time.ParseDuration(a.header.Get("Retry-After") + "s")
			if left := 3*time.Second - time.Since(sent); retryAfter > left+time.Second { // whole seconds
				t.Errorf("call %d got Retry-After %v with %v left", i, retryAfter, left)
			}
			time.Sleep(3 * time.Second)
		}
		if held < 10 {
			t.Errorf("%d of 20 calls were refused as not run, want most of them", held)
		}
	})
}
