package forward_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against two engines that work on one stream, and against a copy that is dropped: this VM
// serves the stream for one that is killed, and the caller asks another VM for the rest.
func TestStreamServedForALostVMIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		e := engine("a")
		l.watch(e)
		f := newFixture(t, e)
		defer f.shutDown()
		n := peertest.New(1)
		account := memory.NewAccount(0)
		handoff.NewServer(t.Context(), n.VM("serving"), f.handler, func(string) bool { return true }, account, zerolog.Nop())
		cut := handoff.NewClient(n.VM("cut"), func(string) []string { return []string{"serving"} }, account, zerolog.Nop())
		q := httptest.NewRequest("POST", "/s/1", nil)
		q.Header.Set(forward.HeaderRequestID, "r1")
		q.Header.Set("Authorization", "Bearer key-of-nelson")
		q.Header.Set(forward.HeaderTokens, "8000,1000")
		go cut.Serve(t.Context(), httptest.NewRecorder(), handoff.Request{Service: "models", Method: "POST", URI: "/s/1", Host: "shelf", Header: q.Header, Body: []byte("log")})
		time.Sleep(1200 * time.Millisecond)
		keeper := engine("c") // the copy is ordered there
		keeper.ID, keeper.Address = "i9", "10.0.0.9:80"
		f.servers = append(f.servers, f.net.Add(keeper))
		f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
		time.Sleep(time.Second)
		f.reportRuns()
		run := f.reported[0]
		reader, ok := f.handler.ReaderOf(run.RunID)
		if !ok || reader.VM != "cut" || run.Copy.Address == "" {
			t.Fatalf("got reader %q, %t, of %+v, want cut and a copy", reader.VM, ok, run)
		}
		n.Kill("cut")
		reader.End()
		ended := time.Now()
		time.Sleep(time.Second)
		if got := l.firstEnd().Sub(ended); got > soon {
			t.Errorf("the engine worked on for %v, want at most %v", got, soon)
		}
		if f.handler.CarriesStream(run.RunID) {
			t.Error("the stream is carried after its end")
		}
		if n := keeper.Copies(); n != 1 {
			t.Errorf("%d copies are left, want the one that the caller asks for", n)
		}
		time.Sleep(4 * time.Second)
	})
}
