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
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against a stream that is refused because two engines on which it ran died together,
// as when a zone is lost. It must go on at an engine elsewhere, before and after its first event.
func TestStreamOutlivesTwoEngines(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration // until the first engine dies
	}{
		{"before the first event", 500 * time.Millisecond},
		{"after the first event", 2500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := engine("b"), engine("b")
				f := newFixture(t, first, second)
				defer f.shutDown()
				a := f.send("POST", "/s/1", "r1", "log")
				time.Sleep(tt.after)
				if f.engineRunning("r1") == second {
					first, second = second, first
				}
				second.Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
					s.Set(routedengine.Dead)
					return true
				}
				first.Set(routedengine.Dead)
				time.Sleep(10 * time.Millisecond)
				elsewhere := engine("c")
				elsewhere.ID, elsewhere.Address = "elsewhere", "10.0.1.1:80"
				f.servers = append(f.servers, f.net.Add(elsewhere))
				f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
				a.requireCompleteStream(t, 100)
			})
		})
	}
}

// Guards against a content that ends its engines and is spared because a zone is lost at the
// same moment. It may end three engines, however often its callers repeat it.
func TestCrashingStreamWhileAZoneIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		var servers []*routedengine.Server
		for i := range 18 {
			s := engine(string(rune('a' + i%3)))
			s.Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
				if !strings.Contains(r.RequestURI, "crash") {
					return false
				}
				s.RecordRun(r, 0, false)
				ended.Add(1)
				s.Set(routedengine.Dead)
				return true
			}
			servers = append(servers, s)
		}
		f := newFixture(t, servers...)
		defer f.shutDown()
		var answers []*answer
		for i := range 24 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), fmt.Sprint("log", i)))
		}
		time.Sleep(1500 * time.Millisecond)
		for _, s := range f.servers {
			if s.Zone == "b" {
				s.Set(routedengine.Dead)
			}
		}
		for i := range 10 {
			<-f.send("POST", "/s/crash", fmt.Sprint("c", i), "log").done
			time.Sleep(time.Second)
		}
		for _, a := range answers {
			a.requireCompleteStream(t, 100)
		}
		if n := ended.Load(); n > 3 {
			t.Errorf("the content ended %d engines, want at most 3", n)
		}
	})
}
