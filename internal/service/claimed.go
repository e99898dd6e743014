package service

import (
	"context"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// claimed is a claim of this VM's from its proposal on.
type claimed struct {
	d        *Dispatcher
	c        *Call
	claimant string
	began    time.Time // before the last permission was proposed
	attempt  int
}

func (cl *claimed) propose(ctx context.Context) (call.Reply, error) {
	ctx, end := cl.d.span(ctx, "claim", cl.c)
	defer end()
	return cl.d.propose(ctx, claimTimeout, &call.Command{Claim: &call.Claim{
		Ref: cl.c.ref(), Request: cl.c.digest(), Claimant: cl.claimant,
	}})
}

func (cl *claimed) send(ctx context.Context, t *target) (*call.Answer, bool, error) {
	ctx, end := cl.d.span(ctx, "dispatch", cl.c)
	defer end()
	return t.conn.Send(ctx, &cl.c.Request, cl.permit)
}

// permit is asked immediately before the first byte. A claimant that was paused
// since its claim may find it sealed by now; it must not run a call of which
// somebody else has already answered. A pause between this check and the write
// remains possible, which is why a seal says "unknown" and never "not run".
func (cl *claimed) permit() error {
	if time.Since(cl.began) >= dispatchWindow {
		return errLate
	}
	return nil
}

// run dispatches under the claim. used reports whether the service may have run
// the call.
func (cl *claimed) run(ctx context.Context, t *target) (a *call.Answer, used bool, err error) {
	d := cl.d
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl.attempt = 1
	tried := map[string]bool{}
	for {
		answer, wrote, err := cl.send(ctx, t)
		if err == nil {
			d.note(cl.c, explain.Finished, "answered by "+t.backend.Name)
			a, err = cl.finish(ctx, call.Done, answer)
			return a, true, err
		}
		t.failed = true
		d.Log.Warn().Err(err).Str("request_id", cl.c.Key).Str("backend", t.backend.Name).Bool("wrote", wrote).
			Msg("call without a whole answer")
		if wrote {
			a, err = cl.finish(ctx, call.Unknown, nil)
			return a, true, err
		}
		tried[t.backend.Name] = true
		if t = cl.another(ctx, tried); t == nil {
			a, err = cl.finish(ctx, call.NotRun, nil)
			return a, false, err
		}
		defer t.close()
	}
}

// another connects elsewhere and gets a new permission, since no byte was
// written under the last one.
func (cl *claimed) another(ctx context.Context, tried map[string]bool) *target {
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

// finish commits the outcome and answers by what was committed: where the claim
// was sealed meanwhile, every caller must hear the same.
func (cl *claimed) finish(ctx context.Context, s call.State, a *call.Answer) (*call.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	reply, err := cl.commit(ctx, s, a)
	if err != nil {
		cl.d.Metrics.Add("calls_outcome_uncommitted", 1)
		return nil, result.New(result.OutcomeUnknown)
	}
	if reply.State == call.Done && s == call.Done && reply.Answer != nil && reply.Answer.NoBody && !a.NoBody {
		return a, nil // too large to be kept: only this first caller gets it
	}
	return cl.d.final(cl.c, &reply)
}

// commit goes on until the outcome is committed: without it a resend would be
// told "unknown" though the answer is known.
func (cl *claimed) commit(ctx context.Context, s call.State, a *call.Answer) (call.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	kept := a
	if a != nil && len(a.Body) > call.DefaultLimits().MaxAnswerBytes {
		kept = &call.Answer{Status: a.Status, Headers: a.Headers, NoBody: true}
	}
	cmd := &call.Command{Finish: &call.Finish{Ref: cl.c.ref(), Claimant: cl.claimant, State: s, Answer: kept}}
	for pause := pollFirst; ; pause = min(2*pause, pollMost) {
		reply, err := cl.d.propose(ctx, claimTimeout, cmd)
		if err == nil {
			return reply, nil
		}
		if timer.Sleep(ctx, pause) != nil {
			return reply, err
		}
	}
}

// release ends a claim whose proposal got no answer: it may be committed yet,
// and this VM will never dispatch under it.
func (cl *claimed) release() {
	go func() {
		_, _ = cl.commit(context.Background(), call.NotRun, nil)
	}()
}

// await answers by a claim that is not this request's own.
func (d *Dispatcher) await(ctx context.Context, c *Call, r call.Reply) (*call.Answer, error) {
	d.Metrics.Add("calls_resent", 1)
	ctx, cancel := context.WithTimeout(ctx, waitFor)
	defer cancel()
	for pause := pollFirst; ; pause = min(2*pause, pollMost) {
		if r.Verdict != call.Claimed || r.State.Final() {
			return d.final(c, &r)
		}
		if sealed, ok := d.trySeal(ctx, c, &r); ok {
			return d.final(c, &sealed)
		}
		if timer.Sleep(ctx, pause) != nil {
			return nil, result.New(result.CallRunning).WithRetryAfter(retryAfter)
		}
		next, err := d.look(ctx, c)
		if err != nil {
			return nil, result.New(result.CallRunning).WithRetryAfter(retryAfter)
		}
		r = next
	}
}

// trySeal ends the claim of a claimant that has vanished.
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

// final turns a verdict into what the caller gets.
func (d *Dispatcher) final(c *Call, r *call.Reply) (*call.Answer, error) {
	err := verdictError(r)
	if err == nil {
		return r.Answer, nil
	}
	d.note(c, explain.Refused, err.Error())
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
		return result.New(result.ClaimsFull).WithRetryAfter(fullPause)
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
	default:
		return nil
	}
}
