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
	movePause   = 50 * time.Millisecond // after a round in which no voter answered
	pollGap     = 20 * time.Millisecond // between polls: changes in quick succession travel together
	returnAfter = 30 * time.Second      // back to the preferred voter, so that load spreads again
)

// FeedOptions are the options of a Feed.
type FeedOptions struct {
	Self      string
	Voters    func() []string // VMs with the control role, as known now
	Transport peer.Transport
	Lease     time.Duration
	Log       zerolog.Logger
}

// Feed keeps a VM's copy of the followed parts up to date by long polls at one
// voter, at others beside it while that one is late, and holds the VM's freshness
// lease.
//
// Safeguards. A lease counts from when the poll was sent: the leader confirmed
// its office after that, so that everything committed before is in the answer.
// A VM that cannot reach the group stops being fresh when its lease ends, and
// must then admit nothing; an operator's change is thus in force everywhere after
// one lease at the latest.
type Feed struct {
	o      FeedOptions
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	group     string // whose versions these are; of the loop alone
	mu        sync.Mutex
	versions  map[StateMachineID]uint64
	callbacks map[StateMachineID][]func([]byte)
	moved     chan struct{}
	until     time.Time // end of the lease, on both clocks
	polls     uint64
	failures  uint64
	bytes     uint64 // of changes taken
}

// NewFeed returns a Feed; callbacks are registered before Start.
func NewFeed(o FeedOptions) *Feed {
	f := &Feed{
		o: o, versions: map[StateMachineID]uint64{},
		callbacks: map[StateMachineID][]func([]byte){}, moved: make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, p := range FollowedStateMachines {
		f.versions[p] = 0
	}
	return f
}

// preference spreads VMs over the voters by rendezvous hashing; a voter prefers
// itself.
func preference(self string, voters []string) []string {
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

// OnChange registers a function that gets each encoded change of a part, in
// order, before the VM reports that it applies it. It must not block.
func (f *Feed) OnChange(part StateMachineID, apply func(data []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callbacks[part] = append(f.callbacks[part], apply)
}

// Start begins to follow.
func (f *Feed) Start() { f.wg.Go(f.run) }

// Close ends the Feed.
func (f *Feed) Close() {
	f.cancel()
	f.wg.Wait()
}

// Fresh reports whether the VM may rely on what it holds. Ask at the moment of
// the decision. The wall clock can only shorten a lease: the monotonic clock may
// stand still while a VM is suspended.
func (f *Feed) Fresh() bool {
	f.mu.Lock()
	until := f.until
	f.mu.Unlock()
	now := time.Now()
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// Version is the version of a part that this VM applies.
func (f *Feed) Version(part StateMachineID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[part]
}

// FeedStats are a Feed's metrics.
type FeedStats struct {
	Polls    uint64                    `json:"polls"`
	Failures uint64                    `json:"failures"`
	Bytes    uint64                    `json:"bytes"`    // of changes taken
	LeaseMS  int64                     `json:"lease_ms"` // left of the freshness lease; negative: lapsed
	Versions map[StateMachineID]uint64 `json:"versions"`
}

// Stats returns the Feed's metrics.
func (f *Feed) Stats() FeedStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FeedStats{
		Polls: f.polls, Failures: f.failures, Bytes: f.bytes, LeaseMS: time.Until(f.until).Milliseconds(), Versions: maps.Clone(f.versions),
	}
}

func (f *Feed) run() {
	voter, movedAt := "", time.Now()
	for f.ctx.Err() == nil {
		if time.Since(movedAt) > returnAfter {
			voter, movedAt = "", time.Now()
		}
		order := startingWith(voter, preference(f.o.Self, f.o.Voters()))
		won, ok := f.follow(order)
		gap := pollGap
		if !ok {
			gap = movePause
		}
		if won != voter {
			voter, movedAt = won, time.Now()
		}
		if timer.Sleep(f.ctx, gap) != nil {
			return
		}
	}
}

// follow polls once and applies what the answer tells of. It returns the voter to ask
// first next time.
func (f *Feed) follow(order []string) (voter string, ok bool) {
	a, ok := f.race(order)
	if !ok {
		return "", false
	}
	if err := f.take(a, startingWith(a.voter, order)); err != nil {
		f.o.Log.Warn().Err(err).Str("voter", a.voter).Msg("change not taken")
		f.fail(a.voter, err)
		return "", false
	}
	return a.voter, true
}

// checkGroup refuses an answer of another control group: the operators formed it anew,
// with empty folders. Its versions say nothing about those held here, and what was
// withdrawn could stay for ever.
func (f *Feed) checkGroup(a answered) error {
	if f.group != "" && a.reply.Group != f.group {
		f.o.Log.Error().Str("voter", a.voter).Msg("another control group answers: this VM must be restarted")
		return errOtherGroup
	}
	f.group = a.reply.Group
	return nil
}

// take applies a voter's answer. Large changes are fetched from the sources in turn.
// The lease is renewed last: it promises that all which was committed when the poll was
// sent is applied here.
func (f *Feed) take(a answered, sources []string) error {
	for _, c := range a.reply.Changes {
		began := time.Now()
		data, err := c.Value.Get(f.ctx, f.o.Transport, sources)
		if err != nil {
			return err
		}
		f.o.Log.Info().Uint8("part", uint8(c.Part)).Uint64("version", c.Version).Str("voter", a.voter).
			Int("bytes", c.Value.Bytes()).Dur("took", time.Since(a.sent)).Dur("fetched", time.Since(began)).
			Int("asked", a.asked).Bool("confirmed", a.reply.Confirmed).Msg("change received")
		f.apply(c.Part, c.Version, data)
	}
	if a.reply.Confirmed {
		f.renew(a.sent)
	}
	return nil
}

var errOtherGroup = errors.New("control: another control group answers")

func (f *Feed) apply(part StateMachineID, version uint64, data []byte) {
	f.mu.Lock()
	callbacks := f.callbacks[part]
	newer := version > f.versions[part]
	f.mu.Unlock()
	if !newer {
		return
	}
	for _, apply := range callbacks {
		apply(data)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[part] = version
	f.bytes += uint64(len(data))
	close(f.moved)
	f.moved = make(chan struct{})
}

func (f *Feed) renew(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := sent.Add(shortened(f.o.Lease)); end.After(f.until) {
		f.until = end
	}
}

// catchUp implements viewer: a VM that is no voter reads what the Feed applied.
func (f *Feed) catchUp(ctx context.Context, _ uint64, versions map[StateMachineID]uint64) error {
	for {
		f.mu.Lock()
		moved, behind := f.moved, false
		for part, v := range versions {
			behind = behind || f.versions[part] < v
		}
		f.mu.Unlock()
		if !behind {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// both waits for the Machine and for what the Feed's callbacks built from it.
type both struct{ first, second viewer }

func (b both) catchUp(ctx context.Context, index uint64, versions map[StateMachineID]uint64) error {
	if err := b.first.catchUp(ctx, index, versions); err != nil {
		return err
	}
	return b.second.catchUp(ctx, index, versions)
}

// NewGroupClient returns the Client of a control VM that follows no Feed: it
// reads the group's own state.
func NewGroupClient(g *Group) *RemoteClient {
	r := NewRemoteClient(g.o.Transport, g.o.VM, g.o.controlVMs)
	r.lease, r.view = g.o.Lease, g
	return r
}

// Client returns the Client of a VM with this Feed; g is nil on a VM without the
// control role.
func (f *Feed) Client(g *Group) *RemoteClient {
	r := NewRemoteClient(f.o.Transport, f.o.Self, f.o.Voters)
	r.lease, r.view = f.o.Lease, f
	if g != nil {
		r.view = both{g, f}
	}
	return r
}
