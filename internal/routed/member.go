package routed

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/wal"
)

// Pauses before a member whose disk failed it is opened again. A full disk
// refuses every write for seconds; a process that ended each time would also lose
// the directory and the list of backend servers, which need no disk.
const (
	reopenFirst = 300 * time.Millisecond
	reopenMost  = 2 * time.Second
)

// membership is one opening of the group's log with the state read from it.
type membership struct {
	machine *control.ReplicatedState
	part    *routes.StateMachine
	group   *control.Group
	client  *control.RemoteClient

	rollouts *rollout.StateMachine
}

// members opens the group's member, and again after a failed disk. What a member
// promised is on its disk, so that a new opening knows it.
type members struct {
	open func(failed func(error)) (*membership, error)

	mu  sync.Mutex
	now *membership
}

func (m *members) current() *membership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *members) set(s *membership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = s
}

// openMember returns how c opens its member.
func (c *Control) openMember(failed func(error)) (*membership, error) {
	s := &membership{machine: control.NewReplicatedState(), part: routes.NewStateMachine(), rollouts: rollout.NewStateMachine()}
	s.machine.Register(control.RoutesStateMachine, s.part)
	s.machine.Register(control.RolloutsStateMachine, s.rollouts)
	s.group = control.NewGroup(control.GroupOptions{
		VM: c.o.ID, Voters: c.o.Seeds, KnownVMs: c.member.Controls, JoinOnly: !c.o.FirstStart, TargetVoters: c.o.TargetVoters,
		Dir: filepath.Join(c.o.Dir, "control"), Transport: c.network, Values: c.values, State: s.machine, Lease: Lease, Log: c.o.Log, OnFailure: failed,
	})
	s.client = control.NewGroupClient(s.group)
	return s, s.group.Start()
}

// run opens the member until ctx ends. It returns the fault that no new opening
// can mend: a damaged log.
func (m *members) run(ctx context.Context, note func(error)) error {
	pause := reopenFirst
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
			pause = reopenFirst
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
		note(err)
		if s != nil {
			s.group.Close()
		}
		if timer.Sleep(ctx, pause) != nil {
			return nil
		}
		pause = min(2*pause, reopenMost)
	}
	return nil
}
