package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/gateway"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// recorder answers calls and records them.
type recorder struct {
	hold chan struct{}

	mu            sync.Mutex
	once, relayed []*service.Call
}

func (r *recorder) Idempotent(_, method, path string) bool {
	return call.Idempotent(nil, method, path)
}

func (r *recorder) Relay(_ context.Context, c *service.Call) (*call.Answer, error) {
	if r.hold != nil {
		<-r.hold
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relayed = append(r.relayed, c)
	return &call.Answer{Status: 200, Body: []byte("found")}, nil
}

func (r *recorder) Once(_ context.Context, c *service.Call) (*call.Answer, error) {
	r.once = append(r.once, c)
	return &call.Answer{Status: 307, Headers: []call.Header{{Name: "Location", Value: "/elsewhere"}}}, nil
}

type twoWorkspaces struct{}

func (twoWorkspaces) Directory() (*plan.Directory, error) {
	return plan.NewDirectory(1,
		[]plan.Customer{
			{Workspace: "coop", Plan: "p", KeyHashes: []string{plan.HashKey("coop-key")}},
			{Workspace: "society", Plan: "p", KeyHashes: []string{plan.HashKey("society-key")}},
		},
		[]plan.Allowance{{Plan: "p", Services: []string{"dispatch"}}}), nil
}

func serveServices(t *testing.T) (*recorder, http.Handler) {
	t.Helper()
	tracer, err := telemetry.NewTracer("vm1", "")
	if err != nil {
		t.Fatal(err)
	}
	r, calls := mux.NewRouter().UseEncodedPath(), &recorder{}
	g := gateway.New(gateway.Config{MaxBodyBytes: 16}, nil, twoWorkspaces{}, nil, tracer, zerolog.Nop())
	g.Routes(r)
	g.ServiceRoutes(r, calls, nil)
	return calls, r
}

func TestServiceCallsAreCheckedBeforeTheyRun(t *testing.T) {
	calls, h := serveServices(t)
	for _, c := range []struct {
		method, path, token, key, body string
		want                           int
		code                           int
	}{
		{"POST", "/v1/services/dispatch/bookings", "coop-key", "k1", "{}", 307, 0},
		{"GET", "/v1/services/dispatch/parts?q=valve", "coop-key", "", "", 200, 0},
		{"POST", "/v1/services/dispatch/bookings", "coop-key", "", "{}", 400, 1010},
		{"POST", "/v1/services/dispatch/bookings", "coop-key", "a/b", "{}", 400, 1011},
		{"POST", "/v1/services/dispatch/bookings", "other-key", "k1", "{}", 401, 1005},
		{"POST", "/v1/services/dispatch/bookings", "", "k1", "{}", 401, 1005},
		{"POST", "/v1/services/billing/bookings", "coop-key", "k1", "{}", 403, 1013},
		{"POST", "/v1/services/dispatch/bookings", "coop-key", "k1", strings.Repeat("x", 17), 413, 1002},
		{"TRACE", "/v1/services/dispatch/bookings", "coop-key", "k1", "", 405, 1014},
		{"POST", "/v1/services/dispatch", "coop-key", "k1", "{}", 404, 1006},
	} {
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+c.token)
		if c.key != "" {
			r.Header.Set("Idempotency-Key", c.key)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		coded := c.code == 0 || strings.Contains(w.Body.String(), fmt.Sprintf(`"code":%d,`, c.code))
		if w.Code != c.want || !coded {
			t.Errorf("%s %s: got %d %s, want %d and code %d", c.method, c.path, w.Code, w.Body, c.want, c.code)
		}
	}
	if len(calls.once) != 1 || len(calls.relayed) != 1 {
		t.Errorf("got %d calls of Once and %d of Relay, want 1 and 1", len(calls.once), len(calls.relayed))
	}
	if got := calls.relayed[0].Request.Path; got != "/parts?q=valve" {
		t.Errorf("got path %q, want /parts?q=valve", got)
	}
}

// A caller must not be able to name another workspace to a service, and a service must not
// learn the workspace's key. Hop-by-hop headers are not relayed, including those that the
// header Connection names.
func TestServiceGetsNoSecretAndNoHopByHopHeader(t *testing.T) {
	calls, h := serveServices(t)
	r := httptest.NewRequest("POST", "/v1/services/dispatch/a%2Fb", strings.NewReader("{}"))
	for name, v := range map[string]string{
		"Authorization": "Bearer society-key", "Idempotency-Key": "k1", "X-Workspace": "coop", "Expect": "100-continue",
		"Connection": "close, X-Private", "X-Private": "1", "Te": "trailers", "X-Kept": "1", "Upgrade": "h2c",
	} {
		r.Header.Set(name, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code != 307 || w.Header().Get("Location") != "/elsewhere" {
		t.Errorf("got status %d and Location %q, want 307 and /elsewhere", w.Code, w.Header().Get("Location"))
	}
	c := calls.once[0]
	for name, want := range map[string]string{
		"Authorization": "", "Connection": "", "X-Private": "", "Te": "", "Upgrade": "", "Expect": "",
		"X-Workspace": "society", "X-Kept": "1", "Idempotency-Key": "k1",
	} {
		if got := c.Request.Header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	if c.Workspace != "society" || c.Request.Path != "/a%2Fb" {
		t.Errorf("got workspace %q and path %q, want society and the escaped path", c.Workspace, c.Request.Path)
	}
}

// A service hangs while its callers send more calls. Calls above the bound are refused at
// once with a Retry-After header, and the calls in flight complete.
func TestCallsInFlightAreBounded(t *testing.T) {
	calls, h := serveServices(t)
	hold := make(chan struct{})
	calls.hold = hold
	var running sync.WaitGroup
	post := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest("GET", "/v1/services/dispatch/parts", nil)
		r.Header.Set("Authorization", "Bearer coop-key")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	var refused atomic.Int64
	for range 5000 {
		running.Go(func() {
			if w := post(); w.Code == 503 && w.Header().Get("Retry-After") != "" {
				if refused.Add(1) == 5000-4096 {
					close(hold)
				}
			}
		})
	}
	running.Wait()
	if got := refused.Load(); got != 5000-4096 {
		t.Errorf("got %d of 5000 calls refused, want 904", got)
	}
	if w := post(); w.Code != 200 {
		t.Errorf("got status %d after the load, want 200", w.Code)
	}
}
