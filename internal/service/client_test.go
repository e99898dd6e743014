package service_test

import (
	"bufio"
	"bytes"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
)

// rawService is a plain service on a TCP socket. It breaks a connection after an
// exact number of bytes and counts the requests that it has read completely.
type rawService struct {
	addr string

	mu         sync.Mutex
	runs       map[string]int
	readLimit  int // bytes of a non-idempotent request; -1: no limit
	writeLimit int // bytes of its answer; -1: no limit
	reset      bool
	answer     string
}

const okAnswer = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked"

func newRawService(t *testing.T) *rawService {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawService{addr: l.Addr().String(), runs: map[string]int{}, readLimit: -1, writeLimit: -1, answer: okAnswer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *rawService) set(read, write int, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit, s.writeLimit, s.reset = read, write, reset
}

func (s *rawService) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// serve keeps connections open between requests, which lets a client's pool reuse
// them. GET requests are answered completely; the limits apply to all others.
func (s *rawService) serve(c *net.TCPConn) {
	defer s.closeConn(c)
	in := &limitedReader{c: c, s: s}
	r := bufio.NewReader(in)
	for {
		in.used = 0
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.runs[req.Header.Get("Idempotency-Key")]++
		writeLimit, answer := s.writeLimit, s.answer
		s.mu.Unlock()
		if writeLimit >= 0 && req.Method != http.MethodGet {
			_, _ = io.WriteString(c, answer[:writeLimit])
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (s *rawService) closeConn(c *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reset {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// limitedReader ends a request at the read limit in force when it is read.
type limitedReader struct {
	c     net.Conn
	s     *rawService
	used  int
	ended bool
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.ended {
		return 0, io.EOF
	}
	n, err := l.c.Read(p)
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if left := l.s.readLimit - l.used; l.s.readLimit >= 0 && n >= left {
		n, err, l.ended = max(0, left), io.EOF, true
	}
	l.used += n
	return n, err
}

type staticBackends []service.Backend

func (s staticBackends) Service(string) []service.Backend { return s }

func newDispatchers(state *control.ReplicatedState, n int, backends service.Backends) []*service.Dispatcher {
	sender := service.NewClient()
	var out []*service.Dispatcher
	for i := range n {
		out = append(out, service.NewDispatcher(
			service.Config{VM: fmt.Sprintf("vm%d", i+1), Incarnation: "i1"},
			service.Deps{
				Control: control.NewLocalClient(state), Sender: sender, Backends: backends,
				Explain: explain.NewRing(64), Metrics: new(expvar.Map).Init(), Log: zerolog.Nop(),
			}))
	}
	return out
}

func newState() *control.ReplicatedState {
	m := control.NewReplicatedState()
	m.Register(control.CallsStateMachine, call.NewStateMachine(call.DefaultLimits()))
	return m
}

func booking(key string, body []byte) *service.Call {
	return &service.Call{Workspace: "coop", Service: "dispatch", Key: key, Request: service.Request{
		Method: http.MethodPost, Path: "/bookings",
		Header: http.Header{"Idempotency-Key": {key}, "Authorization": nil}, Body: body,
	}}
}

// outcome returns the part of a result that a caller can distinguish.
func outcome(a *call.Answer, err error) string {
	if err != nil {
		e := result.From(err)
		return fmt.Sprintf("%d %s", e.Code, e.Ran)
	}
	return fmt.Sprintf("%d %s", a.Status, a.Body)
}

// The service breaks the connection of a booking after each byte of the request and
// of the answer in turn, by a reset or a close, while pooled connections of earlier
// lookups are available for reuse. On such a break net/http's Transport would send
// the booking again. The service must run it at most once, the result must be true,
// and a resend through another VM must get the same result.
func TestBrokenAtEveryByteRunsAtMostOnce(t *testing.T) {
	for _, body := range [][]byte{nil, []byte(`{"job":7}`), bytes.Repeat([]byte("x"), 256<<10)} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("body=%d,reset=%v", len(body), reset), func(t *testing.T) {
				t.Parallel()
				breakEverywhere(t, body, reset)
			})
		}
	}
}

func breakEverywhere(t *testing.T, body []byte, reset bool) {
	s, spare := newRawService(t), newRawService(t)
	ds := newDispatchers(newState(), 2, staticBackends{{Name: "a", Addr: s.addr}, {Name: "b", Addr: spare.addr}})
	requestBytes := 200 + len(body)
	seen := map[string]int{}
	check := func(key string, read, write int) {
		s.set(-1, -1, false)
		spare.set(-1, -1, false)
		lookup := booking("", nil)
		lookup.Request.Method = http.MethodGet
		if _, err := ds[0].Relay(t.Context(), lookup); err != nil {
			t.Fatalf("lookup before %s: %v", key, err)
		}
		s.set(read, write, reset)
		spare.set(read, write, reset)
		first := outcome(ds[0].Once(t.Context(), booking(key, body)))
		again := outcome(ds[1].Once(t.Context(), booking(key, body)))
		if first != again {
			t.Fatalf("%s: got answer %q and %q for the resend, want equal ones", key, first, again)
		}
		verify(t, key, first, s.count(key)+spare.count(key))
		seen[first]++
	}
	for n := 0; n < requestBytes; n += step(n, requestBytes) {
		check(fmt.Sprintf("read%d", n), n, -1)
	}
	for n := range len(okAnswer) {
		check(fmt.Sprintf("write%d", n), -1, n)
	}
	check("whole", -1, -1)
	if seen["201 booked"] == 0 || seen["4003 unknown"] < len(okAnswer) {
		t.Errorf("the faults did not occur: got outcomes %v", seen)
	}
}

// step returns the distance to the next tested byte: every byte at the start and at
// the end, and samples of a large body in between.
func step(n, all int) int {
	if n < 400 || n >= all-64 {
		return 1
	}
	return min(4093, all-64-n)
}

func verify(t *testing.T, key, outcome string, runs int) {
	t.Helper()
	switch {
	case runs > 1:
		t.Fatalf("%s: got %d runs, want at most 1", key, runs)
	case strings.HasSuffix(outcome, " no") && runs != 0:
		t.Fatalf("%s: got outcome %q, but the call ran", key, outcome)
	case outcome == "201 booked" && runs != 1:
		t.Fatalf("%s: got outcome %q, but the call did not run", key, outcome)
	}
}

// A client that follows a 307 or 308 redirect would send the body again. Redirects
// and errors must be returned to the caller unchanged after one run. An answer that
// ends with the connection cannot be distinguished from an incomplete one and must
// be "unknown".
func TestRedirectsAndUndelimitedAnswers(t *testing.T) {
	for _, c := range []struct{ answer, want string }{
		{"HTTP/1.1 307 Temporary Redirect\r\nLocation: /bookings\r\nContent-Length: 0\r\n\r\n", "307 "},
		{"HTTP/1.1 308 Permanent Redirect\r\nLocation: /bookings\r\nContent-Length: 0\r\n\r\n", "308 "},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy", "503 busy"},
		{"HTTP/1.1 201 Created\r\nConnection: close\r\n\r\nbooked", "4003 unknown"},
	} {
		s := newRawService(t)
		s.answer = c.answer
		s.set(-1, len(c.answer), false)
		ds := newDispatchers(newState(), 2, staticBackends{{Name: "a", Addr: s.addr}})
		for _, d := range ds {
			if got := outcome(d.Once(t.Context(), booking("k", []byte("{}")))); got != c.want || s.count("k") != 1 {
				t.Errorf("%.30q: got %q and %d runs, want %q and 1", c.answer, got, s.count("k"), c.want)
			}
		}
	}
}

// Without a retry budget, a service that fails for all callers would get a multiple
// of its load, and the retries would overload the last healthy backend server. It
// must get its calls plus about a tenth.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	bad := newRawService(t)
	bad.answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	var all staticBackends
	for i := range 4 {
		all = append(all, service.Backend{Name: fmt.Sprint(i), Addr: bad.addr})
	}
	d := newDispatchers(newState(), 1, all)[0]
	const calls = 300
	for range calls {
		lookup := booking("lookup", nil)
		lookup.Request.Method = http.MethodGet
		_, _ = d.Relay(t.Context(), lookup)
	}
	if got, most := bad.count("lookup"), calls+calls/10+10; got < calls || got > most {
		t.Errorf("got %d calls at the service, want %d to %d", got, calls, most)
	}
}

// While no backend server can be reached, a call must not claim its key. The same
// key must be able to book once a backend server is reachable again.
func TestUnreachableServiceLeavesTheKeyFree(t *testing.T) {
	s := newRawService(t)
	state := newState()
	down := newDispatchers(state, 1, staticBackends{{Name: "a", Addr: "127.0.0.1:1"}})[0]
	if got := outcome(down.Once(t.Context(), booking("k", nil))); got != "3005 no" {
		t.Fatalf("unreachable service: got %q, want 3005 no", got)
	}
	up := newDispatchers(state, 1, staticBackends{{Name: "a", Addr: s.addr}})[0]
	if got := outcome(up.Once(t.Context(), booking("k", nil))); got != "201 booked" {
		t.Fatalf("reachable service: got %q, want 201 booked", got)
	}
	if got := outcome(down.Once(t.Context(), booking("k", nil))); got != "201 booked" {
		t.Errorf("resend while the service is down: got %q, want the kept answer", got)
	}
}

// A backend server that answers 503 with a Retry-After must not be sent any call of this VM
// until then, also if it is the only one. A call that no server accepts is refused as not run,
// and its key stays free.
func TestNoCallReachesAServerAtPause(t *testing.T) {
	paused, good := newRawService(t), newRawService(t)
	paused.answer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"
	two := staticBackends{{Name: "paused", Addr: paused.addr, Zone: "here"}, {Name: "good", Addr: good.addr}}
	lookup := booking("lookup", nil)
	lookup.Request.Method = http.MethodGet
	d := newDispatchers(newState(), 1, two)[0]
	for range 20 {
		if got := outcome(d.Relay(t.Context(), lookup)); got != "201 booked" {
			t.Fatalf("got %q, want the answer of the server that is not at pause", got)
		}
	}
	if got := paused.count("lookup"); got > 1 {
		t.Errorf("%d lookups reached a server at pause, want only the one that was told of it", got)
	}
	for i := range 5 {
		if got := outcome(d.Once(t.Context(), booking(fmt.Sprint("k", i), nil))); got != "201 booked" {
			t.Errorf("booking %d: got %q, want 201 booked", i, got)
		}
	}
	alone := newDispatchers(newState(), 1, two[:1])[0]
	_, _ = alone.Relay(t.Context(), lookup)
	_, err := alone.Once(t.Context(), booking("k", nil))
	if e := result.From(err); e.Code != result.BackendsWithheld || e.Ran != result.RanNo || e.RetryAfter < 50*time.Second {
		t.Errorf("got %v with the delay %v, want %d not run and a delay until the pause ends", err, e.RetryAfter, result.BackendsWithheld)
	}
	if _, err := alone.Relay(t.Context(), lookup); result.CodeOf(err) != result.BackendsWithheld {
		t.Errorf("got %v, want %d", err, result.BackendsWithheld)
	}
}
