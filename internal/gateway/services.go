package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Calls runs calls of plain services. *service.Dispatcher implements it.
type Calls interface {
	Idempotent(service, method, path string) bool
	Relay(ctx context.Context, c *service.Call) (*call.Answer, error)
	Once(ctx context.Context, c *service.Call) (*call.Answer, error)
}

// CallQuota charges a call to its plan before the call runs.
type CallQuota interface {
	// ReserveCall reserves quota for a call, or refuses with a coded error. settle must be
	// called once; used reports whether the call has used the reservation.
	ReserveCall(ctx context.Context, c Caller, key string) (settle func(used bool), err error)
}

// services is the HTTP handler that relays calls to plain services.
type services struct {
	g         *Gateway
	calls     Calls
	quota     CallQuota // nil: calls are not counted
	inFlight  *admission.InFlight
	durations shutdown.CallDurations // by service
}

// ServiceRoutes registers the paths of plain services. quota may be nil.
func (g *Gateway) ServiceRoutes(r *mux.Router, calls Calls, quota CallQuota) {
	s := &services{g: g, calls: calls, quota: quota, inFlight: newInFlight()}
	r.PathPrefix(servicesPath).Handler(s)
}

const (
	servicesPath   = "/v1/services/"
	fullRetryAfter = 1 * time.Second // calls usually end within a second

	runningRetryAfter = 1 * time.Second // until other VMs know that this one has ended
)

// ServeHTTP relays one call.
func (s *services) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	id := key
	if id == "" {
		id = rand.Text()
	}
	ctx, span := s.g.tracer.Start(traceContext(r, id), "entry", id)
	defer span.End()
	answer, err := s.serve(ctx, w, r, key, id)
	if err != nil {
		err = s.g.orEnding(err)
		s.g.log.Info().Str("request_id", id).Int("code", int(result.CodeOf(err))).Msg("call refused or failed")
		resulthttp.Write(w, id, err)
		return
	}
	writeAnswer(w, id, answer)
}

func (s *services) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, key, id string) (*call.Answer, error) {
	if key != "" && !ValidKey(key) {
		return nil, result.New(result.InvalidKey)
	}
	caller, err := s.g.authenticate(r)
	if err != nil {
		return nil, err
	}
	name, path, err := callTarget(r, &caller)
	if err != nil {
		return nil, err
	}
	idempotent := s.calls.Idempotent(name, r.Method, path)
	if !idempotent && key == "" {
		return nil, result.New(result.KeyRequired)
	}
	release, ok := s.inFlight.Enter(s.g.maxBodyBytes(r))
	if !ok {
		return nil, result.New(result.QueueFull).WithRetryAfter(fullRetryAfter)
	}
	defer release()
	body, err := resulthttp.ReadBody(w, r, s.g.cfg.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.g.untilEnding(ctx)
	defer cancel()
	ctx, span := s.g.tracer.Start(ctx, "service", id)
	defer span.End()
	c := s.call(ctx, &caller, r, id)
	c.Service, c.Request.Path, c.Request.Body = name, withQuery(path, r.URL.RawQuery), body
	if idempotent {
		return s.calls.Relay(ctx, c)
	}
	return s.once(ctx, c)
}

// once runs a call that is not idempotent. If the process ends before the call does, the caller is told
// to ask for the outcome, which other VMs then know or seal.
func (s *services) once(ctx context.Context, c *service.Call) (*call.Answer, error) {
	type outcome struct {
		answer *call.Answer
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := s.calls.Once(ctx, c)
		done <- outcome{answer, err}
	}()
	var ending <-chan struct{}
	if s.g.cfg.Ending != nil {
		ending = s.g.cfg.Ending.Done()
	}
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ending:
		return nil, result.New(result.CallRunning).WithRetryAfter(runningRetryAfter)
	}
}

// callTarget returns the service and the escaped path of a call, if the caller's plan allows
// the service.
func callTarget(r *http.Request, caller *Caller) (name, path string, err error) {
	name, path, ok := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPath), "/")
	switch {
	case !ok || name == "":
		return "", "", result.New(result.NotFound)
	case !caller.Allowance.AllowsService(name):
		return "", "", result.New(result.ServiceNotInPlan)
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return "", "", result.New(result.MethodNotAllowed)
	}
	return name, "/" + path, nil
}

// maxBodyBytes returns an upper bound of the size of the request's body in bytes.
func (g *Gateway) maxBodyBytes(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > g.cfg.MaxBodyBytes {
		return g.cfg.MaxBodyBytes
	}
	return r.ContentLength
}

// call returns the call without its service, path and body.
func (s *services) call(ctx context.Context, caller *Caller, r *http.Request, id string) *service.Call {
	c := &service.Call{Workspace: caller.Customer.Workspace, Key: id}
	c.Request = service.Request{Method: r.Method, Header: relayedHeader(r.Header)}
	// Two workspaces may use the same key. A service that deduplicates calls by their key
	// needs the workspace as well.
	c.Request.Header.Set("X-Workspace", c.Workspace)
	c.Request.Header.Set("X-Request-Id", id)
	c.Request.Header.Set("Traceparent", telemetry.Inject(ctx))
	c.Reserve = func(ctx context.Context) (func(bool), error) { return s.reserve(ctx, c, caller) }
	c.MayClaim = func() error { return s.mayBegin(c.Service) }
	return c
}

// reserve reserves quota for a call that can still finish here. The dispatcher replaces the refusal
// of a resend by the outcome of its first run.
func (s *services) reserve(ctx context.Context, c *service.Call, caller *Caller) (settle func(used bool), err error) {
	settleQuota := func(bool) {}
	if s.quota != nil {
		if settleQuota, err = s.quota.ReserveCall(ctx, *caller, c.Key); err != nil {
			return nil, err
		}
	}
	if err := s.mayBegin(c.Service); err != nil {
		settleQuota(false)
		return nil, err
	}
	ended := s.durations.Begin(c.Service, time.Now())
	return func(used bool) {
		ended(time.Now(), used)
		settleQuota(used)
	}, nil
}

// mayBegin refuses a call that begins now if it could be cut off when this VM shuts down.
func (s *services) mayBegin(name string) error {
	if s.g.cfg.CannotFinish == nil {
		return nil
	}
	expected := s.durations.Expected(name, time.Now())
	if s.g.cfg.CannotFinish(shutdown.Work{Expected: expected, Left: service.MaxCallTime}) {
		return result.New(result.ShuttingDown)
	}
	return nil
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// strippedHeaders are the request headers that are not relayed: hop-by-hop headers (RFC 9110
// section 7.6.1), headers that this system sets itself, the workspace's key, which no service
// may learn, and Expect, which would delay the body until the service has answered.
var strippedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Authorization", "Content-Length", "Host", "X-Workspace",
}

func relayedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range strippedHeaders {
		delete(out, name)
	}
	return out
}

// writeAnswer writes a service's answer unchanged, including redirects and errors.
func writeAnswer(w http.ResponseWriter, id string, a *call.Answer) {
	for _, h := range a.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set("X-Request-Id", id)
	if len(a.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	// The status has been sent. A caller that disconnects now repeats the call with its key.
	_, _ = w.Write(a.Body)
}
