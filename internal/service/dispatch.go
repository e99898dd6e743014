package service

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Timeouts and intervals of calls.
const (
	// callTimeout bounds one call on a backend server, including its answer.
	callTimeout = 30 * time.Second
	// claimTimeout bounds one proposal to the control group. Callers wait a few
	// seconds at most. If the group has no leader for longer, the call fails as "not
	// run".
	claimTimeout = 3 * time.Second
	// MaxCallTime bounds a call from its claim on, unless the control group cannot commit the outcome.
	MaxCallTime = claimTimeout + callTimeout
	// finishTimeout bounds the commit of an outcome. The sum of callTimeout,
	// finishTimeout and a few seconds must stay below call.Limits.SealAfter.
	finishTimeout = 30 * time.Second
	// dispatchWindow is how long the permission to write the first byte is valid. It
	// is measured by the claimant's monotonic clock from before the claim was
	// proposed. It is about a thirtieth of SealAfter; clock drift cannot make it the
	// longer of the two.
	dispatchWindow = 2 * time.Second
	// resendWait is how long a resend waits for a call that runs elsewhere.
	resendWait      = 4 * time.Second
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	retryAfter      = 1 * time.Second
	fullRetryAfter  = 30 * time.Second // long enough for some claims to expire
)

var errPermitExpired = errors.New("service: the permission to dispatch has expired")

// errPaused means that the backend server asked for a pause before the call was written.
var errPaused = errors.New("service: the backend server asked for a pause")

// Call is one call from a workspace to a plain service.
type Call struct {
	Workspace string
	Service   string
	Key       string // Idempotency-Key
	Request   Request
	// Reserve reserves a request of the workspace's plan before the call runs. settle
	// is called with whether the call used it. Nil: nothing is reserved.
	Reserve func(ctx context.Context) (settle func(used bool), err error)
	// MayClaim refuses a call with an error right before its claim. The search for a server that
	// can be reached may have taken long. Nil: it may always.
	MayClaim func() error
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

func (c *Call) mayClaim() error {
	if c.MayClaim == nil {
		return nil
	}
	return c.MayClaim()
}

// Incarnations reports whether an incarnation of a VM has ended.
type Incarnations interface {
	Gone(vm, incarnation string) bool
}

// Config holds the settings of a Dispatcher and identifies its VM.
type Config struct {
	VM               string
	Incarnation      string
	Zone             string
	IdempotencyRules map[string][]call.IdempotencyRule // by service
}

// Deps are the dependencies of a Dispatcher.
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

// Dispatcher runs calls: idempotent ones with retries, others under a claim.
type Dispatcher struct {
	Config
	Deps
	picker      *picker
	retryBudget *retryBudget
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(c Config, d Deps) *Dispatcher {
	return &Dispatcher{Config: c, Deps: d, picker: newPicker(c.Zone), retryBudget: newRetryBudget()}
}

// Idempotent reports whether a call may be repeated.
func (d *Dispatcher) Idempotent(service, method, path string) bool {
	return call.Idempotent(d.IdempotencyRules[service], method, path)
}

// Relay runs an idempotent call. If a backend server fails, Relay retries on
// another one as far as the retry budget allows.
func (d *Dispatcher) Relay(ctx context.Context, c *Call) (*call.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	settle, err := c.reserve(ctx)
	if err != nil {
		return nil, err
	}
	d.retryBudget.addCall()
	var answer *call.Answer
	err = d.noBackend(c.Service)
	sends := 0
	for _, b := range d.picker.order(d.Backends.Service(c.Service), time.Now()) {
		if !d.picker.maySend(b) {
			continue
		}
		if sends > 0 && !d.retryBudget.takeRetry() {
			d.Metrics.Add("service_retries_refused", 1)
			break
		}
		sends++
		done := d.picker.begin(b)
		got, failure := d.Sender.Relay(ctx, b.Addr, &c.Request)
		again := failure != nil || retryable(got.Status)
		done(again)
		if failure == nil {
			answer = got
			d.learn(b, got, c.Key)
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

// Once runs a non-idempotent call at most once, or returns the outcome of an earlier
// run. It continues after the caller has disconnected, because the outcome must be
// committed for the caller's resend.
func (d *Dispatcher) Once(ctx context.Context, c *Call) (*call.Answer, error) {
	work := context.WithoutCancel(ctx)
	settle, err := c.reserve(work)
	if err != nil {
		return d.earlierOutcomeOr(work, c, err)
	}
	used := false
	defer func() { settle(used) }()
	// The connection is made before the claim: if no backend server can be reached,
	// the call is refused and its key remains free.
	target, err := d.connect(work, c.Service, nil)
	if err != nil {
		return d.earlierOutcomeOr(work, c, err)
	}
	defer target.close()
	if err := c.mayClaim(); err != nil {
		return d.earlierOutcomeOr(work, c, err)
	}
	own := &ownClaim{d: d, c: c, claimant: d.VM + "#" + d.Incarnation + "/" + rand.Text(), began: time.Now()}
	reply, err := own.propose(work)
	if err != nil {
		d.Metrics.Add("calls_control_unavailable", 1)
		own.release()
		return nil, result.New(result.ControlUnavail).WithRetryAfter(retryAfter)
	}
	if reply.Verdict != call.Permitted {
		return d.await(ctx, c, reply)
	}
	d.recordExplain(c, explain.Claimed, own.claimant)
	answer, used, err := own.run(work, target)
	return answer, err
}

// earlierOutcomeOr handles a call that cannot start now. It returns the outcome of
// an earlier run, or reason if there was none.
func (d *Dispatcher) earlierOutcomeOr(ctx context.Context, c *Call, reason error) (*call.Answer, error) {
	reply, err := d.lookup(ctx, c)
	if err != nil || reply.Verdict == call.Unclaimed {
		return nil, reason
	}
	return d.await(ctx, c, reply)
}

func (d *Dispatcher) lookup(ctx context.Context, c *Call) (call.Reply, error) {
	return d.propose(ctx, claimTimeout, &call.Command{Lookup: &call.Lookup{Ref: c.ref(), Request: c.digest()}})
}

func (d *Dispatcher) propose(ctx context.Context, limit time.Duration, cmd *call.Command) (call.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return control.Propose[call.Reply](ctx, d.Control, control.CallsStateMachine, cmd)
}

// target is a backend server with an open connection.
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

// connect connects to the first backend server that is reachable and not in avoid.
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
	return nil, d.noBackend(service)
}

// noBackend returns the refusal of a call that no backend server takes. If all of them are at
// pause, it states when the first one accepts calls again.
func (d *Dispatcher) noBackend(service string) error {
	if left := d.picker.pauseLeft(d.Backends.Service(service), time.Now()); left > 0 {
		return result.New(result.BackendsWithheld).WithRetryAfter(admission.SpreadRetry(left, mathrand.Float64()))
	}
	return result.New(result.NoBackendServer).WithRetryAfter(retryAfter)
}

// learn takes the pause that a backend server asks for in an answer.
func (d *Dispatcher) learn(b Backend, a *call.Answer, requestID string) {
	if d.picker.learn(b, a) {
		d.Metrics.Add("service_pauses", 1)
		d.Log.Info().Str("request_id", requestID).Str("backend", b.Name).Dur("left", d.picker.pauseLeft([]Backend{b}, time.Now())).Msg("backend server asks for a pause")
	}
}

// span starts a trace span for one step of a call. The returned function ends it.
func (d *Dispatcher) span(ctx context.Context, hop string, c *Call) (context.Context, func()) {
	if d.Tracer == nil {
		return ctx, func() {}
	}
	ctx, span := d.Tracer.Start(ctx, hop, c.Key)
	return ctx, func() { span.End() }
}

func (d *Dispatcher) recordExplain(c *Call, what, why string) {
	d.Explain.Note(explain.Key{Workspace: c.Workspace, Request: c.Key},
		explain.Note{At: time.Now(), VM: d.VM, What: what, Why: why})
}
