package forward_test

import (
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// spoil makes a server answer every request with write after a signed head.
func spoil(s *routedengine.Server, status int, header map[string]string, write func(w http.ResponseWriter, r *http.Request)) {
	s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(forward.HeaderSignature, s.ID)
		w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
		for name, value := range header {
			w.Header().Del(name)
			if value != "" {
				w.Header().Set(name, value)
			}
		}
		s.RecordRun(r, 1, true)
		w.WriteHeader(status)
		write(w, r)
		return true
	}
}

// writeMuch writes 8 MB, which bounds the memory of a test that fails.
func writeMuch(w http.ResponseWriter, _ *http.Request) {
	block := make([]byte, 64<<10)
	for range 8 << 20 / len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// Guards against memory for what nobody gets: an answer that is not the server's, a refusal, and a
// failure that another server replaces.
func TestAnswersToThrowAwayAreNotCollected(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header map[string]string
	}{
		{"without a signature", http.StatusOK, map[string]string{forward.HeaderSignature: ""}},
		{"encoded on its way", http.StatusOK, map[string]string{"Content-Encoding": "gzip"}},
		{"refusal", http.StatusServiceUnavailable, map[string]string{forward.HeaderNotRun: "1"}},
		{"failure", http.StatusInternalServerError, nil},
		{"for another request", http.StatusOK, map[string]string{forward.HeaderRequestID: "other"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const most = 4 << 20
				faulty, sound := voteServer("a"), voteServer("b")
				f := newFixture(t, faulty, sound)
				defer f.shutDown()
				spoil(faulty, tt.status, tt.header, writeMuch)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				a := f.send("POST", "/tally/1", "t1", "q")
				<-a.done
				runtime.ReadMemStats(&after)
				if a.status != http.StatusOK || !strings.Contains(a.text.String(), sound.ID) {
					t.Errorf("got status %d %q, want the answer of the sound server", a.status, a.text.String())
				}
				if len(faulty.Runs()) == 0 {
					t.Fatal("the call did not run on the faulty server")
				}
				if got := after.TotalAlloc - before.TotalAlloc; got > most {
					t.Errorf("%d bytes were allocated, want at most %d", got, most)
				}
			})
		})
	}
}

// Guards against bodies without a stated length that take more memory than was counted for them.
func TestBodiesWithoutALengthAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.unreadBytes = 2 << 20
		f.setPlacer(nil)
		a := f.sendTo(&answer{lengthUnstated: true}, "POST", "/vote/1", "v1", strings.Repeat("x", 2<<20))
		<-a.done
		if a.status != http.StatusServiceUnavailable || f.totalRuns("v1") != 0 {
			t.Errorf("got status %d and %d runs, want a refusal and none", a.status, f.totalRuns("v1"))
		}
	})
}
