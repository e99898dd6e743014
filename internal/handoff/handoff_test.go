package handoff

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// system is a VM "cut" that hands requests off to the VMs "a" and "b".
type system struct {
	net    *peertest.Net
	client *Client
	// servers are those of a and b.
	servers []*Server
	runs    atomic.Int64
	stop    context.CancelFunc // ends what a and b serve; they still answer messages
}

func inSystem(t *testing.T, serve http.HandlerFunc, f func(t *testing.T, s *system)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &system{net: peertest.New(1), stop: cancel}
		s.net.SetDelay(time.Millisecond, 2*time.Millisecond)
		counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.runs.Add(1)
			serve(w, r)
		})
		for _, vm := range []string{"a", "b"} {
			server := NewServer(ctx, s.net.VM(vm), counted, func(service string) bool { return service == "votes" }, memory.NewAccount(0), zerolog.Nop())
			s.servers = append(s.servers, server)
		}
		s.client = NewClient(s.net.VM("cut"), func(string) []string { return []string{"a", "b"} }, memory.NewAccount(0), zerolog.Nop())
		f(t, s)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

func (s *system) send(ctx context.Context, w http.ResponseWriter, service string) Outcome {
	return s.client.Serve(ctx, w, Request{
		Service: service, Method: http.MethodPost, URI: "/vote/1?x=%2f", Host: "shelf", Header: http.Header{"X-Request-Id": {"r1"}}, Body: []byte("yes"),
	})
}

// Guards against a request or an answer that is changed on the way, and against a second hop.
func TestRequestIsServedByAnotherVM(t *testing.T) {
	inSystem(t, func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(body)
		w.Header().Set("X-Backend-Signature", "s")
		w.WriteHeader(http.StatusAccepted)
		_, _ = fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header.Get("X-Request-Id"), " ", string(body), " ", IsRelayed(r.Context()))
	}, func(t *testing.T, s *system) {
		w := httptest.NewRecorder()
		if got := s.send(t.Context(), w, "votes"); got != Answered {
			t.Errorf("got outcome %d, want Answered", got)
		}
		const want = "POST /vote/1?x=%2f shelf r1 yes true"
		if w.Code != http.StatusAccepted || w.Body.String() != want || w.Header().Get("X-Backend-Signature") != "s" {
			t.Errorf("got %d %q with %v, want 202 %q with the signature", w.Code, w.Body.String(), w.Header(), want)
		}
	})
}

// Guards against a request that runs although its caller is told that it did not: nobody
// takes it, the messages of the offer are lost, or the VMs are gone.
func TestRequestThatIsNotTakenDoesNotRun(t *testing.T) {
	for _, tt := range []struct {
		name, service string
		trouble       func(n *peertest.Net)
	}{
		{"no VM serves it", "parts", func(*peertest.Net) {}},
		{"offers are lost", "votes", func(n *peertest.Net) { n.Cut("cut", "a"); n.Cut("cut", "b") }},
		{"answers to offers are lost", "votes", func(n *peertest.Net) { n.Cut("a", "cut"); n.Cut("b", "cut") }},
		{"the VMs are dead", "votes", func(n *peertest.Net) { n.Kill("a"); n.Kill("b") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSystem(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, func(t *testing.T, s *system) {
				tt.trouble(s.net)
				if got := s.send(t.Context(), httptest.NewRecorder(), tt.service); got != NotTaken {
					t.Errorf("got outcome %d, want NotTaken", got)
				}
				time.Sleep(5 * time.Second)
				if n := s.runs.Load(); n != 0 {
					t.Errorf("the request ran %d times, want never", n)
				}
			})
		})
	}
}

// Guards against a request that runs twice: the VM that serves it dies, or its answer is lost,
// before or after the answer began.
func TestRequestRunsOnceIfItsVMIsLost(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after time.Duration
		want  Outcome
	}{
		{"before the answer", 50 * time.Millisecond, Lost},
		{"after it began", 400 * time.Millisecond, Broken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSystem(t, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(200 * time.Millisecond)
				_, _ = fmt.Fprint(w, "one")
				time.Sleep(time.Second)
				_, _ = fmt.Fprint(w, "two")
			}, func(t *testing.T, s *system) {
				time.AfterFunc(tt.after, func() { s.net.Kill("a"); s.net.Kill("b") })
				w := httptest.NewRecorder()
				if got := s.send(t.Context(), w, "votes"); got != tt.want {
					t.Errorf("got outcome %d, want %d", got, tt.want)
				}
				if n := s.runs.Load(); n != 1 {
					t.Errorf("the request ran %d times, want once", n)
				}
				if strings.Contains(w.Body.String(), "two") {
					t.Error("got the end of an answer from a dead VM")
				}
			})
		})
	}
}

// Guards against pieces of an answer that are missing, doubled or out of order while messages
// are lost, doubled and delayed.
func TestAnswerIsWholeWhileMessagesAreLost(t *testing.T) {
	const pieces = 2000
	want := ""
	for i := range pieces {
		want += fmt.Sprintln("piece", i)
	}
	inSystem(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range pieces {
			_, _ = fmt.Fprintln(w, "piece", i)
			time.Sleep(time.Millisecond)
		}
	}, func(t *testing.T, s *system) {
		served := 0
		for range 10 {
			s.net.SetLoss(0.05, 0.05)
			w := httptest.NewRecorder()
			if s.send(t.Context(), w, "votes") != Answered {
				s.net.SetLoss(0, 0)
				time.Sleep(time.Second)
				continue
			}
			served++
			if w.Body.String() != want {
				t.Fatalf("got %d bytes that are not the answer of %d bytes", w.Body.Len(), len(want))
			}
		}
		if served == 0 {
			t.Error("no answer came through, want most of ten")
		}
	})
}

// Guards against a VM that runs out of memory for a caller who does not read, and against an
// engine that works on for a caller who has left.
func TestServingStopsWithItsReader(t *testing.T) {
	var written atomic.Int64
	var ended atomic.Pointer[time.Time]
	inSystem(t, func(w http.ResponseWriter, r *http.Request) {
		defer func() { now := time.Now(); ended.Store(&now) }()
		for r.Context().Err() == nil {
			n, err := w.Write(make([]byte, 1000))
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}, func(t *testing.T, s *system) {
		ctx, leave := context.WithCancel(t.Context())
		w := &stalledWriter{ResponseRecorder: httptest.NewRecorder(), left: ctx.Done()}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.send(ctx, w, "votes")
		}()
		time.Sleep(time.Second)
		if n := written.Load(); n > 2*maxWaiting {
			t.Errorf("%d bytes were written for a caller who does not read, want at most %d", n, 2*maxWaiting)
		}
		left := time.Now()
		leave()
		<-done
		time.Sleep(500 * time.Millisecond)
		if ended.Load() == nil {
			t.Errorf("the work goes on %v after the caller left, want half a second at most", time.Since(left))
		}
	})
}

// stalledWriter is a caller who does not read until it leaves.
type stalledWriter struct {
	*httptest.ResponseRecorder
	left <-chan struct{}
}

func (w *stalledWriter) Write([]byte) (int, error) {
	<-w.left
	return 0, context.Canceled
}

// Guards against a VM that takes any number of requests: beyond the bound it takes none.
func TestTakenRequestsAreBounded(t *testing.T) {
	inSystem(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, func(t *testing.T, s *system) {
		ctx, cancel := context.WithCancel(t.Context())
		for range 3 * maxTaken {
			go s.send(ctx, httptest.NewRecorder(), "votes")
		}
		time.Sleep(time.Second)
		if n := s.runs.Load(); n > 2*maxTaken {
			t.Errorf("two VMs serve %d requests, want at most %d", n, 2*maxTaken)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Guards against a VM that takes dead servers for a cut, or keeps a service lost.
func TestServiceIsLostWhenAllItsServersFail(t *testing.T) {
	r := NewReach()
	for i := range maxServersTried {
		if r.Lost("models", 20) {
			t.Errorf("lost after %d failures of 20 servers, want not before %d", i, maxServersTried)
		}
		r.Failed("models", fmt.Sprint("e", i))
		r.Failed("models", fmt.Sprint("e", i))
	}
	r.Failed("votes", "s0")
	r.Failed("votes", "s1")
	if !r.Lost("models", 20) || r.Lost("votes", 3) || !r.Lost("votes", 2) || r.Lost("votes", 0) {
		t.Error("want models lost, and votes only if it has two servers")
	}
	r.Heard("models")
	if r.Lost("models", 20) {
		t.Error("lost after a byte from a server, want not")
	}
}

// Guards against a VM that takes no more requests, since answered ones keep their places until
// their leases end.
func TestAnsweredRequestsFreeTheirPlaces(t *testing.T) {
	inSystem(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, func(t *testing.T, s *system) {
		var refused atomic.Int64
		var senders sync.WaitGroup
		for range 16 {
			senders.Go(func() {
				for range maxTaken {
					if s.send(t.Context(), httptest.NewRecorder(), "votes") != Answered {
						refused.Add(1)
					}
				}
			})
		}
		senders.Wait()
		if n := refused.Load(); n > 0 {
			t.Errorf("%d of %d requests were not answered, want none", n, 16*maxTaken)
		}
	})
}
