package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/gateway"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// slowCalls runs each call for a time and records when the last one ended.
type slowCalls struct {
	takes time.Duration

	mu      sync.Mutex
	lastEnd time.Time
}

func (s *slowCalls) Idempotent(_, _, _ string) bool { return false }

func (s *slowCalls) Relay(ctx context.Context, c *service.Call) (*call.Answer, error) {
	return s.Once(ctx, c)
}

func (s *slowCalls) Once(ctx context.Context, c *service.Call) (*call.Answer, error) {
	settle, err := c.Reserve(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(s.takes)
	s.mu.Lock()
	s.lastEnd = time.Now()
	s.mu.Unlock()
	settle(true)
	return &call.Answer{Status: http.StatusCreated}, nil
}

// Guards against bookings that a VM takes on its way out and cuts off while their service works,
// and against those that it refuses although they could end.
func TestCallsOfAGatewayThatShutsDown(t *testing.T) {
	const second = time.Second
	for _, tt := range []struct {
		name         string
		grace        time.Duration
		takes        time.Duration
		callsBefore  int
		takenUntil   time.Duration // calls sent no later are taken
		refusedSince time.Duration
	}{
		{"short calls", 10 * second, 100 * time.Millisecond, 20, 3 * second, 3100 * time.Millisecond},
		{"long calls", 10 * second, 6 * second, 20, second, 1100 * time.Millisecond},
		{"unknown calls", 10 * second, 4 * second, 0, 3 * second, 3100 * time.Millisecond},
		{"calls that end by their timeout", 20*second + service.MaxCallTime, 4 * second, 20, 20 * second, 20100 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := &slowCalls{takes: tt.takes}
				var began time.Time
				h := serveCalls(t, calls, func(w shutdown.Work) bool {
					return !began.IsZero() && shutdown.Window{Grace: tt.grace}.CannotFinish(time.Since(began), w)
				})
				for range tt.callsBefore {
					book(h)
				}
				began = time.Now()
				var wg sync.WaitGroup
				for sent := time.Duration(0); sent < tt.grace; sent += 100 * time.Millisecond {
					time.Sleep(time.Until(began.Add(sent)))
					wg.Go(func() {
						status := book(h)
						if sent <= tt.takenUntil && status != http.StatusCreated {
							t.Errorf("call sent after %v was answered with %d, could have ended", sent, status)
						}
						if sent >= tt.refusedSince && status != http.StatusServiceUnavailable {
							t.Errorf("call sent after %v was answered with %d, cannot end in time", sent, status)
						}
					})
				}
				wg.Wait()
				if end := calls.lastEnd.Sub(began); end > tt.grace {
					t.Errorf("last call ended after %v, want within %v", end, tt.grace)
				}
			})
		})
	}
}

func serveCalls(t *testing.T, calls gateway.Calls, cannotFinish func(shutdown.Work) bool) http.Handler {
	t.Helper()
	return serveCallsOf(t, calls, gateway.Config{MaxBodyBytes: 16, CannotFinish: cannotFinish})
}

func serveCallsOf(t *testing.T, calls gateway.Calls, conf gateway.Config) http.Handler {
	t.Helper()
	tracer, err := telemetry.NewTracer("vm1", "")
	if err != nil {
		t.Fatal(err)
	}
	r := mux.NewRouter()
	g := gateway.New(conf, nil, twoWorkspaces{}, nil, tracer, zerolog.Nop())
	g.ServiceRoutes(r, calls, nil)
	return r
}

// book sends a booking with a key of its own and returns the status of its answer.
func book(h http.Handler) int { return bookAnswer(h).Code }

func bookAnswer(h http.Handler) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/services/dispatch/bookings", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer coop-key")
	r.Header.Set("Idempotency-Key", "k"+strconv.Itoa(int(time.Now().UnixNano())))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// endlessCalls are idempotent calls that wait for quota until their context ends, and others that go on.
type endlessCalls struct{ idempotent bool }

func (e endlessCalls) Idempotent(_, _, _ string) bool { return e.idempotent }

func (e endlessCalls) Relay(ctx context.Context, _ *service.Call) (*call.Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (e endlessCalls) Once(context.Context, *service.Call) (*call.Answer, error) {
	time.Sleep(time.Minute)
	return nil, result.New(result.Internal)
}

// Guards against calls without an answer at the end of a process, and against answers that tell their callers
// of a fault, or that they have not run.
func TestCallsAreAnsweredAtTheEndOfTheProcess(t *testing.T) {
	for _, tt := range []struct {
		idempotent bool
		want       string
	}{
		{true, `"code":3006`},
		{false, `"code":3011`},
	} {
		synctest.Test(t, func(t *testing.T) {
			ending, end := context.WithCancel(t.Context())
			h := serveCallsOf(t, endlessCalls{tt.idempotent}, gateway.Config{MaxBodyBytes: 16, Ending: ending})
			began := time.Now()
			time.AfterFunc(time.Second, end)
			got := bookAnswer(h).Body.String()
			if !strings.Contains(got, tt.want) || !strings.Contains(got, `"ran":"unknown"`) || time.Since(began) != time.Second {
				t.Errorf("idempotent %v: got %s after %v, want %s, ran: unknown, after 1s", tt.idempotent, got, time.Since(began), tt.want)
			}
			time.Sleep(time.Minute) // virtual: until the call has ended
		})
	}
}
