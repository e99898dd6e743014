package service

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Timings of calls.
const (
	// callTimeout bounds one call on a backend server, answer included.
	callTimeout = 30 * time.Second
	// claimTimeout: a caller waits a few seconds at most; a group without a
	// leader for longer is an error that says "not run".
	claimTimeout = 3 * time.Second
	// finishTimeout bounds the commit of an outcome. callTimeout, this and a few
	// seconds stay below call.Limits.SealAfter.
	finishTimeout = 30 * time.Second
	// dispatchWindow ends the permission to write the first byte, on the
	// claimant's monotonic clock from before it proposed its claim. It is a
	// thirtieth of SealAfter: no drift of a clock makes it the longer of the two.
	dispatchWindow = 2 * time.Second
	// waitFor is how long a resend waits for a call that runs elsewhere.
	waitFor    = 4 * time.Second
	pollFirst  = 20 * time.Millisecond
	pollMost   = 500 * time.Millisecond
	retryAfter = 1 * time.Second
	fullPause  = 30 * time.Second // claims expire by the minute
)

var errLate = errors.New("service: the permission to dispatch has run out")

// Call is one call of a workspace.
type Call struct {
	Workspace string
	Service   string
	Key       string // Idempotency-Key
	Request   Request
	// Reserve takes a request out of the plan before it runs; its settle is told
	// whether the call used it. Nil: nothing to reserve.
	Reserve func(ctx context.Context) (settle func(used bool), err error)
}

func (c *Call) ref() call.Ref {
	return call.Ref{Workspace: c.Workspace, Service: c.Service, Key: c.Key}
}

func (c *Call) digest() call.Digest {
	return call.DigestOf(c.Request.Method, c.Request.Path, c.Request.Body)
}

func (c *Call) reserve(ctx context.Context) (func(bool), error) {
	if c.Reserve == nil {
		return func(bool) {}, nil
	}
	return c.Reserve(ctx)
}

// Incarnations tells whether a VM's incarnation has certainly ended.
type Incarnations interface {
	Gone(vm, incarnation string) bool
}

// Config names a Dispatcher's VM.
type Config struct {
	VM               string
	Incarnation      string
	Zone             string
	IdempotencyRules map[string][]call.IdempotencyRule // by service
}

// Deps are what a Dispatcher uses.
type Deps struct {
	Control      control.Client
	Sender       Sender
	Backends     Backends
	Incarnations Incarnations
	Explain      *explain.Ring
	Tracer       *telemetry.Tracer // nil: no spans
	Metrics      *expvar.Map
	Log          zerolog.Logger
}

// Dispatcher runs calls: idempotent ones with retries, others through a claim.
type Dispatcher struct {
	Config
	Deps
	picker *picker
	budget *budget
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(c Config, d Deps) *Dispatcher {
	return &Dispatcher{Config: c, Deps: d, picker: newPicker(c.Zone), budget: newBudget()}
}

// Idempotent reports whether a call may be repeated.
func (d *Dispatcher) Idempotent(service, method, path string) bool {
	return call.Idempotent(d.IdempotencyRules[service], method, path)
}

// Relay runs an idempotent call, on another backend server again where the
// first fails and the retry budget allows.
func (d *Dispatcher) Relay(ctx context.Context, c *Call) (*call.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	settle, err := c.reserve(ctx)
	if err != nil {
		return nil, err
	}
	d.budget.fresh()
	var answer *call.Answer
	err = result.New(result.NoBackendServer).WithRetryAfter(retryAfter)
	for i, b := range d.picker.order(d.Backends.Service(c.Service), time.Now()) {
		if i > 0 && !d.budget.retry() {
			d.Metrics.Add("service_retries_refused", 1)
			break
		}
		done := d.picker.begin(b)
		got, failure := d.Sender.Relay(ctx, b.Addr, &c.Request)
		again := failure != nil || retryable(got.Status)
		done(again)
		if failure == nil {
			answer = got
		} else {
			err = result.Newf(result.BackendFailed, "backend server %s: %v", b.Name, failure)
		}
		if !again || ctx.Err() != nil {
			break
		}
		d.Metrics.Add("service_failures", 1)
	}
	settle(answer != nil)
	return relayed(answer, err)
}

func relayed(answer *call.Answer, err error) (*call.Answer, error) {
	switch {
	case answer == nil:
		return nil, err
	case answer.NoBody:
		return nil, result.Newf(result.BackendFailed, "the answer exceeds %d bytes", MaxAnswerBytes)
	default:
		return answer, nil
	}
}

func retryable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// Once runs a non-idempotent call at most once, or returns what became of it.
// It goes on when the caller hangs up: the outcome must be committed for the
// caller's resend.
func (d *Dispatcher) Once(ctx context.Context, c *Call) (*call.Answer, error) {
	work := context.WithoutCancel(ctx)
	settle, err := c.reserve(work)
	if err != nil {
		return d.standingOr(work, c, err)
	}
	used := false
	defer func() { settle(used) }()
	// Connecting before claiming keeps a dead backend server from costing the
	// caller its key: until the claim, a refusal leaves the key free.
	target, err := d.connect(work, c.Service, nil)
	if err != nil {
		return d.standingOr(work, c, err)
	}
	defer target.close()
	own := &claimed{d: d, c: c, claimant: d.VM + "#" + d.Incarnation + "/" + rand.Text(), began: time.Now()}
	reply, err := own.propose(work)
	if err != nil {
		d.Metrics.Add("calls_control_unavailable", 1)
		own.release()
		return nil, result.New(result.ControlUnavail).WithRetryAfter(retryAfter)
	}
	if reply.Verdict != call.Permitted {
		return d.await(ctx, c, reply)
	}
	d.note(c, explain.Claimed, own.claimant)
	answer, used, err := own.run(work, target)
	return answer, err
}

// standingOr answers a call that cannot start now: with what became of it
// earlier, or with the reason.
func (d *Dispatcher) standingOr(ctx context.Context, c *Call, reason error) (*call.Answer, error) {
	reply, err := d.look(ctx, c)
	if err != nil || reply.Verdict == call.Unclaimed {
		return nil, reason
	}
	return d.await(ctx, c, reply)
}

func (d *Dispatcher) look(ctx context.Context, c *Call) (call.Reply, error) {
	return d.propose(ctx, claimTimeout, &call.Command{Lookup: &call.Lookup{Ref: c.ref(), Request: c.digest()}})
}

func (d *Dispatcher) propose(ctx context.Context, limit time.Duration, cmd *call.Command) (call.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return control.Propose[call.Reply](ctx, d.Control, control.CallsStateMachine, cmd)
}

// target is a connected backend server.
type target struct {
	backend Backend
	conn    Connection
	done    func(failed bool)
	failed  bool
}

func (t *target) close() {
	t.conn.Close()
	t.done(t.failed)
}

// connect reaches the first backend server that answers and is not in avoid.
func (d *Dispatcher) connect(ctx context.Context, service string, avoid map[string]bool) (*target, error) {
	for _, b := range d.picker.order(d.Backends.Service(service), time.Now()) {
		if avoid[b.Name] {
			continue
		}
		done := d.picker.begin(b)
		conn, err := d.Sender.Dial(ctx, b.Addr)
		if err == nil {
			return &target{backend: b, conn: conn, done: done}, nil
		}
		done(true)
		d.Metrics.Add("service_failures", 1)
	}
	return nil, result.New(result.NoBackendServer).WithRetryAfter(retryAfter)
}

// span begins the span of one hop of a call; the returned function ends it.
func (d *Dispatcher) span(ctx context.Context, hop string, c *Call) (context.Context, func()) {
	if d.Tracer == nil {
		return ctx, func() {}
	}
	ctx, span := d.Tracer.Start(ctx, hop, c.Key)
	return ctx, func() { span.End() }
}

func (d *Dispatcher) note(c *Call, what, why string) {
	d.Explain.Note(explain.Key{Workspace: c.Workspace, Request: c.Key},
		explain.Note{At: time.Now(), VM: d.VM, What: what, Why: why})
}
