package routed

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Delays before a member is opened again after a disk failure. A full disk rejects
// every write for seconds. A process that exited each time would also lose the
// directory and the list of backend servers, which need no disk.
const (
	reopenMinDelay = 300 * time.Millisecond
	reopenMaxDelay = 2 * time.Second
)

// memberSession is the group's member from one opening of its log to the next, with the
// state replayed from the log.
type memberSession struct {
	machine *control.ReplicatedState
	routes  *routes.StateMachine
	group   *control.Group
	client  *control.RemoteClient

	rollouts *rollout.StateMachine
	cordons  *cordon.StateMachine
}

// memberRunner opens the group's member, and opens it again after a disk failure. The
// log holds every vote and acknowledgement of the member, so a new session honours them.
type memberRunner struct {
	open func(failed func(error)) (*memberSession, error)

	mu      sync.Mutex
	session *memberSession
}

func (m *memberRunner) current() *memberSession {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session
}

func (m *memberRunner) set(s *memberSession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session = s
}

// openSession opens the log of this process's member of the control group, with the state
// that the log replays, and starts the member. It calls failed if the log fails later.
func (c *Control) openSession(failed func(error)) (*memberSession, error) {
	s := &memberSession{machine: control.NewReplicatedState(), routes: routes.NewStateMachine(), rollouts: rollout.NewStateMachine(), cordons: cordon.NewStateMachine()}
	s.machine.Register(control.RoutesStateMachine, s.routes)
	s.machine.Register(control.RolloutsStateMachine, s.rollouts)
	s.machine.Register(control.CordonsStateMachine, s.cordons)
	s.group = control.NewGroup(control.GroupOptions{
		VM: c.o.ID, Voters: c.o.Seeds, KnownVMs: c.member.Controls, JoinOnly: !c.o.FirstStart, TargetVoters: c.o.TargetVoters,
		Dir: filepath.Join(c.o.Dir, "control"), Transport: c.network, Values: c.values, State: s.machine, Lease: Lease, Log: c.o.Log, OnFailure: failed,
	})
	s.client = control.NewGroupClient(s.group)
	return s, s.group.Start()
}

// run opens the member, and opens it again after each failure, until ctx ends. It calls
// onFailure with each failure that it recovers from. It returns an error only for a
// damaged log, which opening it again cannot repair.
func (m *memberRunner) run(ctx context.Context, onFailure func(error)) error {
	pause := reopenMinDelay
	for ctx.Err() == nil {
		failed := make(chan error, 1)
		s, err := m.open(func(err error) {
			select {
			case failed <- err:
			default:
			}
		})
		if err == nil {
			m.set(s)
			pause = reopenMinDelay
			select {
			case err = <-failed:
			case <-ctx.Done():
				return nil
			}
		}
		var damaged *wal.DamageError
		if errors.As(err, &damaged) {
			return err
		}
		onFailure(err)
		if s != nil {
			s.group.Close()
		}
		if timer.Sleep(ctx, pause) != nil {
			return nil
		}
		pause = min(2*pause, reopenMaxDelay)
	}
	return nil
}

// everySession calls check from time to time with the member's current session, until c's context
// ends.
func (c *Control) everySession(interval time.Duration, check func(s *memberSession, now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.ctx.Done():
			return
		}
		if s := c.memberRunner.current(); s != nil {
			check(s, time.Now())
		}
	}
}
