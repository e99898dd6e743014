package forward_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
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
		{"names an unknown attempt", []string{forward.HeaderResumes, "r0"}},
		{"names no attempt", nil},
		{"names an empty attempt", []string{forward.HeaderResumes, ""}},
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
