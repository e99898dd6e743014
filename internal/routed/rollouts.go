package routed

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

const (
	// lookEvery is how often a control VM looks at the roll-outs under way.
	lookEvery = 150 * time.Millisecond
	// stepTimeout bounds the proposal of a step: it is proposed again with a later look.
	stepTimeout = 1 * time.Second
)

// rolloutOf reads a service's roll-out from the member's state.
func (s *membership) rolloutOf(service string) (r rollout.Record, ok bool) {
	s.machine.Read(control.RolloutsStateMachine, func(control.StateMachine) { r, ok = s.rollouts.Record(service) })
	return r, ok
}

// names reports whether the route list names a service.
func (s *membership) names(service string) bool {
	found := false
	s.machine.Read(control.RoutesStateMachine, func(control.StateMachine) {
		for i := range s.part.List().Services {
			found = found || s.part.List().Services[i].Name == service
		}
	})
	return found
}

// PutRollout implements Operable.
func (c *Control) PutRollout(ctx context.Context, o rollout.Order) (rollout.Record, error) {
	r, err := c.putRollout(ctx, &o)
	c.o.Log.Info().Str("service", o.Service).Str("to", o.To).Dur("duration", o.Duration).Uint64("rollout", r.Number).
		Stringer("phase", r.Phase).AnErr("error", err).Msg("roll-out ordered")
	return r, err
}

func (c *Control) putRollout(ctx context.Context, o *rollout.Order) (rollout.Record, error) {
	s := c.members.current()
	if s == nil {
		return rollout.Record{}, result.New(result.ControlUnavail)
	}
	if err := o.Validate(); err != nil {
		return rollout.Record{}, err
	}
	if !s.names(o.Service) {
		// This VM may be behind the list that names it.
		if err := s.client.Barrier(ctx); err != nil {
			return rollout.Record{}, result.New(result.ControlUnavail)
		}
		if !s.names(o.Service) {
			return rollout.Record{}, result.New(result.UnknownService)
		}
	}
	reply, err := control.Propose[rollout.Reply](ctx, s.client, control.RolloutsStateMachine, rollout.Command{Order: o})
	switch {
	case err != nil:
		return rollout.Record{}, err
	case reply.Outcome == rollout.Busy:
		return reply.Record, result.Newf(result.RolloutUnderWay, "version %q is being rolled out until then", reply.Record.To)
	case reply.Outcome == rollout.Unreadable:
		return reply.Record, result.New(result.InvalidRollout)
	}
	return reply.Record, nil
}

// Rollout implements Operable.
func (c *Control) Rollout(ctx context.Context, service string) (rollout.Record, error) {
	s := c.members.current()
	if s == nil {
		return rollout.Record{}, result.New(result.ControlUnavail)
	}
	if err := s.client.Barrier(ctx); err != nil {
		return rollout.Record{}, result.New(result.ControlUnavail)
	}
	r, ok := s.rolloutOf(service)
	if !ok {
		return r, result.New(result.NoRollout)
	}
	return r, nil
}

// rolloutAsk is an observer's question: an order, or the state of a service's roll-out.
type rolloutAsk struct {
	Order   *rollout.Order `cbor:"1,keyasint,omitempty"`
	Service string         `cbor:"2,keyasint,omitempty"`
}

// serveRollout answers an observer.
func (c *Control) serveRollout(ctx context.Context, body []byte) (any, error) {
	var q rolloutAsk
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Order != nil {
		return c.PutRollout(ctx, *q.Order)
	}
	return c.Rollout(ctx, q.Service)
}

// rolloutWatch is what a control VM keeps of the roll-outs under way.
type rolloutWatch struct {
	c      *Control
	looked bool // it has looked before: what is new since was ordered just now

	mu      sync.Mutex
	watched map[string]*watchedRollout // by service
}

// watchedRollout is one roll-out under way. Its times are on this VM's steady clock: the
// time of day may be stepped.
type watchedRollout struct {
	judge   *rollout.Judge
	ordered time.Time
	step    time.Time
	stepMS  int64 // of the record when step was noted
	inForce bool
	asking  bool // whether the step is in force
}

// runRollouts looks at the roll-outs until ctx ends. Every control VM does, so that a new
// leader knows since when each is under way; the leader alone takes steps.
func (c *Control) runRollouts() {
	w := &rolloutWatch{c: c, watched: map[string]*watchedRollout{}}
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.ctx.Done():
			return
		}
		if s := c.members.current(); s != nil {
			w.look(s, time.Now())
		}
	}
}

func (w *rolloutWatch) look(s *membership, now time.Time) {
	var records []rollout.Record
	s.machine.Read(control.RolloutsStateMachine, func(control.StateMachine) { records = s.rollouts.UnderWay() })
	numbers := map[string]uint64{}
	for i := range records {
		numbers[records[i].Service] = records[i].Number
	}
	w.c.hub.RetainEvidence(numbers)
	w.mu.Lock()
	for service := range w.watched {
		if _, ok := numbers[service]; !ok {
			delete(w.watched, service)
		}
	}
	w.mu.Unlock()
	for i := range records {
		r := &records[i]
		v := w.note(s, r, now)
		e := w.c.hub.Evidence(r.Service, r.Number)
		step, ok := w.judgeOf(r).Evaluate(r, &e, v)
		if ok && w.c.IsLeader() {
			w.take(s, &step, &e, &v)
		}
	}
	w.looked = true
}

func (w *rolloutWatch) judgeOf(r *rollout.Record) *rollout.Judge {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watched[r.Service].judge
}

// note keeps the times of a roll-out, and returns what is known of it.
func (w *rolloutWatch) note(s *membership, r *rollout.Record, now time.Time) rollout.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.watched[r.Service]
	if k == nil || k.judge.Number() != r.Number {
		k = &watchedRollout{judge: rollout.NewJudge(w.c.o.Rollouts, r.Number), ordered: w.since(r.OrderedMS, now), stepMS: -1}
		w.watched[r.Service] = k
	}
	if k.stepMS != r.StepMS {
		k.step, k.stepMS, k.inForce = w.since(r.StepMS, now), r.StepMS, false
	}
	if r.Phase == rollout.Moving && !k.inForce && !k.asking && w.c.IsLeader() {
		k.asking = true
		go w.askInForce(s, k, k.stepMS)
	}
	v := rollout.View{Elapsed: now.Sub(k.ordered), Step: now.Sub(k.step), InForce: k.inForce}
	v.TargetServers, v.FormerServers = w.c.countVersions(r)
	return v
}

// since is when something happened that the log dates. A process that has run since has
// just seen it; one that has started since goes by the time of day.
func (w *rolloutWatch) since(atMS int64, now time.Time) time.Time {
	if w.looked {
		return now
	}
	return now.Add(-max(0, now.Sub(time.UnixMilli(atMS))))
}

// askInForce waits until every router applies the step.
func (w *rolloutWatch) askInForce(s *membership, k *watchedRollout, stepMS int64) {
	ctx, cancel := context.WithTimeout(w.c.ctx, 2*Lease)
	defer cancel()
	version := uint64(0)
	s.machine.Read(control.RolloutsStateMachine, func(p control.StateMachine) { version = p.Version() })
	err := control.WaitInForce(ctx, s.client, control.RolloutsStateMachine, version)
	w.mu.Lock()
	defer w.mu.Unlock()
	k.asking = false
	k.inForce = err == nil && k.stepMS == stepMS
}

// countVersions counts the servers of a roll-out's service that are listed, of the new
// version and of others.
func (c *Control) countVersions(r *rollout.Record) (target, former int) {
	rows, _, _, _ := c.held.Current()
	for i := range rows {
		b := &rows[i]
		switch {
		case b.Service != r.Service || b.Draining:
		case b.Version == r.To:
			target++
		default:
			former++
		}
	}
	return target, former
}

// take proposes a step.
func (w *rolloutWatch) take(s *membership, step *rollout.Step, e *rollout.Evidence, v *rollout.View) {
	ctx, cancel := context.WithTimeout(w.c.ctx, stepTimeout)
	defer cancel()
	reply, err := control.Propose[rollout.Reply](ctx, s.client, control.RolloutsStateMachine, rollout.Command{Step: step})
	requests := 0
	for _, n := range e.Requests {
		requests += n
	}
	w.c.o.Log.Info().Str("service", step.Service).Uint64("rollout", step.Number).Stringer("phase", step.Phase).
		Str("reason", step.Reason).Float64("share", step.DefaultShare).Interface("shares", step.Shares).
		Int("requests", requests).Int("sent", e.Sent).Int("servers_new", v.TargetServers).Int("servers_former", v.FormerServers).
		Dur("elapsed", v.Elapsed).Dur("step", v.Step).Int("outcome", int(reply.Outcome)).AnErr("error", err).Msg("roll-out step")
}
