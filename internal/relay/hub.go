package relay

import (
	"context"
	"expvar"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Hub holds the generations that one VM owns and the journals that it keeps for
// other VMs.
type Hub struct {
	cfg        Config
	transport  peer.Transport
	members    Members
	engines    Engines
	router     Router
	admission  Admission
	quota      Quota
	note       NoteFunc
	tracer     Tracer
	log        zerolog.Logger
	metrics    *expvar.Map
	replicator *replicator
	recovery   *recoverer
	ctx        context.Context
	cancel     context.CancelFunc
	lastRound  atomic.Uint64 // the highest round that this VM has used in an epoch
	draining   atomic.Bool

	mu      sync.Mutex
	runs    map[generation.RequestID]*Run
	opening map[generation.RequestID]*opening

	keeperMu sync.Mutex
	keeper   *generation.Keeper
}

// opening is the opening of a generation that is in progress on this VM.
type opening struct {
	done     chan struct{}
	location location
	err      error
}

// location is where a generation was found: a run of this VM, or the VM that owns it.
// req is the request as it was accepted.
type location struct {
	run   *Run
	owner string
	req   *generation.Request
}

// Deps are the components that a Hub uses.
type Deps struct {
	Transport peer.Transport
	Members   Members
	Engines   Engines
	Router    Router
	Log       zerolog.Logger
	Metrics   *expvar.Map
	Admission Admission // nil: every request starts immediately
	Quota     Quota     // nil: nothing is charged
	Note      NoteFunc  // nil: nothing is recorded
	Tracer    Tracer    // nil: no spans
}

// NewHub returns a Hub and registers its message handlers.
func NewHub(cfg Config, d Deps) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		cfg: cfg, transport: d.Transport, members: d.Members, engines: d.Engines, router: d.Router,
		admission: d.Admission, quota: d.Quota, note: noteFuncOrNop(d.Note), tracer: d.Tracer, log: d.Log, metrics: d.Metrics, ctx: ctx, cancel: cancel,
		runs: map[generation.RequestID]*Run{}, opening: map[generation.RequestID]*opening{},
		keeper: generation.NewKeeper(cfg.Incarnation, cfg.Limits),
	}
	h.replicator = newReplicator(ctx, d.Transport, cfg.VM, h.write)
	h.recovery = newRecoverer(h)
	d.Transport.Handle(peer.KindPoisonSuspicion, h.recovery.handleReport)
	d.Transport.Handle(peer.KindJournal, h.handleWrites)
	d.Transport.Handle(peer.KindPromise, h.handlePromise)
	d.Transport.Handle(peer.KindFollow, h.handleFollow)
	d.Transport.Handle(peer.KindAdopt, h.handleAdopt)
	go h.maintain()
	return h
}

// Close stops every run immediately, without a handover.
func (h *Hub) Close() { h.cancel() }

// Open finds or starts the generation of a request. With resuming, the caller has
// named the last event that it received, and no new generation is started.
func (h *Hub) Open(ctx context.Context, req generation.Request, resuming bool) (*Reader, error) {
	if h.draining.Load() {
		err := result.New(result.ShuttingDown)
		if resuming {
			err.Ran = result.RanYes
		}
		return nil, err
	}
	return h.read(ctx, req, resuming)
}

func (h *Hub) read(ctx context.Context, req generation.Request, resuming bool) (*Reader, error) {
	found, err := h.openShared(ctx, req.ID, func(ctx context.Context) (location, error) {
		return h.open(ctx, req, resuming)
	})
	if err != nil {
		return nil, err
	}
	if found.req.ContentDigest() != req.ContentDigest() {
		return nil, result.New(result.KeyReused)
	}
	if found.run != nil {
		found.run.addReader()
	}
	return &Reader{hub: h, req: *found.req, local: found.run, owner: found.owner}, nil
}

// openShared runs f once for all concurrent callers of one request, or returns the
// run that already exists. f does not end when the first caller's context does,
// because the other callers wait for its result.
func (h *Hub) openShared(ctx context.Context, id generation.RequestID, f func(context.Context) (location, error)) (location, error) {
	o, first := h.findOrBeginOpening(id)
	if first {
		go func() {
			octx, cancel := context.WithTimeout(h.ctx, h.cfg.OpenTimeout)
			defer cancel()
			o.location, o.err = f(octx)
			h.mu.Lock()
			delete(h.opening, id)
			h.mu.Unlock()
			close(o.done)
		}()
	}
	select {
	case <-o.done:
		return o.location, o.err
	case <-ctx.Done():
		return location{}, ctx.Err()
	}
}

func (h *Hub) findOrBeginOpening(id generation.RequestID) (*opening, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if run := h.runs[id]; run != nil && !run.stopped() {
		done := make(chan struct{})
		close(done)
		return &opening{done: done, location: location{run: run, req: run.Request()}}, false
	}
	if o := h.opening[id]; o != nil {
		return o, false
	}
	o := &opening{done: make(chan struct{})}
	h.opening[id] = o
	return o, true
}

func (h *Hub) isOpening(id generation.RequestID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opening[id] != nil
}

func (h *Hub) forget(run *Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id := run.owner.Request.ID; h.runs[id] == run {
		delete(h.runs, id)
	}
}

// Run returns the generation with this id if this VM owns it, and nil otherwise.
func (h *Hub) Run(id generation.RequestID) *Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *Hub) owned() []*Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*Run, 0, len(h.runs))
	for _, run := range h.runs {
		out = append(out, run)
	}
	return out
}

// vmOf returns the VM of a name that is used in epochs.
func vmOf(epochVM string) string {
	vm, _, _ := strings.Cut(epochVM, "#")
	return vm
}
