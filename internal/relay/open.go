package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"

	"go.opentelemetry.io/otel/attribute"
)

// Constants of an opening. Two VMs that receive the same key at the same time
// propose competing epochs. The backoff between proposals is random and doubles, and
// after a few rounds one VM has the milliseconds that it needs without interference.
const (
	openAttempts        = 8
	triesBeforeTakeover = 6 // proposals before an opening that another VM has in progress is taken over
	minBackoff          = 5 * time.Millisecond
	maxBackoff          = 320 * time.Millisecond
	viewPollInterval    = 20 * time.Millisecond
)

// errContended means that another VM is opening the same journal with a higher
// epoch. Deposing it would discard its work and gain nothing.
var errContended = errors.New("relay: another VM opens the journal")

func (h *Hub) open(ctx context.Context, req generation.Request, resuming bool) (location, error) {
	for try := range openAttempts {
		found, err := h.openOnce(ctx, req, resuming, try)
		if !errors.Is(err, generation.ErrDeposed) && !errors.Is(err, errContended) {
			return found, err
		}
		h.metrics.Add("open_retries", 1)
		if backOff(ctx, try) != nil {
			break
		}
	}
	return location{}, unavailable()
}

// unavailable returns the refusal for the case that too few keepers answered. The
// request may be the resend of a running one that only the silent keepers know.
// Without an answer from every needed keeper, the refusal cannot promise that the
// request did not run.
func unavailable() *result.Error {
	return result.New(result.KeepersUnavail).WithRan(result.RanUnknown)
}

func backOff(ctx context.Context, try int) error {
	ceiling := min(maxBackoff, minBackoff<<try)
	timer := time.NewTimer(ceiling/2 + rand.N(ceiling))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// opener holds the state of one proposal: the keeper sets of the request and the
// list of VMs from which they are derived.
type opener struct {
	h          *Hub
	req        generation.Request
	keeperSets []generation.KeeperSet
	newest     generation.Membership
	resume     bool
}

func (h *Hub) opener(req generation.Request, resuming bool) *opener {
	views := h.members.Views()
	return &opener{h: h, req: req, keeperSets: generation.KeeperSets(req.ID, views), newest: views[0], resume: resuming}
}

// nextEpoch returns an epoch that is higher than seen and that this VM has never used
// before. Two owners in one epoch would write two answers that no keeper could tell
// apart.
func (o *opener) nextEpoch(seen generation.Epoch) generation.Epoch {
	for {
		last := o.h.lastRound.Load()
		next := max(last, seen.Round) + 1
		if o.h.lastRound.CompareAndSwap(last, next) {
			return generation.Epoch{Version: o.newest.Version, Round: next, VM: o.h.cfg.EpochVM}
		}
	}
}

func (h *Hub) openOnce(ctx context.Context, req generation.Request, resuming bool, try int) (location, error) {
	o := h.opener(req, resuming)
	epoch := o.nextEpoch(generation.Epoch{})
	first := generation.Promise{ID: req.ID, Epoch: epoch, IfAbsent: !resuming, Peek: resuming}
	replies, err := o.requestPromises(ctx, first)
	if err != nil {
		return location{}, err
	}
	if !resuming && replies.Ready() {
		return o.becomeOwner(ctx, epoch, replies, generation.PromiseReply{})
	}
	if resuming && replies.Ready() && replies.MaxEpoch.IsZero() {
		return location{}, result.New(result.NotFound)
	}
	owner := h.probe(ctx, req.ID, replies.MaxEpoch.VM)
	if owner.Request != nil {
		h.note(req.ID, explain.Followed, "read from its owner "+vmOf(replies.MaxEpoch.VM))
		return location{owner: vmOf(replies.MaxEpoch.VM), req: owner.Request}, nil
	}
	if owner.Opening && try < triesBeforeTakeover {
		return location{}, errContended
	}
	return o.takeOver(ctx, replies.MaxEpoch)
}

// takeOver seals the journal against every lower epoch and continues it on this VM.
func (o *opener) takeOver(ctx context.Context, seen generation.Epoch) (location, error) {
	if seen.Version > o.newest.Version {
		if err := o.h.awaitView(ctx, seen.Version); err != nil {
			return location{}, err
		}
		return location{}, generation.ErrDeposed // the caller retries with the newer list
	}
	epoch := o.nextEpoch(seen)
	replies, err := o.requestPromises(ctx, generation.Promise{ID: o.req.ID, Epoch: epoch})
	if err != nil {
		return location{}, err
	}
	if !replies.Ready() {
		return location{}, generation.ErrDeposed
	}
	best, ok := replies.Best()
	if !ok && o.resume {
		return location{}, result.New(result.JournalLost)
	}
	if ok {
		o.req = *best.Request
	}
	o.h.metrics.Add("takeovers", 1)
	o.h.note(o.req.ID, explain.TakenOver, fmt.Sprintf("from %s behind %d tokens, epoch %s", vmOf(seen.VM), best.Journal.Len(), epoch))
	return o.becomeOwner(ctx, epoch, replies, best)
}

// awaitView waits until this VM has received a version of the list of VMs.
func (h *Hub) awaitView(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(viewPollInterval)
	defer ticker.Stop()
	for h.members.Views()[0].Version < version {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return unavailable()
		}
	}
	return nil
}

// becomeOwner installs the journal on its keepers and starts to drive the
// generation.
func (o *opener) becomeOwner(ctx context.Context, epoch generation.Epoch, replies *generation.Replies, best generation.PromiseReply) (location, error) {
	h := o.h
	run := newRun(h, generation.NewOwner(o.req, epoch, o.keeperSets[0], replies, best.Journal))
	run.source = best.Source
	if best.Source != nil {
		run.owner.PinVersion(best.Source.Version)
	}
	if err := run.admit(ctx, best.Found); err != nil {
		return location{}, err
	}
	rctx, cancel := context.WithCancel(h.ctx)
	run.cancel = cancel
	h.replicator.mark(run)
	span := h.span(run.Request(), "journal", attribute.Int("tokens", best.Journal.Len()), attribute.String("epoch", epoch.String()))
	err := run.accepted(ctx)
	endSpan(span, err)
	if err != nil {
		run.stop(err)
		run.release()
		return location{}, err
	}
	if !best.Found {
		h.note(o.req.ID, explain.Accepted, fmt.Sprintf("a majority of %d keepers holds it, epoch %s", len(o.keeperSets[0].Keepers), epoch))
	}
	h.mu.Lock()
	h.runs[o.req.ID] = run
	h.mu.Unlock()
	if best.Journal.Finish == "" {
		go run.drive(rctx)
	} else {
		run.release()
	}
	go h.watch(rctx, run)
	return location{run: run, req: run.Request()}, nil
}

// formerKeepersGrace is how long the opening of a new request waits for former keeper
// sets whose answers it does not need. It covers some round trips between zones.
const formerKeepersGrace = 20 * time.Millisecond

// requestPromises sends a promise request to every keeper of every set. It returns
// once a majority of each set has answered OK, or once enough keepers have answered
// to rule that out.
func (o *opener) requestPromises(ctx context.Context, p generation.Promise) (*generation.Replies, error) {
	type answer struct {
		keeper generation.KeeperID
		reply  generation.PromiseReply
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	keepers := o.keepers()
	answers := make(chan answer, len(keepers))
	for _, k := range keepers {
		go func() {
			p := p
			p.Incarnation = k.Incarnation
			var reply generation.PromiseReply
			err := o.h.transport.Call(ctx, k.VM, peer.KindPromise, p, &reply)
			answers <- answer{k, reply, err}
		}()
	}
	replies := generation.NewReplies(o.keeperSets, o.newest)
	replies.CallerHasNoTokens = !o.resume
	refused := false
	var grace <-chan time.Time
	for range keepers {
		var a answer
		select {
		case a = <-answers:
		case <-grace:
			return replies, o.quorumError(replies)
		}
		if a.err == nil {
			replies.Add(a.keeper, a.reply)
			refused = refused || !a.reply.OK
		}
		if refused && replies.Answered() || replies.Ready() && (o.resume || len(o.keeperSets) == 1) {
			break
		}
		if replies.Ready() && grace == nil {
			grace = time.After(formerKeepersGrace)
		}
	}
	return replies, o.quorumError(replies)
}

// quorumError returns an error if the answers allow no decision.
func (o *opener) quorumError(replies *generation.Replies) error {
	switch {
	case replies.Ready():
		return nil
	case replies.Full():
		return o.fullError(replies)
	case replies.Answered():
		return nil
	case o.resume && replies.Lost():
		return result.New(result.JournalLost)
	}
	return unavailable()
}

func (o *opener) fullError(replies *generation.Replies) error {
	err := result.New(result.KeepersFull)
	if !replies.Answered() || !replies.MaxEpoch.IsZero() {
		return err.WithRan(result.RanUnknown)
	}
	return err
}

func (o *opener) keepers() []generation.KeeperID {
	var out []generation.KeeperID
	seen := map[generation.KeeperID]bool{}
	for _, g := range o.keeperSets {
		for _, k := range g.Keepers {
			if !seen[k] {
				seen[k] = true
				out = append(out, k)
			}
		}
	}
	return out
}
