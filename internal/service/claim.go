package service

import (
	"context"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// ownClaim is a claim that this VM has proposed.
type ownClaim struct {
	d        *Dispatcher
	c        *Call
	claimant string
	began    time.Time // time before the last permission was proposed
	attempt  int
}

func (cl *ownClaim) propose(ctx context.Context) (call.Reply, error) {
	ctx, end := cl.d.span(ctx, "claim", cl.c)
	defer end()
	return cl.d.propose(ctx, claimTimeout, &call.Command{Claim: &call.Claim{
		Ref: cl.c.ref(), Request: cl.c.digest(), Claimant: cl.claimant,
	}})
}

func (cl *ownClaim) send(ctx context.Context, t *target) (*call.Answer, bool, error) {
	ctx, end := cl.d.span(ctx, "dispatch", cl.c)
	defer end()
	return t.conn.Send(ctx, &cl.c.Request, func() error {
		if !cl.d.picker.maySend(t.backend) {
			return errPaused
		}
		return cl.checkPermit()
	})
}

// checkPermit is called immediately before the first byte is written. If the
// claimant was paused after its claim, the claim may be sealed by now, and a call
// that another VM has already answered must not run. A pause between this check and
// the write remains possible, which is why a seal reports "unknown" and never "not
// run".
func (cl *ownClaim) checkPermit() error {
	if time.Since(cl.began) >= dispatchWindow {
		return errPermitExpired
	}
	return nil
}

// run dispatches the call under the claim. used reports whether the service may
// have run the call.
func (cl *ownClaim) run(ctx context.Context, t *target) (a *call.Answer, used bool, err error) {
	d := cl.d
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl.attempt = 1
	tried := map[string]bool{}
	for {
		answer, wrote, err := cl.send(ctx, t)
		if err == nil {
			d.learn(t.backend, answer, cl.c.Key)
			d.recordExplain(cl.c, explain.Finished, "answered by "+t.backend.Name)
			a, err = cl.finish(ctx, call.Done, answer)
			return a, true, err
		}
		t.failed = true
		d.Log.Warn().Err(err).Str("request_id", cl.c.Key).Str("backend", t.backend.Name).Bool("wrote", wrote).
			Msg("call ended without a complete answer")
		if wrote {
			a, err = cl.finish(ctx, call.Unknown, nil)
			return a, true, err
		}
		tried[t.backend.Name] = true
		if t = cl.reconnect(ctx, tried); t == nil {
			a, err = cl.finish(ctx, call.NotRun, nil)
			return a, false, err
		}
		defer t.close()
	}
}

// reconnect connects to another backend server and gets a new permission, which is
// allowed because no byte was written under the last one. It returns nil if either
// fails.
func (cl *ownClaim) reconnect(ctx context.Context, tried map[string]bool) *target {
	t, err := cl.d.connect(ctx, cl.c.Service, tried)
	if err != nil {
		return nil
	}
	cl.began = time.Now()
	reply, err := cl.d.propose(ctx, claimTimeout, &call.Command{Renew: &call.Renew{
		Ref: cl.c.ref(), Claimant: cl.claimant, Attempt: cl.attempt,
	}})
	if err != nil || reply.Verdict != call.Permitted {
		t.close()
		return nil
	}
	cl.attempt = reply.Attempt
	cl.d.Metrics.Add("calls_sent_again_unwritten", 1)
	return t
}

// finish commits the outcome and returns what was committed. If the claim was
// sealed in the meantime, this caller must get the same outcome as all others.
func (cl *ownClaim) finish(ctx context.Context, s call.State, a *call.Answer) (*call.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	reply, err := cl.commit(ctx, s, a)
	if err != nil {
		cl.d.Metrics.Add("calls_outcome_uncommitted", 1)
		return nil, result.New(result.OutcomeUnknown)
	}
	if reply.State == call.Done && s == call.Done && reply.Answer != nil && reply.Answer.NoBody && !a.NoBody {
		return a, nil // too large to be kept: only this caller gets the body
	}
	return cl.d.finalResult(cl.c, &reply)
}

// commit retries until the outcome is committed or finishTimeout expires. Without
// the retries a resend could get "unknown" although the answer is known.
func (cl *ownClaim) commit(ctx context.Context, s call.State, a *call.Answer) (call.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	kept := a
	if a != nil && len(a.Body) > call.DefaultLimits().MaxAnswerBytes {
		kept = &call.Answer{Status: a.Status, Headers: a.Headers, NoBody: true}
	}
	cmd := &call.Command{Finish: &call.Finish{Ref: cl.c.ref(), Claimant: cl.claimant, State: s, Answer: kept}}
	for pause := minPollInterval; ; pause = min(2*pause, maxPollInterval) {
		reply, err := cl.d.propose(ctx, claimTimeout, cmd)
		if err == nil {
			return reply, nil
		}
		if timer.Sleep(ctx, pause) != nil {
			return reply, err
		}
	}
}

// release ends a claim whose proposal got no reply. The claim may still be
// committed, and this VM will never dispatch under it.
func (cl *ownClaim) release() {
	go func() {
		_, _ = cl.commit(context.Background(), call.NotRun, nil)
	}()
}

// await waits for the outcome of another request's claim and returns it.
func (d *Dispatcher) await(ctx context.Context, c *Call, r call.Reply) (*call.Answer, error) {
	d.Metrics.Add("calls_resent", 1)
	ctx, cancel := context.WithTimeout(ctx, resendWait)
	defer cancel()
	for pause := minPollInterval; ; pause = min(2*pause, maxPollInterval) {
		if r.Verdict != call.Claimed || r.State.Final() {
			return d.finalResult(c, &r)
		}
		if sealed, ok := d.trySeal(ctx, c, &r); ok {
			return d.finalResult(c, &sealed)
		}
		if timer.Sleep(ctx, pause) != nil {
			return nil, result.New(result.CallRunning).WithRetryAfter(retryAfter)
		}
		next, err := d.lookup(ctx, c)
		if err != nil {
			return nil, result.New(result.CallRunning).WithRetryAfter(retryAfter)
		}
		r = next
	}
}

// trySeal seals a claim if its claimant's incarnation has ended or the claim is
// old enough.
func (d *Dispatcher) trySeal(ctx context.Context, c *Call, r *call.Reply) (call.Reply, bool) {
	vm, rest, _ := strings.Cut(r.Claimant, "#")
	incarnation, _, _ := strings.Cut(rest, "/")
	gone := d.Incarnations != nil && d.Incarnations.Gone(vm, incarnation)
	if !gone && r.AgeMS < call.DefaultLimits().SealAfter.Milliseconds() {
		return call.Reply{}, false
	}
	reply, err := d.propose(ctx, claimTimeout, &call.Command{Seal: &call.Seal{
		Ref: c.ref(), Claimant: r.Claimant, ClaimantGone: gone,
	}})
	if err != nil || !reply.State.Final() {
		return call.Reply{}, false
	}
	d.Metrics.Add("calls_sealed", 1)
	return reply, true
}

// finalResult converts the reply that decides a call to the result for the caller: the
// answer or an error. It records an error in the request's explanation and in the metrics.
func (d *Dispatcher) finalResult(c *Call, r *call.Reply) (*call.Answer, error) {
	err := verdictError(r)
	if err == nil {
		return r.Answer, nil
	}
	d.recordExplain(c, explain.Refused, err.Error())
	d.Metrics.Add("calls_"+result.Lookup(err.Code).Name, 1)
	return nil, err
}

func verdictError(r *call.Reply) *result.Error {
	switch r.Verdict {
	case call.Claimed:
		return stateError(r)
	case call.KeyReused:
		return result.New(result.KeyReused)
	case call.KeyExpired:
		return result.New(result.KeyExpired)
	case call.KeyInFuture:
		return result.Newf(result.InvalidKey, "the time within this UUIDv7 lies in the future")
	case call.Full:
		return result.New(result.ClaimsFull).WithRetryAfter(fullRetryAfter)
	default:
		return result.Newf(result.Internal, "unexpected verdict %d of a claim", r.Verdict)
	}
}

func stateError(r *call.Reply) *result.Error {
	switch {
	case r.State == call.NotRun:
		return result.New(result.CallNotSent)
	case r.State == call.Unknown:
		return result.New(result.OutcomeUnknown)
	case r.Answer == nil || r.Answer.NoBody:
		return result.New(result.AnswerNotKept)
	case httphead.CheckStatus(r.Answer.Status) != nil: // recorded by a former build
		return result.New(result.OutcomeUnknown)
	default:
		return nil
	}
}
