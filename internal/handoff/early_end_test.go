package handoff

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// begin writes the first piece of an answer without a length.
func begin(w http.ResponseWriter) {
	w.Header().Set("X-Backend-Signature", "s")
	_, _ = fmt.Fprint(w, "one")
}

// Guards against a part of an answer that looks like the whole: the VM that serves ends it for a
// reason of its own, and its handler returns without a panic.
func TestAnswerThatEndsEarlyIsNotComplete(t *testing.T) {
	for _, tt := range []struct {
		name  string
		stop  bool // the VMs that serve are stopped after 400 ms
		serve http.HandlerFunc
		want  Outcome
	}{
		{"stopped before the answer", true, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, Lost},
		{"stopped after it began", true, func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			<-r.Context().Done()
		}, Broken},
		{"stopped before the stated length", true, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "6")
			begin(w)
			<-r.Context().Done()
		}, Broken},
		{"shorter than the stated length", false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "6")
			begin(w)
		}, Broken},
		{"writes are ended", false, func(w http.ResponseWriter, _ *http.Request) {
			begin(w)
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
			_, _ = fmt.Fprint(w, "two")
		}, Broken},
		{"writes are ended before the answer", false, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
			<-r.Context().Done()
		}, Lost},
		{"the handler answers nothing", false, func(http.ResponseWriter, *http.Request) {}, Lost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSystem(t, tt.serve, func(t *testing.T, s *system) {
				if tt.stop {
					time.AfterFunc(400*time.Millisecond, s.stop)
				}
				w := httptest.NewRecorder()
				if got := s.send(t.Context(), w, "votes"); got != tt.want {
					t.Errorf("got outcome %d with status %d and %q, want outcome %d", got, w.Code, w.Body.String(), tt.want)
				}
			})
		})
	}
}

// Guards against a whole answer that is taken for a broken one, since the VM that served it was
// stopped before the answer was read.
func TestWholeAnswerOfAStoppedVMIsComplete(t *testing.T) {
	inSystem(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "3")
		begin(w)
		<-r.Context().Done()
	}, func(t *testing.T, s *system) {
		time.AfterFunc(400*time.Millisecond, s.stop)
		w := httptest.NewRecorder()
		if got := s.send(t.Context(), w, "votes"); got != Answered || w.Body.String() != "one" {
			t.Errorf("got outcome %d and %q, want the answer", got, w.Body.String())
		}
	})
}

// Guards against a caller who gets no more of its answer, but a regular end: it has left, or its
// connection takes no more.
func TestAnswerThatIsNotTakenIsNotComplete(t *testing.T) {
	inSystem(t, func(w http.ResponseWriter, _ *http.Request) { begin(w) }, func(t *testing.T, s *system) {
		left := make(chan struct{})
		close(left)
		w := &stalledWriter{ResponseRecorder: httptest.NewRecorder(), left: left}
		if got := s.send(t.Context(), w, "votes"); got != CallerLeft {
			t.Errorf("got outcome %d, want CallerLeft", got)
		}
	})
}

// Guards against a VM that is stopped and leaves others to find out by refused connections: they
// would go on with its requests a second later.
func TestOtherVMsKnowOfAPlannedEnd(t *testing.T) {
	inSystem(t, func(w http.ResponseWriter, r *http.Request) {
		begin(w)
		<-r.Context().Done()
	}, func(t *testing.T, s *system) {
		took := make(chan time.Duration, 1)
		time.AfterFunc(400*time.Millisecond, func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			for _, server := range s.servers {
				server.EndAll(ctx)
			}
			took <- time.Since(began)
		})
		if got := s.send(t.Context(), httptest.NewRecorder(), "votes"); got != Broken {
			t.Errorf("got outcome %d, want Broken", got)
		}
		if got := <-took; got > 100*time.Millisecond {
			t.Errorf("the end took %v, want it to end with the last answer", got)
		}
		if got := s.send(t.Context(), httptest.NewRecorder(), "votes"); got != NotTaken {
			t.Errorf("got outcome %d from VMs that end, want NotTaken", got)
		}
	})
}
