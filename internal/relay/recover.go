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

// recoverer is the recovery policy of one VM: what package recovery decides,
// shared by all runs, and blame exchanged with the other VMs.
type recoverer struct {
	hub    *Hub
	policy recovery.Policy

	mu        sync.Mutex
	detector  *recovery.Detector
	suspicion *recovery.Budget
	hedges    *recovery.Budget
	blame     *recovery.PoisonSuspicion
	pacers    map[string]*recovery.Pacer // by model
	grants    map[*recovery.Resume]chan struct{}
	heard     heard
}

func newRecoverer(h *Hub) *recoverer {
	policy := recovery.PolicyOf(h.cfg.Objective)
	if limit := h.cfg.SilenceLimit; limit > 0 {
		policy.Floor, policy.Ceiling = min(policy.Floor, limit), min(policy.Ceiling, limit)
	}
	return &recoverer{
		hub: h, policy: policy, detector: recovery.NewDetector(policy),
		suspicion: recovery.NewSuspicionBudget(), hedges: recovery.NewBudget(policy.HedgeShare),
		blame: recovery.NewPoisonSuspicion(), pacers: map[string]*recovery.Pacer{}, grants: map[*recovery.Resume]chan struct{}{}, heard: heard{},
	}
}

// standing judges a request by its content.
func (c *recoverer) standing(digest uint64) recovery.Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blame.Standing(digest, time.Now())
}

// refusePoison returns the final answer to a request that ended every engine
// which ran it, with the time at which the blame will have expired.
func (c *recoverer) refusePoison(digest uint64, ran result.Ran) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blame.Standing(digest, time.Now()) != recovery.Poison {
		return nil
	}
	c.hub.metrics.Add("poison_refused", 1)
	return result.New(result.PoisonRequest).WithRan(ran).WithRetryAfter(time.Until(c.blame.Expires(digest)))
}

// begin watches an attempt on an engine.
func (c *recoverer) begin(engine string) *recovery.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Begin(engine, time.Now())
}

// event notes useful tokens of a stream.
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

// check judges a stream's silence: suspect, worth a hedge, or when to look
// again.
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
	return false, c.detector.HedgeDue(s, now), min(again, checkEvery)
}

// checkEvery is the resolution of suspicion and hedging.
const checkEvery = 100 * time.Millisecond

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

// Polled notes that an engine answered a poll of its load.
func (h *Hub) Polled(engine string) {
	h.recovery.mu.Lock()
	defer h.recovery.mu.Unlock()
	h.recovery.detector.Polled(engine, time.Now())
}

// pace holds a resume back until the engines can prefill it.
func (c *recoverer) pace(ctx context.Context, model string, r *recovery.Resume) error {
	granted := make(chan struct{})
	c.mu.Lock()
	c.grants[r] = granted
	c.pacer(model).Enqueue(r, time.Now())
	c.grant(model)
	c.mu.Unlock()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-ticker.C:
			c.mu.Lock()
			c.grant(model) // some may have been held long enough
			c.mu.Unlock()
		case <-ctx.Done():
			c.paced(model, r)
			return ctx.Err()
		}
	}
}

// pacer needs c.mu.
func (c *recoverer) pacer(model string) *recovery.Pacer {
	p := c.pacers[model]
	if p == nil {
		p = &recovery.Pacer{}
		c.pacers[model] = p
	}
	p.SetEngines(c.hub.router.Usable(model))
	return p
}

// grant needs c.mu.
func (c *recoverer) grant(model string) {
	p := c.pacer(model)
	for r := p.Next(time.Now()); r != nil; r = p.Next(time.Now()) {
		close(c.grants[r])
		delete(c.grants, r)
	}
}

// paced ends a resume's part in the pace: its first token came, or it failed.
func (c *recoverer) paced(model string, r *recovery.Resume) {
	if r == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pacer(model).Release(r)
	delete(c.grants, r)
	c.grant(model)
}

// blameMessage tells other VMs of a death, or that a suspect was cleared.
type blameMessage struct {
	Death   recovery.Death `cbor:"1,keyasint"`
	Passed  int            `cbor:"2,keyasint"`
	Cleared bool           `cbor:"3,keyasint,omitempty"`
	Pass    bool           `cbor:"4,keyasint,omitempty"` // to be passed on
}

// died blames a request for the death of its engine. A resend may come to any
// VM under a new id, so all learn of it.
func (c *recoverer) died(engine string, digest uint64, passed int) recovery.Standing {
	d := recovery.Death{Digest: digest, Engine: engine, At: time.Now()}
	c.mu.Lock()
	c.detector.ResetStats(engine)
	standing := c.blame.EngineDied(d, passed)
	c.mu.Unlock()
	c.tell(blameMessage{Death: d, Passed: passed})
	return standing
}

// passed clears a suspect that ran past the point of its engine's death.
func (c *recoverer) passed(digest uint64, tokens int) bool {
	c.mu.Lock()
	cleared := c.blame.NoteProgress(digest, tokens)
	c.mu.Unlock()
	if cleared {
		c.tell(blameMessage{Death: recovery.Death{Digest: digest}, Passed: tokens, Cleared: true})
	}
	return cleared
}

// tell sends blame to the VMs that this one tells. A message that is lost costs
// at most one more engine.
func (c *recoverer) tell(m blameMessage) {
	vms, pass := neighbours(c.hub.cfg.VM, c.hub.members.Views()[0].Candidates)
	m.Pass = pass
	c.mu.Lock()
	c.heard.first(m, time.Now())
	c.mu.Unlock()
	for _, vm := range vms {
		if c.hub.members.Reachable(vm) {
			_ = c.hub.transport.Send(vm, peer.KindPoisonSuspicion, m)
		}
	}
}

func (c *recoverer) handleBlame(_ context.Context, _ string, body []byte) (any, error) {
	var m blameMessage
	if err := codec.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if c.hear(m) && m.Pass {
		c.tell(m)
	}
	return nil, nil
}

// hear applies blame that another VM tells, once, and reports whether it was
// new.
func (c *recoverer) hear(m blameMessage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.heard.first(m, time.Now()) {
		return false
	}
	if m.Cleared {
		c.blame.NoteProgress(m.Death.Digest, m.Passed)
		return true
	}
	m.Death.At = time.Now()
	c.blame.EngineDied(m.Death, m.Passed)
	return true
}

// deadlineOf is the time by which a request must have started; zero: never.
func deadlineOf(r *generation.Request, since time.Time) time.Time {
	if r.DeadlineMS == 0 {
		return time.Time{}
	}
	return since.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
}
