package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Constants of a planned takeover.
const (
	maxConcurrentHandovers = 16
	adoptTimeout           = 3 * time.Second
	drainRetryPause        = 200 * time.Millisecond
	movePollInterval       = 5 * time.Millisecond
)

type adoptRequest struct {
	ID generation.RequestID `cbor:"1,keyasint"`
}

type adoptReply struct {
	Owner string `cbor:"1,keyasint"` // the VM that owns the generation after the takeover
}

// Drain refuses new generations and hands the running ones over to other VMs, which
// attach to the engines' streams. It returns once this VM owns no running generation,
// or when ctx is done. A generation that no other VM takes continues here to its end.
func (h *Hub) Drain(ctx context.Context) error {
	h.draining.Store(true)
	for {
		runs := h.running()
		if len(runs) == 0 {
			return nil
		}
		h.handOverAll(ctx, runs)
		timer := time.NewTimer(drainRetryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// running returns the generations that a shutdown would interrupt now. If there are
// none but one is being opened, it returns a single nil. Any VM can read a finished
// generation from its keepers.
func (h *Hub) running() []*Run {
	h.mu.Lock()
	busy := len(h.opening) > 0
	h.mu.Unlock()
	var out []*Run
	for _, run := range h.owned() {
		if !run.stopped() && !run.finished() {
			out = append(out, run)
		}
	}
	if busy && len(out) == 0 {
		out = append(out, nil)
	}
	return out
}

func (h *Hub) handOverAll(ctx context.Context, runs []*Run) {
	slots := make(chan struct{}, maxConcurrentHandovers)
	var wg sync.WaitGroup
	for i, run := range runs {
		if run == nil {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			h.handOver(ctx, run, i)
		})
	}
	wg.Wait()
}

// awaitMove claims the run for a handover. It first waits for a move to other keepers
// to end, which is likely because this VM has just left the list of VMs.
func (r *Run) awaitMove(ctx context.Context) bool {
	for !r.beginMove() {
		if timer.Sleep(ctx, movePollInterval) != nil {
			return false
		}
	}
	return true
}

// handOver asks the other VMs in turn to take a generation over. Its keepers come
// first because they hold the journal. The successor's epoch deposes this owner.
func (h *Hub) handOver(ctx context.Context, run *Run, turn int) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	if !run.awaitMove(ctx) {
		return // Drain tries again
	}
	defer run.endMove()
	vms := h.successors(run)
	for i := range vms {
		vm := vms[(i+turn)%len(vms)]
		var reply adoptReply
		err := h.transport.Call(ctx, vm, peer.KindAdopt, adoptRequest{ID: run.Request().ID}, &reply)
		if err != nil {
			h.log.Warn().Err(err).Str("vm", vm).Msg("planned takeover failed")
			continue
		}
		h.metrics.Add("handovers", 1)
		run.stop(generation.ErrDeposed)
		return
	}
}

func (h *Hub) successors(run *Run) []string {
	var keepers, others []string
	view := h.members.Views()[0]
	isKeeper := map[string]bool{}
	for _, vm := range run.keepers() {
		isKeeper[vm] = true
	}
	for _, c := range view.Candidates {
		switch {
		case c.VM == h.cfg.VM || c.Leaving || !h.members.Reachable(c.VM):
		case isKeeper[c.VM]:
			keepers = append(keepers, c.VM)
		default:
			others = append(others, c.VM)
		}
	}
	if len(keepers) > 0 {
		return keepers
	}
	return others
}

// handleAdopt takes a generation over at its owner's request.
func (h *Hub) handleAdopt(ctx context.Context, _ string, body []byte) (any, error) {
	var req adoptRequest
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	if h.draining.Load() {
		return nil, result.New(result.ShuttingDown)
	}
	found, err := h.openShared(ctx, req.ID, func(ctx context.Context) (location, error) { return h.adopt(ctx, req.ID) })
	if err != nil {
		return nil, err
	}
	if found.run == nil {
		return adoptReply{Owner: found.owner}, nil
	}
	return adoptReply{Owner: h.cfg.VM}, nil
}

func (h *Hub) adopt(ctx context.Context, id generation.RequestID) (location, error) {
	for try := range openAttempts {
		o := h.opener(generation.Request{ID: id}, true)
		replies, err := o.requestPromises(ctx, generation.Promise{ID: id, Epoch: o.nextEpoch(generation.Epoch{}), Peek: true})
		if err != nil {
			return location{}, err
		}
		found, err := o.takeOver(ctx, replies.MaxEpoch)
		if !errors.Is(err, generation.ErrDeposed) {
			return found, err
		}
		if backOff(ctx, try) != nil {
			break
		}
	}
	return location{}, unavailable()
}
