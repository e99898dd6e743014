package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Timings of a Feed.
const (
	failedRoundPause       = 50 * time.Millisecond // after a round in which no voter answered
	pollPause              = 20 * time.Millisecond // between polls; combines changes that follow each other closely
	returnToPreferredAfter = 30 * time.Second      // returns to the preferred voter, which spreads the load again
)

// FeedOptions configures a Feed.
type FeedOptions struct {
	Self      string
	Voters    func() []string // VMs that are currently known to have the control role
	Transport peer.Transport
	Lease     time.Duration
	Log       zerolog.Logger
}

// Feed keeps a VM's copy of the followed state machines up to date and holds the VM's
// freshness lease. It sends long polls to one voter, and hedged polls to further
// voters while that one is late.
//
// Safeguards. A lease starts when the poll was sent. The leader confirmed its
// leadership after that moment, which means that the answer contains everything
// committed before it. A VM that cannot reach the group stops being fresh when its
// lease ends, and must not admit anything from then on. An operator's change is
// therefore in force everywhere after at most one lease.
type Feed struct {
	o      FeedOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	groupID   string // control group that versions refer to; used only by the poll loop
	mu        sync.Mutex
	versions  map[StateMachineID]uint64
	callbacks map[StateMachineID][]func([]byte)
	changed   chan struct{}
	leaseEnd  time.Time // carries the wall clock and the monotonic clock
	polls     uint64
	failures  uint64
	bytes     uint64 // of applied changes
}

// NewFeed returns a Feed. Callbacks must be registered before Start.
func NewFeed(o FeedOptions) *Feed {
	f := &Feed{
		o: o, versions: map[StateMachineID]uint64{},
		callbacks: map[StateMachineID][]func([]byte){}, changed: make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, id := range FollowedStateMachines {
		f.versions[id] = 0
	}
	return f
}

// rendezvousOrder returns the order in which a VM turns to the voters. Rendezvous
// hashing spreads the VMs over the voters; a voter prefers itself.
func rendezvousOrder(self string, voters []string) []string {
	rank := func(v string) uint64 {
		if v == self {
			return 0
		}
		return max(1, xxhash.Sum64String(self+"\x00"+v))
	}
	return slices.SortedFunc(slices.Values(voters), func(a, b string) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
}

// OnChange registers a function that receives each encoded change of a state machine,
// in order, before the VM reports the new version as applied. It must not block.
func (f *Feed) OnChange(smID StateMachineID, apply func(data []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callbacks[smID] = append(f.callbacks[smID], apply)
}

// Start begins to poll the voters.
func (f *Feed) Start() { f.wg.Go(f.run) }

// Close stops the polls and waits until the poll loop has ended.
func (f *Feed) Close() {
	f.cancel()
	f.wg.Wait()
}

// Fresh reports whether the freshness lease is valid, which allows the VM to rely on
// its copy. Callers check it at the moment of each decision. The lease must be valid on
// the wall clock too, because the monotonic clock may stop while a VM is suspended.
func (f *Feed) Fresh() bool {
	f.mu.Lock()
	leaseEnd := f.leaseEnd
	f.mu.Unlock()
	now := time.Now()
	return now.Before(leaseEnd) && now.Round(0).Before(leaseEnd.Round(0))
}

// Version returns the version of a state machine that this VM applies.
func (f *Feed) Version(smID StateMachineID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[smID]
}

// FeedStats holds the metrics of a Feed.
type FeedStats struct {
	Polls    uint64                    `json:"polls"`
	Failures uint64                    `json:"failures"`
	Bytes    uint64                    `json:"bytes"`    // of applied changes
	LeaseMS  int64                     `json:"lease_ms"` // remaining freshness lease; negative after it has expired
	Versions map[StateMachineID]uint64 `json:"versions"`
}

// Stats returns the current metrics.
func (f *Feed) Stats() FeedStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FeedStats{
		Polls: f.polls, Failures: f.failures, Bytes: f.bytes, LeaseMS: time.Until(f.leaseEnd).Milliseconds(), Versions: maps.Clone(f.versions),
	}
}

func (f *Feed) run() {
	voter, switchedAt := "", time.Now()
	for f.ctx.Err() == nil {
		if time.Since(switchedAt) > returnToPreferredAfter {
			voter, switchedAt = "", time.Now()
		}
		order := rotateTo(voter, rendezvousOrder(f.o.Self, f.o.Voters()))
		answeredBy, ok := f.pollOnce(order)
		pause := pollPause
		if !ok {
			pause = failedRoundPause
		}
		if answeredBy != voter {
			voter, switchedAt = answeredBy, time.Now()
		}
		if timer.Sleep(f.ctx, pause) != nil {
			return
		}
	}
}

// pollOnce polls the voters and applies the first answer. It returns the voter to poll
// first the next time.
func (f *Feed) pollOnce(order []string) (voter string, ok bool) {
	a, ok := f.hedgedPoll(order)
	if !ok {
		return "", false
	}
	if err := f.applyReply(a, rotateTo(a.voter, order)); err != nil {
		f.o.Log.Warn().Err(err).Str("voter", a.voter).Msg("change could not be fetched; polling again")
		f.recordFailure(a.voter, err)
		return "", false
	}
	return a.voter, true
}

// checkGroup rejects an answer from a different control group, which operators created
// with empty directories after the loss of the former one. Its versions cannot be compared
// with those applied here, and withdrawn entries could stay in force for ever.
func (f *Feed) checkGroup(a pollResult) error {
	if f.groupID != "" && a.reply.Group != f.groupID {
		f.o.Log.Error().Str("voter", a.voter).Msg("another control group answers; this VM must be restarted")
		return errOtherGroup
	}
	f.groupID = a.reply.Group
	return nil
}

// applyReply applies a voter's answer. Large changes are fetched from the sources in
// turn. The lease is renewed last because it promises that everything committed before
// the poll was sent is applied here.
func (f *Feed) applyReply(a pollResult, sources []string) error {
	for _, c := range a.reply.Changes {
		began := time.Now()
		data, err := c.Value.Get(f.ctx, f.o.Transport, sources)
		if err != nil {
			return err
		}
		f.o.Log.Info().Uint8("part", uint8(c.StateMachine)).Uint64("version", c.Version).Str("voter", a.voter).
			Int("bytes", c.Value.Bytes()).Dur("took", time.Since(a.sent)).Dur("fetched", time.Since(began)).
			Int("asked", a.polls).Bool("confirmed", a.reply.Confirmed).Msg("change received")
		f.applyChange(c.StateMachine, c.Version, data)
	}
	if a.reply.Confirmed {
		f.renewLease(a.sent)
	}
	return nil
}

var errOtherGroup = errors.New("control: another control group answers")

func (f *Feed) applyChange(smID StateMachineID, version uint64, data []byte) {
	f.mu.Lock()
	callbacks := f.callbacks[smID]
	newer := version > f.versions[smID]
	f.mu.Unlock()
	if !newer {
		return
	}
	for _, apply := range callbacks {
		apply(data)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[smID] = version
	f.bytes += uint64(len(data))
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) renewLease(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := sent.Add(usableLease(f.o.Lease)); end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
}

// catchUp implements localView. A VM that is not a voter reads what the Feed has applied.
func (f *Feed) catchUp(ctx context.Context, _ uint64, versions map[StateMachineID]uint64) error {
	for {
		f.mu.Lock()
		changed, behind := f.changed, false
		for smID, v := range versions {
			behind = behind || f.versions[smID] < v
		}
		f.mu.Unlock()
		if !behind {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// combinedView waits for the replicated state and then for what the Feed's callbacks
// have built from it.
type combinedView struct{ first, second localView }

func (b combinedView) catchUp(ctx context.Context, index uint64, versions map[StateMachineID]uint64) error {
	if err := b.first.catchUp(ctx, index, versions); err != nil {
		return err
	}
	return b.second.catchUp(ctx, index, versions)
}

// NewGroupClient returns the Client of a control VM without a Feed. It reads the
// replicated state of the group member.
func NewGroupClient(g *Group) *RemoteClient {
	r := NewRemoteClient(g.o.Transport, g.o.VM, g.o.controlVMs)
	r.lease, r.view = g.o.Lease, g
	return r
}

// Client returns the Client of a VM that uses this Feed. g is nil on a VM without the
// control role.
func (f *Feed) Client(g *Group) *RemoteClient {
	r := NewRemoteClient(f.o.Transport, f.o.Self, f.o.Voters)
	r.lease, r.view = f.o.Lease, f
	if g != nil {
		r.view = combinedView{g, f}
	}
	return r
}
