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
	// rolloutCheckInterval is how often a control VM evaluates the active roll-outs.
	rolloutCheckInterval = 150 * time.Millisecond
	// stepTimeout bounds the proposal of a step. A later check proposes it again.
	stepTimeout = 1 * time.Second
)

// rolloutOf reads a service's roll-out from the member's state.
func (s *memberSession) rolloutOf(service string) (r rollout.Record, ok bool) {
	s.machine.Read(control.RolloutsStateMachine, func(control.StateMachine) { r, ok = s.rollouts.Record(service) })
	return r, ok
}

// hasService reports whether the route list names a service.
func (s *memberSession) hasService(service string) bool {
	found := false
	s.machine.Read(control.RoutesStateMachine, func(control.StateMachine) {
		for i := range s.routes.List().Services {
			found = found || s.routes.List().Services[i].Name == service
		}
	})
	return found
}

// PutRollout implements ControlProcess.
func (c *Control) PutRollout(ctx context.Context, o rollout.Order) (rollout.Record, error) {
	r, err := c.putRollout(ctx, &o)
	c.o.Log.Info().Str("service", o.Service).Str("to", o.To).Dur("duration", o.Duration).Uint64("rollout", r.Number).
		Stringer("phase", r.Phase).AnErr("error", err).Msg("roll-out ordered")
	return r, err
}

func (c *Control) putRollout(ctx context.Context, o *rollout.Order) (rollout.Record, error) {
	s := c.memberRunner.current()
	if s == nil {
		return rollout.Record{}, result.New(result.ControlUnavail)
	}
	if err := o.Validate(); err != nil {
		return rollout.Record{}, err
	}
	if !s.hasService(o.Service) {
		// This VM may not have applied the list that names the service yet.
		if err := s.client.Barrier(ctx); err != nil {
			return rollout.Record{}, result.New(result.ControlUnavail)
		}
		if !s.hasService(o.Service) {
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

// Rollout implements ControlProcess.
func (c *Control) Rollout(ctx context.Context, service string) (rollout.Record, error) {
	s := c.memberRunner.current()
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

// rolloutRequest is an observer's request to a voter: an order or, if Order is nil, a
// query for the newest roll-out of Service.
type rolloutRequest struct {
	Order   *rollout.Order `cbor:"1,keyasint,omitempty"`
	Service string         `cbor:"2,keyasint,omitempty"`
}

// serveRollout answers the rolloutRequest of an observer.
func (c *Control) serveRollout(ctx context.Context, body []byte) (any, error) {
	var q rolloutRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if q.Order != nil {
		return c.PutRollout(ctx, *q.Order)
	}
	return c.Rollout(ctx, q.Service)
}

// rolloutWatcher evaluates the active roll-outs on a control VM.
type rolloutWatcher struct {
	c          *Control
	hasChecked bool // after the first check, an unknown roll-out or step is new in the log

	mu      sync.Mutex
	watched map[string]*watchedRollout // by service
}

// watchedRollout is one active roll-out. Its times are on this VM's monotonic clock,
// since the wall clock may be stepped.
type watchedRollout struct {
	judge      *rollout.Judge
	orderedAt  time.Time
	stepAt     time.Time
	stepMS     int64 // StepMS of the record for which stepAt holds
	inForce    bool
	confirming bool // confirmInForce is running
}

// runRollouts evaluates the active roll-outs until c's context ends. Every control VM
// does so, because a new leader needs to know when each of them began. Only the leader
// proposes steps.
func (c *Control) runRollouts() {
	w := &rolloutWatcher{c: c, watched: map[string]*watchedRollout{}}
	c.everySession(rolloutCheckInterval, w.check)
}

func (w *rolloutWatcher) check(s *memberSession, now time.Time) {
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
		v := w.observe(s, r, now)
		e := w.c.hub.Evidence(r.Service, r.Number)
		step, ok := w.judgeOf(r).Evaluate(r, &e, v)
		if ok && w.c.IsLeader() {
			w.proposeStep(s, &step, &e, &v)
		}
	}
	w.hasChecked = true
}

func (w *rolloutWatcher) judgeOf(r *rollout.Record) *rollout.Judge {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watched[r.Service].judge
}

// observe records when a roll-out was ordered and when its current step began, and returns
// the View that the judge evaluates. In the phase Moving, observe on the leader also starts
// confirmInForce for the step, unless that runs already or the step is known to be in force.
func (w *rolloutWatcher) observe(s *memberSession, r *rollout.Record, now time.Time) rollout.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	watched := w.watched[r.Service]
	if watched == nil || watched.judge.Number() != r.Number {
		watched = &watchedRollout{judge: rollout.NewJudge(w.c.o.Rollouts, r.Number), orderedAt: w.eventTime(r.OrderedMS, now), stepMS: -1}
		w.watched[r.Service] = watched
	}
	if watched.stepMS != r.StepMS {
		watched.stepAt, watched.stepMS, watched.inForce = w.eventTime(r.StepMS, now), r.StepMS, false
	}
	if r.Phase == rollout.Moving && !watched.inForce && !watched.confirming && w.c.IsLeader() {
		watched.confirming = true
		go w.confirmInForce(s, watched, watched.stepMS)
	}
	v := rollout.View{Elapsed: now.Sub(watched.orderedAt), Step: now.Sub(watched.stepAt), InForce: watched.inForce}
	v.TargetServers, v.FormerServers = w.c.countVersions(r)
	return v
}

// eventTime returns when an event happened that the log dates with atMS. After the first
// check the event is one that this process has just seen happen. On the first check it
// may precede the start of the process, and the wall clock gives its age.
func (w *rolloutWatcher) eventTime(atMS int64, now time.Time) time.Time {
	if w.hasChecked {
		return now
	}
	return now.Add(-max(0, now.Sub(time.UnixMilli(atMS))))
}

// confirmInForce waits until the step is in force on every router.
func (w *rolloutWatcher) confirmInForce(s *memberSession, watched *watchedRollout, stepMS int64) {
	ctx, cancel := context.WithTimeout(w.c.ctx, 2*Lease)
	defer cancel()
	version := uint64(0)
	s.machine.Read(control.RolloutsStateMachine, func(p control.StateMachine) { version = p.Version() })
	err := control.WaitInForce(ctx, s.client, control.RolloutsStateMachine, version)
	w.mu.Lock()
	defer w.mu.Unlock()
	watched.confirming = false
	watched.inForce = err == nil && watched.stepMS == stepMS
}

// countVersions counts the listed servers of a roll-out's service that are not draining:
// those of the new version, and those of other versions.
func (c *Control) countVersions(r *rollout.Record) (target, former int) {
	rows, _, _, _ := c.backendList.Current()
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

// proposeStep proposes a step to the group and logs the outcome.
func (w *rolloutWatcher) proposeStep(s *memberSession, step *rollout.Step, e *rollout.Evidence, v *rollout.View) {
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
