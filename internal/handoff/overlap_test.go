package handoff

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// maxServedTwice is how long a VM may still serve a request that goes on elsewhere.
const maxServedTwice = 400 * time.Millisecond

// Guards against two engines that work on one request: the VM that holds the caller hears nothing of
// the one that serves and goes on elsewhere, while that one reaches its engine and works on.
func TestServingStopsOnceTheRequestGoesOnElsewhere(t *testing.T) {
	// A connection on which nothing comes is closed after 2.5 s, and none can be made.
	const connectionLife = 2400 * time.Millisecond
	cutTo := func(n *peertest.Net) { n.Cut("cut", "a"); n.Cut("cut", "b") }
	cutFrom := func(n *peertest.Net) { n.Cut("a", "cut"); n.Cut("b", "cut") }
	for _, tt := range []struct {
		name    string
		trouble func(n *peertest.Net)
	}{
		{"both ways", func(n *peertest.Net) { n.Isolate("cut") }},
		{"messages to the serving VM are lost", cutTo},
		{"messages of the serving VM are lost", cutFrom},
		{"messages of the serving VM are lost, then the others too", func(n *peertest.Net) {
			cutFrom(n)
			time.AfterFunc(connectionLife, func() { cutTo(n) })
		}},
		{"a part of the messages is lost, then all", func(n *peertest.Net) {
			n.SetLoss(0.8, 0)
			time.AfterFunc(connectionLife, func() { n.Isolate("cut") })
		}},
	} {
		for _, interval := range []time.Duration{30 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprint(tt.name, ", a piece each ", interval), func(t *testing.T) {
				var ended atomic.Pointer[time.Time]
				inSystem(t, func(w http.ResponseWriter, r *http.Request) {
					begin(w)
					for r.Context().Err() == nil {
						_, _ = fmt.Fprintln(w, "piece")
						select {
						case <-r.Context().Done():
						case <-time.After(interval):
						}
					}
					now := time.Now()
					ended.Store(&now)
				}, func(t *testing.T, s *system) {
					time.AfterFunc(time.Second, func() { tt.trouble(s.net) })
					if got := s.send(t.Context(), httptest.NewRecorder(), "votes"); got != Broken {
						t.Fatalf("got outcome %d, want Broken", got)
					}
					wentOn := time.Now()
					time.Sleep(2 * lostAfter)
					if at := ended.Load(); at == nil || at.Sub(wentOn) > maxServedTwice {
						t.Errorf("the serving VM ended its run at %v, the request went on elsewhere at %v, want at most %v later", at, wentOn, maxServedTwice)
					}
				})
			})
		}
	}
}
