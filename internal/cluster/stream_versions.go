package cluster

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
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
	// records in memory.
	syncPatience = 100 * time.Millisecond
	// slowDiskRetry separates two messages of a record that a control VM has not synced, and
	// slowDiskTime is how long after the first one they are sent.
	slowDiskRetry = 50 * time.Millisecond
	slowDiskTime  = 2 * time.Second
)

// Durability is how a control VM holds records.
type Durability uint8

// Durabilities.
const (
	Synced   Durability = iota // on disk. Former releases answer so in each case
	Unsynced                   // the disk has not finished yet
	InMemory                   // there is no disk, or it fails
)

// String implements fmt.Stringer.
func (d Durability) String() string {
	return [...]string{"synced", "unsynced", "in memory"}[min(int(d), 2)]
}

// RecordsReply is the answer to records of streams' versions.
type RecordsReply struct {
	Durability Durability `cbor:"1,keyasint,omitempty"`
}

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
		return RecordsReply{h.recorded.add(awaitSync(ctx, store.Put(records)))}, nil
	})
	t.Handle(peer.KindFindStreamVersion, func(_ context.Context, _ string, body []byte) (any, error) {
		var key streamversion.Key
		if err := codec.Unmarshal(body, &key); err != nil {
			return nil, err
		}
		origin, finding, err := store.Find(key)
		return FindVersionReply{finding, origin}, err
	})
	t.Handle(peer.KindCountStreams, func(_ context.Context, _ string, body []byte) (any, error) {
		var content uint32
		if err := codec.Unmarshal(body, &content); err != nil {
			return nil, err
		}
		return store.Streams(content)
	})
}

// recordedCounts counts the messages of records that a control VM answered, by Durability.
type recordedCounts [3]atomic.Uint64

func (c *recordedCounts) add(d Durability) Durability {
	c[d].Add(1)
	return d
}

// RecordMessages returns how many messages of records were answered with a Durability.
func (h *Hub) RecordMessages(d Durability) uint64 { return h.recorded[d].Load() }

// awaitSync waits for the result of Store.Put.
func awaitSync(ctx context.Context, synced <-chan bool) Durability {
	if synced == nil {
		return InMemory
	}
	patience := time.NewTimer(syncPatience)
	defer patience.Stop()
	select {
	case ok := <-synced:
		if ok {
			return Synced
		}
		return InMemory
	case <-patience.C:
	case <-ctx.Done():
	}
	return Unsynced
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
	synced int // control VMs that have it on disk
	able   int // control VMs that may have it there, or will, as far as is known
	since  time.Time
	done   chan struct{} // closed once no more is to be waited for
	ended  bool
	slow   chan struct{} // closed once a control VM waits for its disk
	isSlow bool
}

func newRecordHolding(able int, now time.Time) *recordHolding {
	c := &recordHolding{able: able, since: now, done: make(chan struct{}), slow: make(chan struct{})}
	c.check()
	return c
}

func newRecordSender() *recordSender {
	return &recordSender{signal: newSignal(), lanes: map[string]*recordLane{}}
}

// answered counts the answer of a control VM. It reports whether the record must be sent there
// again.
func (c *recordHolding) answered(d Durability, now time.Time) (again bool) {
	switch d {
	case Synced:
		c.synced++
	case InMemory:
		c.able--
	case Unsynced:
		if !c.isSlow {
			c.isSlow = true
			close(c.slow)
		}
		return !c.ended && now.Sub(c.since) < slowDiskTime
	}
	c.check()
	return false
}

func (c *recordHolding) check() {
	if !c.ended && c.synced >= min(recordQuorum, c.able) {
		c.ended = true
		close(c.done)
	}
}

// Record implements forward.Origins. Control VMs that do not answer are not awaited.
func (m *Member) Record(r streamversion.Record) forward.RecordWait {
	vms := holdersOf(placeOf(&r), m.Controls())
	s := m.records
	s.mu.Lock()
	defer s.mu.Unlock()
	answering := 0
	for _, vm := range vms {
		if lane := s.lanes[vm]; lane == nil || !lane.silent() {
			answering++
		}
	}
	now := time.Now()
	holding := newRecordHolding(answering, now)
	for _, vm := range vms {
		lane := s.lanes[vm]
		if lane == nil {
			lane = &recordLane{}
			s.lanes[vm] = lane
		}
		lane.queue = append(lane.queue, queuedRecord{r, now.Add(r.TTL), holding})
		lane.queue = lane.queue[max(0, len(lane.queue)-maxQueuedRecords):]
	}
	s.signal.raise()
	return forward.RecordWait{Held: holding.done, DiskIsSlow: holding.slow}
}

// placeOf returns what decides which control VMs hold a record. Those of streams with equal
// content have the same holders, which can count them.
func placeOf(r *streamversion.Record) string {
	if r.Content != 0 {
		return placeOfContent(r.Content)
	}
	return string(r.Key[:])
}

func placeOfContent(content uint32) string {
	return string(binary.BigEndian.AppendUint32(nil, content))
}

// holdersOf returns the control VMs that hold the records of a place, by rendezvous hashing.
func holdersOf(place string, controls []string) []string {
	rank := func(vm string) uint64 { return xxhash.Sum64String(place + vm) }
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
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	var reply RecordsReply
	err := m.t.Call(callCtx, vm, peer.KindStreamVersions, streamversion.Pack(records), &reply)
	cancel()
	s := m.records
	if err == nil {
		again, wasSilent := s.answered(vm, batch, reply.Durability, time.Now())
		if len(again) > 0 {
			time.AfterFunc(slowDiskRetry, func() { s.sendAgain(vm, again) })
		}
		if wasSilent {
			m.log.Info().Str("control", vm).Msg("control VM takes records of streams' versions again")
		}
		s.signal.raise()
		return
	}
	if time.Since(began) > 2*recordTimeout {
		s.stalled(vm, batch)
		return
	}
	pause, first := s.unanswered(vm, batch, time.Now())
	if first {
		m.log.Warn().Err(err).Str("control", vm).Int("records", len(batch)).Msg("control VM does not take records of streams' versions; they are sent again")
	}
	time.AfterFunc(pause, s.signal.raise)
}

// answered counts the control VM among the holders of a batch. It returns the records that must
// be sent again, and whether the VM had not answered before.
func (s *recordSender) answered(vm string, batch []queuedRecord, d Durability, now time.Time) (again []queuedRecord, wasSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range batch {
		if batch[i].holders.answered(d, now) {
			again = append(again, batch[i])
		}
	}
	lane := s.lanes[vm]
	wasSilent = lane.failed > 0
	lane.underWay--
	lane.failed, lane.pausedTo = 0, time.Time{}
	return again, wasSilent
}

// sendAgain puts records in front of a lane.
func (s *recordSender) sendAgain(vm string, batch []queuedRecord) {
	s.mu.Lock()
	s.lanes[vm].prepend(batch)
	s.mu.Unlock()
	s.signal.raise()
}

// stalled puts a batch in front of a lane whose answer came too late to tell anything of the
// control VM: this process stood still.
func (s *recordSender) stalled(vm string, batch []queuedRecord) {
	s.mu.Lock()
	s.lanes[vm].underWay--
	s.mu.Unlock()
	s.sendAgain(vm, batch)
}

func (l *recordLane) prepend(batch []queuedRecord) {
	l.queue = slices.Concat(batch, l.queue)
	l.queue = l.queue[max(0, len(l.queue)-maxQueuedRecords):]
}

// unanswered puts a batch in front of a lane whose control VM did not answer. It returns the pause
// before its next message, and whether this is the first one that was not answered.
func (s *recordSender) unanswered(vm string, batch []queuedRecord, now time.Time) (pause time.Duration, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lane := s.lanes[vm]
	lane.prepend(batch)
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
		vm  string
		err error
	}
	answers := make(chan answer, len(controls))
	for _, vm := range controls {
		go func() {
			a := answer{vm: vm}
			a.err = m.t.Call(ctx, vm, peer.KindFindStreamVersion, k, &a.FindVersionReply)
			answers <- a
		}()
	}
	all, silent := len(controls) > 0, []string(nil)
	for range controls {
		a := <-answers
		if a.err == nil && a.Finding != streamversion.Unknown {
			return a.Origin, a.Finding, true
		}
		if a.err != nil {
			all, silent = false, append(silent, a.vm)
		}
	}
	m.log.Info().Hex("key", k[:]).Strs("asked", controls).Strs("not_answered", silent).Msg("no control VM that answered holds the record of a stream")
	return streamversion.Origin{}, streamversion.Unknown, all
}
