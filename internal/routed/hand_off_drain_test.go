package routed

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// slowReader is a caller that takes a while to read the first part of an answer.
type slowReader struct {
	*httptest.ResponseRecorder
	takes time.Duration
}

func (r *slowReader) Write(p []byte) (int, error) {
	time.Sleep(r.takes)
	r.takes = 0
	return r.ResponseRecorder.Write(p)
}

// Guards against an answer that is cut off at a VM which is not stopped: another VM has served the request
// and is stopped, and the caller reads slowly.
func TestDrainWaitsForAnswersThatOtherVMsHaveNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		network, d := peertest.New(1), newDrain(testGrace)
		h := d.countRequests(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first, ") // the test checks what arrives
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "last")
		}))
		takes := func(string) bool { return true }
		server := handoff.NewServer(ctx, network.VM("stopped"), h, takes, memory.NewAccount(0), zerolog.Nop())
		d.unanswered = server.InProgress
		client := handoff.NewClient(network.VM("other"), func(string) []string { return []string{"stopped"} }, memory.NewAccount(0), zerolog.Nop())
		caller := &slowReader{httptest.NewRecorder(), 4 * time.Second}
		outcome := make(chan handoff.Outcome)
		go func() {
			outcome <- client.Serve(ctx, caller, handoff.Request{Service: "votes", Method: http.MethodPost, URI: "/vote/1", Host: "shelf"})
		}()
		time.Sleep(200 * time.Millisecond)
		d.start()
		d.wait()
		ending, end := context.WithTimeout(ctx, handBackTimeout)
		server.EndAll(ending)
		end()
		network.Kill("stopped")
		if got := <-outcome; got != handoff.Answered || caller.Body.String() != "first, last" {
			t.Errorf("got outcome %d and %q, want the whole answer", got, caller.Body)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}
