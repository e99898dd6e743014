package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	soakRolloutOrder = `{"service": "desk", "to": "v2", "duration_ms": 5000}`
	// rolloutOutcomeTimeout bounds the time from the last fault to the roll-out's outcome.
	rolloutOutcomeTimeout = 10 * time.Second
	// rolloutSettleTime is the time after the outcome in which routers may still send by
	// an older state of the roll-out.
	rolloutSettleTime = 4 * time.Second
)

// soakRolloutStatus is a roll-out as the operators' API reports it.
type soakRolloutStatus struct {
	Number uint64 `json:"number"`
	Phase  string `json:"phase"`
	Over   bool   `json:"over"`
}

// orderRollout orders the new version of the vote servers until the order is acknowledged
// twice. The second order stands for an operator who retries because the answer was lost.
func (w *soakClients) orderRollout(ctx context.Context, rng *rand.Rand) {
	_ = timer.Sleep(ctx, randomDuration(rng, time.Second))
	if n := w.s.newVersionVotes.Load(); n > 0 {
		w.t.Errorf("%d votes reached the new version before its roll-out was ordered, want none", n)
	}
	for ordered := 0; ordered < 2; {
		resp, _, err := w.roundTrip(w.t.Context(), http.MethodPost, "http://"+w.s.operators[rng.IntN(soakControls)]+"/v1/rollouts", "", soakRolloutOrder)
		if err == nil && resp.StatusCode == http.StatusOK {
			ordered++
			w.ordered.Store(true)
		}
		_ = timer.Sleep(w.t.Context(), retryPause)
	}
}

// watchRollout reads the roll-out until ctx ends. An acknowledged order must be visible, both
// orders must be one roll-out, and a reported outcome must not change.
func (w *soakClients) watchRollout(ctx context.Context, rng *rand.Rand) {
	var last soakRolloutStatus
	for ctx.Err() == nil {
		last = w.readRollout(rng.IntN(soakControls), last)
		_ = timer.Sleep(ctx, 60*time.Millisecond)
	}
}

func (w *soakClients) readRollout(control int, last soakRolloutStatus) soakRolloutStatus {
	ordered := w.ordered.Load()
	resp, body, err := w.roundTrip(w.t.Context(), http.MethodGet, "http://"+w.s.operators[control]+"/v1/rollouts/desk", "", "")
	if err != nil {
		return last
	}
	if resp.StatusCode == http.StatusNotFound && ordered {
		w.t.Errorf("control process %d reports no roll-out, want the one that was acknowledged", control)
	}
	var current soakRolloutStatus
	if resp.StatusCode != http.StatusOK {
		return last
	}
	if err := json.Unmarshal(body, &current); err != nil || current.Number != 1 || last.Over && current != last {
		w.t.Errorf("control process %d reports %+v after %+v, want roll-out 1 with a stable outcome: %v", control, current, last, err)
	}
	return current
}

// checkRollout waits for the outcome after all faults have ended and checks it. A version
// that fails must be reverted and may reach only its share of the votes; once it is
// reverted, no router may send votes to it.
func (w *soakClients) checkRollout() {
	var last soakRolloutStatus
	for deadline := time.Now().Add(rolloutOutcomeTimeout); !last.Over && time.Now().Before(deadline); {
		last = w.readRollout(0, last)
		_ = timer.Sleep(w.t.Context(), retryPause)
	}
	reached, all := w.s.newVersionVotes.Load(), w.s.voteCount()
	allowed := rollout.DefaultLimits.Share*float64(all) + rollout.DefaultLimits.Slack
	w.t.Logf("roll-out: %s; %d of %d votes reached the new version, which fails votes: %v", last.Phase, reached, all, w.s.newVersionFails)
	switch {
	case !last.Over:
		w.t.Errorf("the roll-out has no outcome 10 s after the last fault: %+v", last)
	case w.s.newVersionFails && (last.Phase != "reverted" || float64(reached) > allowed):
		w.t.Errorf("roll-out of a failing version: got %+v with %d votes, want it reverted with at most %.0f votes", last, reached, allowed)
	}
	if last.Phase != "reverted" {
		return
	}
	_ = timer.Sleep(w.t.Context(), rolloutSettleTime)
	before := w.s.newVersionVotes.Load()
	for i, router := range w.s.callers {
		for range 20 {
			w.vote(router, "/vote/x", "after")
		}
		if n := w.s.newVersionVotes.Load(); n > before {
			w.t.Errorf("router %d sent %d votes to the reverted version, want none", i, n-before)
		}
	}
}
