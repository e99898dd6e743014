package relay

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// recoverer applies the policies of package recovery to all runs of one VM and
// exchanges suspicion reports with the other VMs.
type recoverer struct {
	hub    *Hub
	policy recovery.Policy

	mu        sync.Mutex
	detector  *recovery.Detector
	suspicion *recovery.Budget
	hedges    *recovery.Budget
	poison    *recovery.PoisonSuspicion
	pacers    map[string]*recovery.Pacer // by model
	grants    map[*recovery.Resume]chan struct{}
	seen      seenReports
}

func newRecoverer(h *Hub) *recoverer {
	policy := recovery.PolicyOf(h.cfg.Objective)
	if limit := h.cfg.SilenceLimit; limit > 0 {
		policy.Floor, policy.Ceiling = min(policy.Floor, limit), min(policy.Ceiling, limit)
	}
	return &recoverer{
		hub: h, policy: policy, detector: recovery.NewDetector(policy),
		suspicion: recovery.NewSuspicionBudget(), hedges: recovery.NewBudget(policy.HedgeShare),
		poison: recovery.NewPoisonSuspicion(), pacers: map[string]*recovery.Pacer{}, grants: map[*recovery.Resume]chan struct{}{}, seen: seenReports{},
	}
}

// standing returns whether a request's content is suspected or known to be poison.
func (c *recoverer) standing(digest uint64) recovery.Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poison.Standing(digest, time.Now())
}

// refusePoison returns the error for a request that has killed the engines on which it
// ran, with the time until the suspicion expires. It returns nil for other requests.
func (c *recoverer) refusePoison(digest uint64, ran result.Ran) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.poison.Standing(digest, time.Now()) != recovery.Poison {
		return nil
	}
	c.hub.metrics.Add("poison_refused", 1)
	return result.New(result.PoisonRequest).WithRan(ran).WithRetryAfter(time.Until(c.poison.Expires(digest)))
}

// begin starts to monitor an attempt on an engine for silence.
func (c *recoverer) begin(engine string) *recovery.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Begin(engine, time.Now())
}

// event records useful tokens of a stream, which also earn budget for extra work.
func (c *recoverer) event(s *recovery.Stream, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.Event(s, time.Now())
	c.suspicion.Earn(tokens)
	c.hedges.Earn(tokens)
}

func (c *recoverer) end(s *recovery.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.End(s)
}

// check reports whether a stream's engine is suspected because of its silence,
// whether a hedge is due, and after what time to check again.
func (c *recoverer) check(s *recovery.Stream, prefill int) (suspect, hedge bool, again time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.detector.SetCeilingOnly(c.suspicion.Empty())
	suspect, again = c.detector.Check(s, now)
	if suspect {
		c.suspicion.Spend(prefill)
		return true, false, 0
	}
	return false, c.detector.HedgeDue(s, now), min(again, checkInterval)
}

// checkInterval is the interval of checks for suspicion and hedging.
const checkInterval = 100 * time.Millisecond

func (c *recoverer) spendMove(prefill int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspicion.Spend(prefill)
}

func (c *recoverer) spendHedge(prefill int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedges.Spend(prefill)
}

// Polled records that an engine has answered a poll of its load.
func (h *Hub) Polled(engine string) {
	h.recovery.mu.Lock()
	defer h.recovery.mu.Unlock()
	h.recovery.detector.Polled(engine, time.Now())
}

// pace delays a resume until the engines have capacity for its prefill.
func (c *recoverer) pace(ctx context.Context, model string, r *recovery.Resume) error {
	granted := make(chan struct{})
	c.mu.Lock()
	c.grants[r] = granted
	c.pacer(model).Enqueue(r, time.Now())
	c.grant(model)
	c.mu.Unlock()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-ticker.C:
			c.mu.Lock()
			c.grant(model) // the maximum wait of some may have elapsed
			c.mu.Unlock()
		case <-ctx.Done():
			c.releaseResume(model, r)
			return ctx.Err()
		}
	}
}

// pacer returns the pacer of a model, with its current number of engines. It needs
// c.mu.
func (c *recoverer) pacer(model string) *recovery.Pacer {
	p := c.pacers[model]
	if p == nil {
		p = &recovery.Pacer{}
		c.pacers[model] = p
	}
	p.SetEngines(c.hub.router.Usable(model))
	return p
}

// grant starts every resume that the pacer allows now. It needs c.mu.
func (c *recoverer) grant(model string) {
	p := c.pacer(model)
	for r := p.Next(time.Now()); r != nil; r = p.Next(time.Now()) {
		close(c.grants[r])
		delete(c.grants, r)
	}
}

// releaseResume removes a resume from the pacer after its first token or its failure.
func (c *recoverer) releaseResume(model string, r *recovery.Resume) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pacer(model).Release(r)
	delete(c.grants, r)
	c.grant(model)
}

// suspicionReport reports to other VMs that an engine died under a request, or that a
// suspected request was cleared.
type suspicionReport struct {
	Death   recovery.Death `cbor:"1,keyasint"`
	Tokens  int            `cbor:"2,keyasint"`
	Cleared bool           `cbor:"3,keyasint,omitempty"`
	Forward bool           `cbor:"4,keyasint,omitempty"` // the receiver forwards the report
}

// died records that an engine died under a request, which becomes a suspect. It
// informs all VMs, because a resend may reach any of them under a new id.
func (c *recoverer) died(engine string, digest uint64, tokens int) recovery.Standing {
	d := recovery.Death{Digest: digest, Engine: engine, At: time.Now()}
	c.mu.Lock()
	c.detector.ResetStats(engine)
	standing := c.poison.EngineDied(d, tokens)
	c.mu.Unlock()
	c.report(suspicionReport{Death: d, Tokens: tokens})
	return standing
}

// noteProgress clears a suspect that has run past the point at which its engine died. It
// reports whether a suspect was cleared.
func (c *recoverer) noteProgress(digest uint64, tokens int) bool {
	c.mu.Lock()
	cleared := c.poison.NoteProgress(digest, tokens)
	c.mu.Unlock()
	if cleared {
		c.report(suspicionReport{Death: recovery.Death{Digest: digest}, Tokens: tokens, Cleared: true})
	}
	return cleared
}

// report sends a suspicion report to this VM's neighbours. A lost message costs at most
// one more engine.
func (c *recoverer) report(m suspicionReport) {
	vms, forward := neighbours(c.hub.cfg.VM, c.hub.members.Views()[0].Candidates)
	m.Forward = forward
	c.mu.Lock()
	c.seen.first(m, time.Now())
	c.mu.Unlock()
	for _, vm := range vms {
		if c.hub.members.Reachable(vm) {
			_ = c.hub.transport.Send(vm, peer.KindPoisonSuspicion, m)
		}
	}
}

func (c *recoverer) handleReport(_ context.Context, _ string, body []byte) (any, error) {
	var m suspicionReport
	if err := codec.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if c.receive(m) && m.Forward {
		c.report(m)
	}
	return nil, nil
}

// receive applies another VM's suspicion report and reports whether it was new. A
// report that is known already has no effect.
func (c *recoverer) receive(m suspicionReport) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.seen.first(m, time.Now()) {
		return false
	}
	if m.Cleared {
		c.poison.NoteProgress(m.Death.Digest, m.Tokens)
		return true
	}
	m.Death.At = time.Now()
	c.poison.EngineDied(m.Death, m.Tokens)
	return true
}

// deadlineOf returns the time by which a request must have started, or the zero time
// if it has no deadline.
func deadlineOf(r *generation.Request, since time.Time) time.Time {
	if r.DeadlineMS == 0 {
		return time.Time{}
	}
	return since.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
}
