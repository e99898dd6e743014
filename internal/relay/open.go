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

// Figures of an opening. Two VMs that are given the same key at once bid against
// each other; the pause between bids is random and doubles, so that after a few
// rounds one of them has the milliseconds that it needs for itself.
const (
	openAttempts  = 8
	politeTries   = 6 // bids before an opening that another VM has under way is taken over
	leastBackoff  = 5 * time.Millisecond
	mostBackoff   = 320 * time.Millisecond
	awaitViewStep = 20 * time.Millisecond
)

// errContended tells that another VM is opening the same journal now, with a
// higher bid. Deposing it would throw its work away, for as little.
var errContended = errors.New("relay: another VM opens the journal")

func (h *Hub) open(ctx context.Context, req generation.Request, resuming bool) (found, error) {
	for try := range openAttempts {
		f, err := h.openOnce(ctx, req, resuming, try)
		if !errors.Is(err, generation.ErrDeposed) && !errors.Is(err, errContended) {
			return f, err
		}
		h.metrics.Add("open_retries", 1)
		if backOff(ctx, try) != nil {
			break
		}
	}
	return found{}, unavailable()
}

// unavailable is the refusal where too few keepers could be asked. Those that
// could not may know the request, as the resend of one that is running: only an
// answer that all needed keepers gave could promise that it did not run.
func unavailable() *result.Error {
	return result.New(result.KeepersUnavail).WithRan(result.RanUnknown)
}

func backOff(ctx context.Context, try int) error {
	most := min(mostBackoff, leastBackoff<<try)
	timer := time.NewTimer(most/2 + rand.N(most))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// opener is what one bid needs: the keeper sets of the request and the list of
// VMs that they come from.
type opener struct {
	h      *Hub
	req    generation.Request
	groups []generation.KeeperSet
	newest generation.Membership
	resume bool
}

func (h *Hub) opener(req generation.Request, resuming bool) *opener {
	views := h.members.Views()
	return &opener{h: h, req: req, groups: generation.KeeperSets(req.ID, views), newest: views[0], resume: resuming}
}

// nextEpoch is above seen and unlike any other that this VM has used: two
// owners in one epoch would write two answers that no keeper could tell apart.
func (o *opener) nextEpoch(seen generation.Epoch) generation.Epoch {
	for {
		last := o.h.round.Load()
		next := max(last, seen.Round) + 1
		if o.h.round.CompareAndSwap(last, next) {
			return generation.Epoch{Version: o.newest.Version, Round: next, VM: o.h.cfg.EpochVM}
		}
	}
}

func (h *Hub) openOnce(ctx context.Context, req generation.Request, resuming bool, try int) (found, error) {
	o := h.opener(req, resuming)
	epoch := o.nextEpoch(generation.Epoch{})
	first := generation.Promise{ID: req.ID, Epoch: epoch, IfAbsent: !resuming, Peek: resuming}
	replies, err := o.ask(ctx, first)
	if err != nil {
		return found{}, err
	}
	if !resuming && replies.Ready() {
		return o.own(ctx, epoch, replies, generation.PromiseReply{})
	}
	if resuming && replies.Ready() && replies.MaxEpoch.IsZero() {
		return found{}, result.New(result.NotFound)
	}
	owner := h.probe(ctx, req.ID, replies.MaxEpoch.VM)
	if owner.Request != nil {
		h.note(req.ID, explain.Followed, "read from its owner "+vmOf(replies.MaxEpoch.VM))
		return found{owner: vmOf(replies.MaxEpoch.VM), req: owner.Request}, nil
	}
	if owner.Opening && try < politeTries {
		return found{}, errContended
	}
	return o.takeOver(ctx, replies.MaxEpoch)
}

// takeOver seals the journal against every lower epoch and goes on with it.
func (o *opener) takeOver(ctx context.Context, seen generation.Epoch) (found, error) {
	if seen.Version > o.newest.Version {
		if err := o.h.awaitView(ctx, seen.Version); err != nil {
			return found{}, err
		}
		return found{}, generation.ErrDeposed // again, by the newer list
	}
	epoch := o.nextEpoch(seen)
	replies, err := o.ask(ctx, generation.Promise{ID: o.req.ID, Epoch: epoch})
	if err != nil {
		return found{}, err
	}
	if !replies.Ready() {
		return found{}, generation.ErrDeposed
	}
	best, ok := replies.Best()
	if !ok && o.resume {
		return found{}, result.New(result.JournalLost)
	}
	if ok {
		o.req = *best.Request
	}
	o.h.metrics.Add("takeovers", 1)
	o.h.note(o.req.ID, explain.TakenOver, fmt.Sprintf("from %s behind %d tokens, epoch %s", vmOf(seen.VM), best.Journal.Len(), epoch))
	return o.own(ctx, epoch, replies, best)
}

// awaitView waits until this VM has learnt of a version of the list.
func (h *Hub) awaitView(ctx context.Context, version uint64) error {
	ticker := time.NewTicker(awaitViewStep)
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

// own installs the journal on its keepers and starts driving it.
func (o *opener) own(ctx context.Context, epoch generation.Epoch, replies *generation.Replies, best generation.PromiseReply) (found, error) {
	h := o.h
	run := newRun(h, generation.NewOwner(o.req, epoch, o.groups[0], replies, best.Journal))
	run.source = best.Source
	if best.Source != nil {
		run.owner.PinVersion(best.Source.Version)
	}
	if err := run.enter(ctx, best.Found); err != nil {
		return found{}, err
	}
	rctx, cancel := context.WithCancel(h.ctx)
	run.cancel = cancel
	h.journals.mark(run)
	span := h.span(run.Request(), "journal", attribute.Int("tokens", best.Journal.Len()), attribute.String("epoch", epoch.String()))
	err := run.accepted(ctx)
	endSpan(span, err)
	if err != nil {
		run.stop(err)
		run.release()
		return found{}, err
	}
	if !best.Found {
		h.note(o.req.ID, explain.Accepted, fmt.Sprintf("a majority of %d keepers holds it, epoch %s", len(o.groups[0].Keepers), epoch))
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
	return found{run: run, req: run.Request()}, nil
}

// settledGrace is how long the opening of a new request waits for keeper sets
// that it can do without: some round trips between zones.
const settledGrace = 20 * time.Millisecond

// ask sends a promise to every keeper of every set. It returns once a majority
// of each has answered OK, or enough have answered to know that it will not.
func (o *opener) ask(ctx context.Context, p generation.Promise) (*generation.Replies, error) {
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
	replies := generation.NewReplies(o.groups, o.newest)
	replies.CallerHasNoTokens = !o.resume
	refused := false
	var grace <-chan time.Time
	for range keepers {
		var a answer
		select {
		case a = <-answers:
		case <-grace:
			return replies, o.verdict(replies)
		}
		if a.err == nil {
			replies.Add(a.keeper, a.reply)
			refused = refused || !a.reply.OK
		}
		if refused && replies.Answered() || replies.Ready() && (o.resume || len(o.groups) == 1) {
			break
		}
		if replies.Ready() && grace == nil {
			grace = time.After(settledGrace)
		}
	}
	return replies, o.verdict(replies)
}

// verdict is an error where the answers allow no decision at all.
func (o *opener) verdict(replies *generation.Replies) error {
	switch {
	case replies.Ready():
		return nil
	case replies.Full():
		return o.full(replies)
	case replies.Answered():
		return nil
	case o.resume && replies.Lost():
		return result.New(result.JournalLost)
	}
	return unavailable()
}

func (o *opener) full(replies *generation.Replies) error {
	err := result.New(result.KeepersFull)
	if !replies.Answered() || !replies.MaxEpoch.IsZero() {
		return err.WithRan(result.RanUnknown)
	}
	return err
}

func (o *opener) keepers() []generation.KeeperID {
	var out []generation.KeeperID
	seen := map[generation.KeeperID]bool{}
	for _, g := range o.groups {
		for _, k := range g.Keepers {
			if !seen[k] {
				seen[k] = true
				out = append(out, k)
			}
		}
	}
	return out
}
