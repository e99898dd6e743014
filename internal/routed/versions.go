package routed

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

const (
	// versionCheckInterval is how often a control VM looks for changes of the listed versions.
	versionCheckInterval = 100 * time.Millisecond
	// maxVersionListAge is the age of the list of backend servers from which it tells nothing about
	// versions.
	maxVersionListAge = 5 * time.Second
)

// versionWatcher keeps the known versions of the services in the group's log up to date.
type versionWatcher struct {
	c     *Control
	watch *rollout.VersionWatch

	mu         sync.Mutex
	confirming bool // confirmAnnounced is running
}

// runVersions watches the listed versions until c's context ends. Only the leader proposes
// changes.
func (c *Control) runVersions() {
	w := &versionWatcher{c: c, watch: rollout.NewVersionWatch(c.o.VersionHold, time.Now())}
	c.everySession(versionCheckInterval, w.check)
}

func (w *versionWatcher) check(s *memberSession, now time.Time) {
	listed, ok := w.c.listedVersions()
	if !ok {
		return
	}
	w.watch.Observe(listed, now)
	if !w.c.IsLeader() || !w.c.hub.AllKeepVersions() {
		return
	}
	changes, announced, version := w.due(s.versions, func() error { return w.catchUp(s) }, now)
	for i := range changes {
		w.propose(s, &changes[i])
	}
	if len(announced) > 0 {
		w.confirm(s, version, announced)
	}
}

// versions returns the state of the roll-outs and the known versions, as far as this member has
// applied the log, with its version.
func (s *memberSession) versions() (state rollout.State, version uint64) {
	s.machine.Read(control.RolloutsStateMachine, func(m control.StateMachine) { state, version = s.rollouts.State(), m.Version() })
	return state, version
}

// catchUp returns once this member has applied everything that was committed before the call.
func (w *versionWatcher) catchUp(s *memberSession) error {
	ctx, cancel := context.WithTimeout(w.c.ctx, stepTimeout)
	defer cancel()
	return s.client.Barrier(ctx)
}

// due returns the changes to propose, and the announced versions with the version of the state that
// holds them. A leader that has just been elected may have applied less than was committed, and would
// take a further version for one of the first, which are admitted without an announcement.
func (w *versionWatcher) due(read func() (rollout.State, uint64), catchUp func() error, now time.Time) (changes, announced []rollout.StandingChange, version uint64) {
	state, _ := read()
	if len(w.watch.Next(&state, now)) == 0 && len(state.AnnouncedVersions()) == 0 {
		return nil, nil, 0
	}
	if err := catchUp(); err != nil {
		return nil, nil, 0
	}
	state, version = read()
	return w.watch.Next(&state, now), state.AnnouncedVersions(), version
}

// listedVersions returns the number of listed servers by service and version.
func (c *Control) listedVersions() (map[string]map[string]int, bool) {
	rows, _, age, ok := c.backendList.Current()
	if !ok || age > maxVersionListAge {
		return nil, false
	}
	out := map[string]map[string]int{}
	for i := range rows {
		if out[rows[i].Service] == nil {
			out[rows[i].Service] = map[string]int{}
		}
		out[rows[i].Service][rows[i].Version]++
	}
	return out, true
}

// confirm raises announced versions once the announcement is in force on every VM. It does not
// block.
func (w *versionWatcher) confirm(s *memberSession, version uint64, announced []rollout.StandingChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirming {
		return
	}
	w.confirming = true
	go func() {
		ctx, cancel := context.WithTimeout(w.c.ctx, 2*Lease)
		defer cancel()
		err := control.WaitInForce(ctx, s.client, control.RolloutsStateMachine, version)
		for i := range announced {
			if err == nil {
				w.propose(s, &announced[i])
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.confirming = false
	}()
}

// propose proposes a change to the group and logs the outcome.
func (w *versionWatcher) propose(s *memberSession, change *rollout.StandingChange) {
	ctx, cancel := context.WithTimeout(w.c.ctx, stepTimeout)
	defer cancel()
	reply, err := control.Propose[rollout.Reply](ctx, s.client, control.RolloutsStateMachine, rollout.Command{Standing: change})
	w.c.o.Log.Info().Str("service", change.Service).Strs("versions", change.Versions).Stringer("standing", change.Standing).
		Int("outcome", int(reply.Outcome)).AnErr("error", err).Msg("standing of versions changed")
}
