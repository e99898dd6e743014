package handoff

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// A sound VM may be silent for this long and go on.
const longestSoundSilence = 2 * time.Second

// ticking writes 100 pieces in five seconds. The engine behind it is silent for a time after the
// 20th.
func ticking(silence time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Backend-Signature", "s")
		for i := range 100 {
			if _, err := fmt.Fprintln(w, "piece", i); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
			if i == 20 {
				time.Sleep(silence)
			}
		}
	}
}

// tickingAnswer is what ticking writes.
func tickingAnswer() string {
	var out strings.Builder
	for i := range 100 {
		fmt.Fprintln(&out, "piece", i)
	}
	return out.String()
}

// Guards against an answer that is cut off although nothing was lost: a VM, the link between the
// two or the engine is silent for a while and goes on.
func TestSilenceOfASoundVMCutsNoAnswer(t *testing.T) {
	pause := func(vms ...string) func(n *peertest.Net, d time.Duration) {
		return func(n *peertest.Net, d time.Duration) {
			for _, vm := range vms {
				n.Pause(vm)
				time.AfterFunc(d, func() { n.Resume(vm) })
			}
		}
	}
	cut := func(n *peertest.Net, d time.Duration) {
		n.Isolate("cut")
		time.AfterFunc(d, n.HealAll)
	}
	for _, tt := range []struct {
		name    string
		silence func(n *peertest.Net, d time.Duration) // nil: the engine is silent
	}{
		{"serving VM", pause("a", "b")},
		{"reading VM", pause("cut")},
		{"link", cut},
		{"engine", nil},
	} {
		for _, d := range []time.Duration{time.Second, 1500 * time.Millisecond, longestSoundSilence} {
			t.Run(fmt.Sprint(tt.name, "/", d), func(t *testing.T) {
				serve := ticking(0)
				if tt.silence == nil {
					serve = ticking(d)
				}
				inSystem(t, serve, func(t *testing.T, s *system) {
					if tt.silence != nil {
						time.AfterFunc(time.Second, func() { tt.silence(s.net, d) })
					}
					w := httptest.NewRecorder()
					got := s.send(t.Context(), w, "votes")
					if got != Answered || w.Body.String() != tickingAnswer() {
						t.Errorf("got outcome %d and %d bytes, want the whole answer of %d bytes", got, w.Body.Len(), len(tickingAnswer()))
					}
				})
			})
		}
	}
}

// Guards against a call that runs once and is answered with an unknown outcome, since the VM that
// serves it is silent for a while before the answer begins.
func TestSilenceBeforeTheAnswerLosesNoCall(t *testing.T) {
	inSystem(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		begin(w)
	}, func(t *testing.T, s *system) {
		time.AfterFunc(100*time.Millisecond, func() { s.net.Pause("a"); s.net.Pause("b") })
		time.AfterFunc(100*time.Millisecond+longestSoundSilence, func() { s.net.Resume("a"); s.net.Resume("b") })
		if got := s.send(t.Context(), httptest.NewRecorder(), "votes"); got != Answered {
			t.Errorf("got outcome %d, want Answered", got)
		}
		if n := s.runs.Load(); n != 1 {
			t.Errorf("the request ran %d times, want once", n)
		}
	})
}

// Guards against a caller who must wait for the end of a dead VM: it can go on elsewhere within
// six seconds only if its answer is broken off before.
func TestDeadVMBreaksItsAnswersSoon(t *testing.T) {
	for _, tt := range []struct {
		name   string
		die    func(n *peertest.Net)
		within time.Duration
	}{
		{"process", func(n *peertest.Net) { n.Kill("a"); n.Kill("b") }, 1100 * time.Millisecond},
		{"machine, without a reset", func(n *peertest.Net) { n.Isolate("a"); n.Isolate("b") }, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSystem(t, ticking(0), func(t *testing.T, s *system) {
				var died time.Time
				time.AfterFunc(time.Second, func() {
					died = time.Now()
					tt.die(s.net)
				})
				got := s.send(t.Context(), httptest.NewRecorder(), "votes")
				if took := time.Since(died); got != Broken || took > tt.within {
					t.Errorf("got outcome %d after %v, want Broken within %v", got, took, tt.within)
				}
			})
		})
	}
}

// Guards against an engine that works on for a VM that is dead.
func TestServingStopsWithADeadReader(t *testing.T) {
	var ended atomic.Bool
	inSystem(t, func(w http.ResponseWriter, r *http.Request) {
		begin(w)
		<-r.Context().Done()
		ended.Store(true)
	}, func(t *testing.T, s *system) {
		ctx, leave := context.WithCancel(t.Context())
		go s.send(ctx, httptest.NewRecorder(), "votes")
		time.Sleep(time.Second)
		s.net.Kill("cut")
		time.Sleep(readLease + 500*time.Millisecond)
		if !ended.Load() {
			t.Errorf("the work goes on %v after the reader died", readLease+500*time.Millisecond)
		}
		leave()
	})
}

// Guards against the cut answer of a caller who reads nothing for a while: its VM then reads
// nothing either, and must not be taken for dead.
func TestCallerWhoPausesKeepsItsAnswer(t *testing.T) {
	const size = 4 * maxWaiting
	inSystem(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 4 {
			if _, err := w.Write(make([]byte, maxWaiting)); err != nil {
				return
			}
		}
	}, func(t *testing.T, s *system) {
		w := &pausingWriter{ResponseRecorder: httptest.NewRecorder(), pause: 5 * time.Second}
		// The VM that serves is silent when the caller goes on.
		time.AfterFunc(4900*time.Millisecond, func() { s.net.Pause("a"); s.net.Pause("b") })
		time.AfterFunc(4900*time.Millisecond+time.Second, func() { s.net.Resume("a"); s.net.Resume("b") })
		if got := s.send(t.Context(), w, "votes"); got != Answered || w.Body.Len() != size {
			t.Errorf("got outcome %d and %d bytes, want the whole answer of %d bytes", got, w.Body.Len(), size)
		}
	})
}

// pausingWriter is a caller who reads nothing for a while before each write.
type pausingWriter struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (w *pausingWriter) Write(p []byte) (int, error) {
	time.Sleep(w.pause)
	return w.ResponseRecorder.Write(p)
}
