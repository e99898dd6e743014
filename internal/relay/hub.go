package relay

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Hub holds the generations of one VM: those it owns, and the journals it keeps
// for others.
type Hub struct {
	cfg       Config
	transport peer.Transport
	members   Members
	engines   Engines
	router    Router
	admission Admission
	quota     Quota
	note      NoteFunc
	log       zerolog.Logger
	metrics   *expvar.Map
	journals  *journals
	recovery  *recoverer
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	runs    map[generation.RequestID]*Run
	opening map[generation.RequestID]*opening

	keeperMu sync.Mutex
	keeper   *generation.Keeper
}

type opening struct {
	done  chan struct{}
	found found
	err   error
}

// found is where a generation was found: the run of this VM, or its owner.
type found struct {
	run   *Run
	owner string
	req   *generation.Request
}

// Deps are what a Hub works with.
type Deps struct {
	Transport peer.Transport
	Members   Members
	Engines   Engines
	Router    Router
	Log       zerolog.Logger
	Metrics   *expvar.Map
	Admission Admission // nil: every request starts at once
	Quota     Quota     // nil: nothing is charged
	Note      NoteFunc  // nil: nothing is recorded
}

// NewHub returns a Hub and registers its message handlers.
func NewHub(cfg Config, d Deps) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		cfg: cfg, transport: d.Transport, members: d.Members, engines: d.Engines, router: d.Router,
		admission: d.Admission, quota: d.Quota, note: noteOr(d.Note), log: d.Log, metrics: d.Metrics, ctx: ctx, cancel: cancel,
		runs: map[generation.RequestID]*Run{}, opening: map[generation.RequestID]*opening{},
		keeper: generation.NewKeeper(),
	}
	h.journals = newJournals(ctx, d.Transport)
	h.recovery = newRecoverer(h)
	d.Transport.Handle(peer.KindBlame, h.recovery.handleBlame)
	d.Transport.Handle(peer.KindJournal, h.handleWrites)
	d.Transport.Handle(peer.KindPromise, h.handlePromise)
	d.Transport.Handle(peer.KindFollow, h.handleFollow)
	return h
}

// Close stops every run at once, as a dying VM does.
func (h *Hub) Close() { h.cancel() }

// Open finds or starts the generation of a request. A request that resumes
// (resuming: the caller named an event) is never started anew.
func (h *Hub) Open(ctx context.Context, req generation.Request, resuming bool) (*Reader, error) {
	o, first := h.enter(req.ID)
	if first {
		o.found, o.err = h.open(ctx, req, resuming)
		h.mu.Lock()
		delete(h.opening, req.ID)
		h.mu.Unlock()
		close(o.done)
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if o.err != nil {
		return nil, o.err
	}
	if o.found.req.ContentDigest() != req.ContentDigest() {
		return nil, result.New(result.KeyReused)
	}
	if o.found.run != nil {
		o.found.run.join()
	}
	return &Reader{hub: h, req: *o.found.req, local: o.found.run, owner: o.found.owner}, nil
}

// enter returns the opening of a request: callers that come at once share it.
func (h *Hub) enter(id generation.RequestID) (*opening, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if run := h.runs[id]; run != nil {
		done := make(chan struct{})
		close(done)
		return &opening{done: done, found: found{run: run, req: run.Request()}}, false
	}
	if o := h.opening[id]; o != nil {
		return o, false
	}
	o := &opening{done: make(chan struct{})}
	h.opening[id] = o
	return o, true
}

const openAttempts = 5

func (h *Hub) open(ctx context.Context, req generation.Request, resuming bool) (found, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.OpenTimeout)
	defer cancel()
	for range openAttempts {
		f, err := h.openOnce(ctx, req, resuming)
		if !errors.Is(err, generation.ErrDeposed) {
			return f, err
		}
	}
	return found{}, result.New(result.KeepersUnavail)
}

func (h *Hub) openOnce(ctx context.Context, req generation.Request, resuming bool) (found, error) {
	keepers := generation.Place(req.ID, h.members.Candidates())
	epoch := generation.Epoch{Round: 1, VM: h.cfg.Epoch}
	first := generation.Promise{ID: req.ID, Epoch: epoch, IfAbsent: !resuming, Peek: resuming}
	replies, err := h.promise(ctx, keepers, first)
	if err != nil {
		return found{}, err
	}
	if !resuming && replies.Ready() {
		return h.own(ctx, generation.NewOwner(req, epoch, keepers, generation.Journal{}), keepers, false)
	}
	if resuming && replies.Max.IsZero() {
		return found{}, result.New(result.NotFound)
	}
	if vm, accepted := h.probe(ctx, req.ID, replies.Max.VM); accepted != nil {
		return found{owner: vm, req: accepted}, nil
	}
	return h.takeOver(ctx, req, keepers, replies.Max, resuming)
}

func (h *Hub) takeOver(ctx context.Context, req generation.Request, keepers []string, seen generation.Epoch, resuming bool) (found, error) {
	epoch := generation.Epoch{Round: seen.Round + 1, VM: h.cfg.Epoch}
	replies, err := h.promise(ctx, keepers, generation.Promise{ID: req.ID, Epoch: epoch})
	if err != nil {
		return found{}, err
	}
	if !replies.Ready() {
		return found{}, generation.ErrDeposed
	}
	best, ok := replies.Best()
	if !ok && resuming {
		return found{}, result.New(result.JournalLost)
	}
	if ok {
		req = *best.Request
	}
	h.metrics.Add("takeovers", 1)
	return h.own(ctx, generation.NewOwner(req, epoch, keepers, best.Journal), keepers, ok)
}

// own installs the journal on its keepers and starts driving it. accepted tells
// that the journal had been accepted before.
func (h *Hub) own(ctx context.Context, owner *generation.Owner, keepers []string, accepted bool) (found, error) {
	run := newRun(h, owner, keepers)
	if err := run.enter(ctx, accepted); err != nil {
		return found{}, err
	}
	rctx, cancel := context.WithCancel(h.ctx)
	run.cancel = cancel
	h.journals.mark(run)
	if err := run.accepted(ctx); err != nil {
		cancel()
		run.release()
		return found{}, err
	}
	h.mu.Lock()
	h.runs[owner.Request.ID] = run
	h.mu.Unlock()
	if owner.Journal().Finish == "" {
		go run.drive(rctx)
	} else {
		run.release()
	}
	go h.watch(rctx, run)
	return found{run: run, req: run.Request()}, nil
}

const watchEvery = 500 * time.Millisecond

// watch cancels a run that nobody has read for CallerKeep, and forgets it.
func (h *Hub) watch(ctx context.Context, run *Run) {
	defer h.forget(run)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		run.mu.Lock()
		idle := run.readers == 0 && !run.vacant.IsZero() && time.Since(run.vacant) >= h.cfg.CallerKeep
		run.mu.Unlock()
		if idle {
			run.stop(result.New(result.CallerGone))
			return
		}
	}
}

func (h *Hub) forget(run *Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id := run.owner.Request.ID; h.runs[id] == run {
		delete(h.runs, id)
	}
}

// promise asks all keepers and returns once a majority has answered OK, or all
// have answered.
func (h *Hub) promise(ctx context.Context, keepers []string, p generation.Promise) (*generation.Replies, error) {
	type answer struct {
		vm    string
		reply generation.PromiseReply
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	answers := make(chan answer, len(keepers))
	for _, vm := range keepers {
		go func() {
			var reply generation.PromiseReply
			err := h.transport.Call(ctx, vm, peer.KindPromise, p, &reply)
			answers <- answer{vm, reply, err}
		}()
	}
	replies := generation.NewReplies(len(keepers))
	heard := 0
	for range keepers {
		a := <-answers
		if a.err != nil {
			continue
		}
		heard++
		replies.Add(a.vm, a.reply)
		if replies.Ready() {
			break
		}
	}
	if heard < replies.Need {
		return nil, result.New(result.KeepersUnavail)
	}
	return replies, nil
}

func (h *Hub) handleWrites(_ context.Context, _ string, body []byte) (any, error) {
	var batch WriteBatch
	if err := peer.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	h.keeperMu.Lock()
	defer h.keeperMu.Unlock()
	var out WriteReplies
	for _, w := range batch.Writes {
		out.Replies = append(out.Replies, h.keeper.Write(w))
	}
	return out, nil
}

func (h *Hub) handlePromise(_ context.Context, _ string, body []byte) (any, error) {
	var p generation.Promise
	if err := peer.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	h.keeperMu.Lock()
	defer h.keeperMu.Unlock()
	return h.keeper.Promise(p), nil
}

// vmOf returns the VM of a name used in epochs.
func vmOf(epochVM string) string {
	vm, _, _ := strings.Cut(epochVM, "#")
	return vm
}

// Run returns a generation owned by this VM, or nil.
func (h *Hub) Run(id generation.RequestID) *Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}
