package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/result"

	"go.opentelemetry.io/otel/trace"
)

// Chunk is a span of released tokens. Prefix is the digest of the tokens before the
// span. Finish and Usage are set once the chunk reaches the end of the answer.
type Chunk struct {
	Prefix uint64           `cbor:"4,keyasint"`
	Span   generation.Span  `cbor:"1,keyasint"`
	Finish string           `cbor:"2,keyasint,omitempty"`
	Usage  generation.Usage `cbor:"3,keyasint"`
}

// maxChunkTokens bounds how much one read copies. A slow reader that returns to a long
// journal costs no more memory than a fast one.
const maxChunkTokens = 256

// Stats counts the extra work of one generation, compared with a single uninterrupted
// attempt.
type Stats struct {
	Attempts      int
	ExtraPrefill  int // tokens recomputed by resumed attempts and hedges
	ExtraDecoded  int // tokens generated and discarded
	ResumeLatency []time.Duration
}

// Run is a generation that this VM owns.
type Run struct {
	hub    *Hub
	log    zerolog.Logger
	cancel context.CancelFunc
	ticket Ticket
	settle func(ran bool, tokens int) // nil: nothing was reserved on this VM
	source *generation.Source         // stream that the former owner left running; used only by drive

	targets atomic.Pointer[[]*target] // the links to its keepers

	mu              sync.Mutex
	owner           *generation.Owner
	changed         chan struct{}
	err             error
	readers         int
	unreadSince     time.Time // when the last reader left
	stats           Stats
	failedEngines   []string // engines that failed this request
	current         int      // number of the attempt that appended last
	rejections      int      // engines that rejected the request as invalid
	adapterRefusals int      // engines that do not serve the request's adapter
	lostAt          time.Time
	resumeSpan      trace.Span // from lostAt to the next token
	digests         []uint64   // prefix digests of the first 0, 1, 2... tokens

	seenVersion uint64 // version of the list of VMs for which the keepers were last checked
	moving      bool
}

func newRun(h *Hub, owner *generation.Owner) *Run {
	r := &Run{
		hub: h, owner: owner, changed: make(chan struct{}), digests: []uint64{0}, unreadSince: time.Now(),
		seenVersion: owner.Epoch.Version,
		log:         h.log.With().Str("request_id", owner.Request.ID.Key).Str("workspace", owner.Request.ID.Workspace).Logger(),
	}
	r.targets.Store(h.replicator.targets(r, owner.KeeperSet().Keepers))
	return r
}

// Request returns the request as it was accepted.
func (r *Run) Request() *generation.Request { return &r.owner.Request }

// keepers returns the VMs of the journal's current keeper set.
func (r *Run) keepers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.owner.KeeperSet()
	out := make([]string, 0, len(set.Keepers))
	for _, k := range set.Keepers {
		out = append(out, k.VM)
	}
	return out
}

// stopped reports whether the run was stopped. A run that finished normally was not.
func (r *Run) stopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err != nil
}

func (r *Run) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _, done := r.owner.Finished()
	return done
}

func (r *Run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.unreadSince = time.Now()
	}
}

func (r *Run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// Wait returns the released tokens that start at index from. It blocks until there is
// at least one, the answer has ended, or ctx is done.
func (r *Run) Wait(ctx context.Context, from int) (Chunk, error) {
	touch := uint64(0)
	for {
		if touch == 0 && r.beyondJournal(from) {
			touch = r.touch()
		}
		chunk, ready, changed, err := r.read(from, touch)
		if err != nil || ready {
			return chunk, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return chunk, ctx.Err()
		case <-r.hub.ctx.Done():
			return chunk, result.New(result.ShuttingDown)
		}
	}
}

// digest returns the prefix digest of the first n tokens. It needs r.mu.
func (r *Run) digest(n int) uint64 {
	j := r.owner.Journal()
	for i := len(r.digests); i <= n; i++ {
		r.digests = append(r.digests, generation.PrefixDigest(r.digests[i-1], j.Tokens[i-1]))
	}
	return r.digests[n]
}

// beyondJournal reports whether a caller's index is beyond the journal's end. The index
// may be valid: a VM that was paused or partitioned does not know yet that another VM
// has taken over and continued the answer. The index is therefore refused only after a
// majority of the keepers has confirmed this owner.
func (r *Run) beyondJournal(from int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return from > r.owner.Journal().Len()
}

func (r *Run) read(from int, touch uint64) (Chunk, bool, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	released := r.owner.Released()
	j := r.owner.Journal()
	if from > j.Len() {
		if r.err == nil && touch > 0 && r.owner.ConfirmedTouch() >= touch {
			return Chunk{}, false, nil, result.New(result.BadLastEventID)
		}
		return Chunk{}, false, r.changed, r.err
	}
	chunk := Chunk{Span: generation.Span{From: from}, Prefix: r.digest(from)}
	end := min(released, from+maxChunkTokens)
	if from < end {
		chunk.Span.Tokens = slices.Clone(j.Tokens[from:end])
		chunk.Span.Texts = slices.Clone(j.Texts[from:end])
	}
	finish, usage, done := r.owner.Finished()
	done = done && max(from, end) == released
	if done {
		chunk.Finish, chunk.Usage = finish, usage
	}
	if len(chunk.Span.Tokens) > 0 || done {
		return chunk, true, nil, nil
	}
	return chunk, false, r.changed, r.err
}

// update runs f under the lock and wakes readers if the visible state has changed.
func (r *Run) update(f func() error) error {
	_, _, err := r.change(f)
	return err
}

// change does the same as update and returns the visible state before and after f.
func (r *Run) change(f func() error) (before, after visible, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.visible()
	err = f()
	after = r.visible()
	if after != before {
		r.wake()
	}
	return before, after, err
}

// visible is the state on which waiting readers and openers depend.
type visible struct {
	released           int
	accepted, finished bool
	deposed            bool
	touched            uint64
}

func (r *Run) visible() visible {
	_, _, finished := r.owner.Finished()
	return visible{r.owner.Released(), r.owner.Accepted(), finished, r.owner.Deposed(), r.owner.ConfirmedTouch()}
}

// wake wakes all waiting readers and openers. It needs r.mu.
func (r *Run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Run) next(vm string) (generation.Write, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return generation.Write{}, false
	}
	return r.owner.NextWrite(vm, maxWriteTokens)
}

// ack applies a keeper's reply. It reports whether the keeper needs more writes now,
// and whether it refused the write and should be retried later.
func (r *Run) ack(vm string, reply generation.WriteReply) (more, later bool) {
	before, after, err := r.change(func() error { return r.owner.Ack(vm, reply) })
	var broken *generation.InvariantError
	switch {
	case errors.As(err, &broken):
		r.hub.invariantBroken(r.owner.Request.ID)
		r.stop(result.New(result.InvariantBroken))
		return false, false
	case errors.Is(err, generation.ErrKeepersMoved):
		r.mu.Lock()
		r.seenVersion = 0
		r.mu.Unlock()
		return false, true
	case err != nil:
		r.stop(err)
		return false, false
	}
	if after.finished && !before.finished {
		r.hub.note(r.Request().ID, explain.Finished, fmt.Sprintf("after %d tokens", after.released))
	}
	if reply.Reserved || after.accepted != before.accepted || after.touched != before.touched {
		r.hub.replicator.mark(r) // writes that waited for this change may be due now
	}
	if !reply.OK() && reply.Refusal != generation.NeedsInstall {
		return false, true
	}
	_, more = r.next(vm)
	return more, false
}

// stop ends the run, and its readers receive err. The first error is kept.
func (r *Run) stop(err error) {
	r.mu.Lock()
	if r.err == nil {
		r.err = err
	}
	r.wake()
	r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// accepted waits until a majority of the keepers holds the request.
func (r *Run) accepted(ctx context.Context) error {
	for {
		r.mu.Lock()
		ok, deposed, changed := r.owner.Accepted(), r.owner.Deposed(), r.changed
		r.mu.Unlock()
		switch {
		case deposed:
			return generation.ErrDeposed
		case ok:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return unavailable()
		}
	}
}

// Stats returns the extra work of the run so far.
func (r *Run) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.ResumeLatency = slices.Clone(s.ResumeLatency)
	return s
}
