package forward_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// benchRouter starts a router and one server, both on loopback.
func benchRouter(b *testing.B, s *routedengine.Server) (url string, fleet *upstream.Fleet) {
	net := routedengine.NewNet()
	s.ID = "i1"
	if err := net.ListenTCP(s); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(net.Close)
	pool := upstream.NewPool()
	fleet = upstream.NewFleet(pool, zerolog.Nop())
	fleet.Apply(upstream.List{Backends: net.Backends(), AsOf: time.Now()})
	return startFront(b, pool, fleet, testRoutes()), fleet
}

// startFront starts a router that callers reach over loopback, and returns its URL.
func startFront(t testing.TB, pool *upstream.Pool, fleet *upstream.Fleet, table *routes.Table) (url string) {
	t.Helper()
	h := forward.NewHandler(forward.Options{
		Zone: "a", Wire: forward.NewPlainWire(), Pool: pool, Fleet: fleet, Routes: func() *routes.Table { return table }, ListsReady: closed(),
		RetryAllowance: forward.DefaultRetryAllowance, Log: zerolog.Nop(), RoutineLog: zerolog.Nop(), Metrics: metrics.NewSet(),
		SuspectContents: forward.NewSuspectContents(zerolog.Nop()), Closing: func() bool { return false }, CannotFinish: func(shutdown.Work) bool { return false },
	})
	front := httptest.NewServer(h)
	t.Cleanup(front.Close)
	return front.URL
}

func benchRequest(b *testing.B, method, url, body string) *http.Request {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	req.Host = "shelf"
	req.Header.Set(forward.HeaderRequestID, "r1")
	req.Header.Set("Authorization", "Bearer key-of-nelson")
	return req
}

func closed() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

// BenchmarkCall measures a call of 800 bytes through the router, with its caller and its
// server in the same process.
func BenchmarkCall(b *testing.B) {
	s := voteServer("a")
	s.CallTime = 0
	url, _ := benchRouter(b, s)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.DefaultTransport.RoundTrip(benchRequest(b, http.MethodGet, url+"/tally/1", ""))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkEvent measures an event of a stream through the router, at full speed.
func BenchmarkEvent(b *testing.B) {
	s := engine("a")
	s.PrefillTime, s.EventInterval, s.Events = 0, 0, b.N
	url, _ := benchRouter(b, s)
	b.ReportAllocs()
	b.ResetTimer()
	resp, err := http.DefaultTransport.RoundTrip(benchRequest(b, http.MethodPost, url+"/s/1", "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	br := bufio.NewReader(resp.Body)
	for events := 0; events < b.N; {
		line, err := br.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if len(line) == 1 {
			events++
		}
	}
}
