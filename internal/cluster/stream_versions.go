package cluster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
)

// The load pattern. Each router begins dozens of streams a second, and each needs a record at
// several control VMs before its first event goes out. A message for each record to each control VM
// would cost a router more than all its other control traffic together.
//
// A record therefore goes to a few of the control VMs, whatever their number, and records that
// come at the same time share a message. A control VM that stands still must not hold up the
// records behind the message that it does not answer: it takes all of them when it goes on.

const (
	// recordHolders is how many control VMs hold a record, and recordQuorum how many are awaited.
	recordHolders = 3
	recordQuorum  = 2
	// recordTimeout bounds one message of records.
	recordTimeout = 400 * time.Millisecond
	// maxRecordMessages is how many messages to a control VM may be under way.
	maxRecordMessages = 4
	// A control VM is silent once silentMessages in a row were not answered. It gets one record at
	// a time then, after pauses that double from minRecordPause to maxRecordPause: it must not
	// cost the link more and more. Until then a message is repeated after minRecordPause.
	silentMessages = 3
	minRecordPause = 100 * time.Millisecond
	maxRecordPause = 2 * time.Second
	// maxQueuedRecords bounds the records that wait for one control VM. The oldest are dropped.
	maxQueuedRecords = 4096
	// syncPatience is how long a control VM waits for its disk before it answers that it holds
	// records.
	syncPatience = 100 * time.Millisecond
)

// FindVersionReply is the answer to a request for the version that began a stream.
type FindVersionReply struct {
	Finding streamversion.Finding `cbor:"1,keyasint"`
	Origin  streamversion.Origin  `cbor:"2,keyasint"`
}

// ServeStreamVersions makes the Hub keep records of streams' versions in a store.
func (h *Hub) ServeStreamVersions(t peer.Transport, store *streamversion.Store) {
	t.Handle(peer.KindStreamVersions, func(ctx context.Context, _ string, body []byte) (any, error) {
		var b streamversion.Batch
		if err := codec.Unmarshal(body, &b); err != nil {
			return nil, err
		}
		records, err := b.Records()
		if err != nil {
			return nil, err
		}
		awaitSync(ctx, store.Put(records))
		return struct{}{}, nil
	})
	t.Handle(peer.KindFindStreamVersion, func(_ context.Context, _ string, body []byte) (any, error) {
		var key streamversion.Key
		if err := codec.Unmarshal(body, &key); err != nil {
			return nil, err
		}
		origin, finding, err := store.Find(key)
		return FindVersionReply{finding, origin}, err
	})
}

func awaitSync(ctx context.Context, synced <-chan struct{}) {
	if synced == nil {
		return
	}
	patience := time.NewTimer(syncPatience)
	defer patience.Stop()
	select {
	case <-synced:
	case <-patience.C:
	case <-ctx.Done():
	}
}

var _ forward.Origins = (*Member)(nil)

// recordSender sends a router's records to control VMs. It is safe for concurrent use.
type recordSender struct {
	signal signal

	mu    sync.Mutex
	lanes map[string]*recordLane // by control VM
}

// recordLane holds the records for one control VM.
type recordLane struct {
	queue    []queuedRecord
	underWay int       // messages that are not answered yet
	failed   int       // messages in a row that were not answered
	pausedTo time.Time // no message is sent before
}

func (l *recordLane) silent() bool { return l.failed >= silentMessages }

type queuedRecord struct {
	record  streamversion.Record
	expires time.Time
	holders *recordHolding
}

// recordHolding counts the control VMs that hold a record. It is guarded by recordSender.mu.
type recordHolding struct {
	missing int // until enough hold it
	done    chan struct{}
}

func newRecordSender() *recordSender {
	return &recordSender{signal: newSignal(), lanes: map[string]*recordLane{}}
}

func (c *recordHolding) count() {
	if c.missing--; c.missing == 0 {
		close(c.done)
	}
}

// Record implements forward.Origins. Control VMs that do not answer are not awaited.
func (m *Member) Record(r streamversion.Record) <-chan struct{} {
	vms := holdersOf(r.Key, m.Controls())
	s := m.records
	s.mu.Lock()
	defer s.mu.Unlock()
	answering := 0
	for _, vm := range vms {
		if lane := s.lanes[vm]; lane == nil || !lane.silent() {
			answering++
		}
	}
	holding := &recordHolding{missing: min(recordQuorum, answering), done: make(chan struct{})}
	if holding.missing == 0 {
		close(holding.done)
	}
	for _, vm := range vms {
		lane := s.lanes[vm]
		if lane == nil {
			lane = &recordLane{}
			s.lanes[vm] = lane
		}
		lane.queue = append(lane.queue, queuedRecord{r, time.Now().Add(r.TTL), holding})
		lane.queue = lane.queue[max(0, len(lane.queue)-maxQueuedRecords):]
	}
	s.signal.raise()
	return holding.done
}

// holdersOf returns the control VMs that hold the record with a key, by rendezvous hashing.
func holdersOf(k streamversion.Key, controls []string) []string {
	rank := func(vm string) uint64 { return xxhash.Sum64String(string(k[:]) + vm) }
	out := slices.SortedFunc(slices.Values(controls), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return out[:min(len(out), recordHolders)]
}

// RunRecords sends records to control VMs until ctx ends.
func (m *Member) RunRecords(ctx context.Context) {
	m.records.signal.each(ctx, func(ctx context.Context) {
		for vm, batch := range m.records.takeBatches(time.Now()) {
			go m.sendRecords(ctx, vm, batch)
		}
	})
}

// takeBatches returns the next message of each lane that has records and may send one.
func (s *recordSender) takeBatches(now time.Time) map[string][]queuedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]queuedRecord{}
	for vm, lane := range s.lanes {
		lane.queue = slices.DeleteFunc(lane.queue, func(q queuedRecord) bool { return !now.Before(q.expires) })
		if batch := lane.take(now); len(batch) > 0 {
			out[vm] = batch
		}
	}
	return out
}

// take removes the records of the next message from a lane; empty: none may be sent now.
func (l *recordLane) take(now time.Time) []queuedRecord {
	n := len(l.queue)
	switch {
	case now.Before(l.pausedTo) || l.underWay >= maxRecordMessages:
		n = 0
	case l.silent():
		n = min(n, 1-min(1, l.underWay))
	}
	if n == 0 {
		return nil
	}
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.underWay++
	return batch
}

// sendRecords sends a message to a control VM. The records of one that is not answered are sent
// again.
func (m *Member) sendRecords(ctx context.Context, vm string, batch []queuedRecord) {
	records := make([]streamversion.Record, len(batch))
	for i := range batch {
		records[i] = batch[i].record
		records[i].TTL = max(0, time.Until(batch[i].expires))
	}
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	err := m.t.Call(callCtx, vm, peer.KindStreamVersions, streamversion.Pack(records), nil)
	cancel()
	s := m.records
	if err == nil {
		if s.answered(vm, batch) {
			m.log.Info().Str("control", vm).Msg("control VM takes records of streams' versions again")
		}
		s.signal.raise()
		return
	}
	pause, first := s.unanswered(vm, batch, time.Now())
	if first {
		m.log.Warn().Err(err).Str("control", vm).Int("records", len(batch)).Msg("control VM does not take records of streams' versions; they are sent again")
	}
	time.AfterFunc(pause, s.signal.raise)
}

// answered counts the control VM among the holders of a batch. It reports whether the VM had not
// answered before.
func (s *recordSender) answered(vm string, batch []queuedRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range batch {
		batch[i].holders.count()
	}
	lane := s.lanes[vm]
	had := lane.failed > 0
	lane.underWay--
	lane.failed, lane.pausedTo = 0, time.Time{}
	return had
}

// unanswered puts a batch in front of a lane whose control VM did not answer. It returns the pause
// before its next message, and whether this is the first one that was not answered.
func (s *recordSender) unanswered(vm string, batch []queuedRecord, now time.Time) (pause time.Duration, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lane := s.lanes[vm]
	lane.queue = slices.Concat(batch, lane.queue)
	lane.queue = lane.queue[max(0, len(lane.queue)-maxQueuedRecords):]
	lane.underWay--
	lane.failed++
	pause = minRecordPause
	for range lane.failed - silentMessages {
		pause = min(2*pause, maxRecordPause)
	}
	lane.pausedTo = now.Add(pause)
	return pause, lane.failed == 1
}

// Find implements forward.Origins. It asks all control VMs at once, since the record's holders may
// have been others when it was made.
func (m *Member) Find(ctx context.Context, k streamversion.Key) (streamversion.Origin, streamversion.Finding, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	controls := m.Controls()
	type answer struct {
		FindVersionReply
		err error
	}
	answers := make(chan answer, len(controls))
	for _, vm := range controls {
		go func() {
			var a answer
			a.err = m.t.Call(ctx, vm, peer.KindFindStreamVersion, k, &a.FindVersionReply)
			answers <- a
		}()
	}
	all := len(controls) > 0
	for range controls {
		a := <-answers
		if a.err == nil && a.Finding != streamversion.Unknown {
			return a.Origin, a.Finding, true
		}
		all = all && a.err == nil
	}
	return streamversion.Origin{}, streamversion.Unknown, all
}
