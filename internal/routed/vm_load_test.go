package routed

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/capacity"
	"github.com/amaranthshelf/amaranthshelf/internal/cluster"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// Guards against a VM that accepts requests at its limit, and against refusals where nothing
// states that VMs are weighted. A VM at its limit refuses a part of the requests, none of which
// runs, and closes a part of the connections. Without limits, or once the news of the mean load
// is older than 2 s, nothing is refused.
func TestRequestsNearTheLimitsOfAVM(t *testing.T) {
	tests := []struct {
		name     string
		limits   capacity.Limits
		weighted bool
		silent   time.Duration // since the last heartbeat reply
		limited  bool
	}{
		{"at its limit", capacity.Limits{Cores: 0.1}, true, 0, true},
		{"not weighted", capacity.Limits{Cores: 0.1}, false, 0, false},
		{"no limits stated", capacity.Limits{}, true, 0, false},
		{"old news", capacity.Limits{Cores: 0.1}, true, balanceMaxAge + time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := loadedVM(tt.limits, tt.weighted)
				time.Sleep(tt.silent)
				served, refused, closed := serveThousand(t, l)
				if (refused > 0) != tt.limited || (closed == 1) != tt.limited || served+refused != 1000 || refused > 950 {
					t.Errorf("%d requests were served, %d refused and %d connections closed, want limits to apply: %t", served, refused, closed, tt.limited)
				}
			})
		})
	}
}

// loadedVM returns the load of a VM that has used a tenth of a core for a while.
func loadedVM(limits capacity.Limits, weighted bool) *vmLoad {
	o := &RouterOptions{Common: Common{Metrics: metrics.NewSet(), RoutineLog: zerolog.Nop()}, Limits: limits}
	l := newVMLoad(o, func() int { return 5 })
	for second := range 20 {
		if weighted {
			l.learn(cluster.Balance{MeanLoad: 500, Weight: 400})
		}
		l.add(time.Now(), capacity.Sample{Processor: time.Duration(second) * time.Second / 10, Requests: 5})
		time.Sleep(time.Second)
	}
	return l
}

// Guards against requests that a loaded VM has read and leaves unanswered: they came behind one after whose
// answer it closes the connection.
func TestLoadedVMAnswersPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 3
		l := loadedVM(capacity.Limits{Cores: 0.1}, true)
		refuse := func(w http.ResponseWriter, _ *http.Request, err error) { resulthttp.Write(w, "", err) }
		c := newDrainedCaller(t, l.limit(delayedHandler(0), refuse, func() int { return 50 }))
		go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: shelf\r\n\r\n", requests)) }() // fails if the connection is closed
		in := bufio.NewReader(c)
		for i := range requests {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("request %d of %d: %v, want an answer", i+1, requests, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body) // its status may be either
		}
	})
}

// serveThousand has the VM serve requests on 50 connections within an instant.
func serveThousand(t *testing.T, l *vmLoad) (served, refused, closed int) {
	h := l.limit(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), func(w http.ResponseWriter, _ *http.Request, err error) {
		e := result.From(err)
		if e.Code != result.VMOverloaded || e.Ran != result.RanNo || e.RetryAfter < 200*time.Millisecond || e.RetryAfter > 400*time.Millisecond {
			t.Errorf("refused with %v, ran %s, retry after %v", e, e.Ran, e.RetryAfter)
		}
		resulthttp.Write(w, "", err)
	}, func() int { return 50 })
	for range 1000 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if w.Code == http.StatusServiceUnavailable {
			refused++
		}
		if w.Header().Get("Connection") == "close" {
			closed++
		}
	}
	return served, refused, closed
}

// Guards against a load that misses what a router uses: connections of callers are counted
// with their bytes, the process's own processor time is read, and both advance.
func TestSampleOfTheProcess(t *testing.T) {
	l := newVMLoad(&RouterOptions{Common: Common{Metrics: metrics.NewSet()}, Limits: capacity.Limits{Cores: 1}}, func() int { return 1 })
	conns := newCallerConns(DefaultLimits)
	conns.count = l.traffic.count
	caller := callerOf(t, conns)
	before := l.sample()
	if status := askOn(caller, ""); status != http.StatusNoContent {
		t.Fatalf("got status %d, want 204", status)
	}
	s := l.sample()
	for deadline := time.Now().Add(5 * time.Second); (s.Processor == before.Processor || s.Sent == 0) && time.Now().Before(deadline); {
		s = l.sample()
	}
	if s.Received < 20 || s.Sent < 20 || s.Connections != 1 || s.Processor <= before.Processor || s.MemoryBytes <= 0 || s.Writing < 0 {
		t.Errorf("got %+v after one request", s)
	}
}
