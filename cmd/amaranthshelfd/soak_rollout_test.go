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
	soakRollout = `{"service": "desk", "to": "v2", "duration_ms": 5000}`
	// rolloutOver is how long after the last fault a roll-out has an outcome.
	rolloutOver = 10 * time.Second
	// rolloutSettled is how long after that no router sends by an older state.
	rolloutSettled = 4 * time.Second
)

// soakPhase is what operators are told of a roll-out.
type soakPhase struct {
	Number uint64 `json:"number"`
	Phase  string `json:"phase"`
	Over   bool   `json:"over"`
}

// orderRollout orders the new version of the vote servers until it is acknowledged, and
// then again, as an operator without an answer does.
func (w *soakWorld) orderRollout(ctx context.Context, rng *rand.Rand) {
	_ = timer.Sleep(ctx, upTo(rng, time.Second))
	if n := w.s.seen.Load(); n > 0 {
		w.t.Errorf("%d votes reached a version that nobody ordered", n)
	}
	for ordered := 0; ordered < 2; {
		resp, _, err := w.ask(w.t.Context(), http.MethodPost, "http://"+w.s.operators[rng.IntN(soakControls)]+"/v1/rollouts", "", soakRollout)
		if err == nil && resp.StatusCode == http.StatusOK {
			ordered++
			w.ordered.Store(true)
		}
		_ = timer.Sleep(w.t.Context(), tryPause)
	}
}

// watchRollout reads the roll-out: an order that was acknowledged is there, is one, and an
// outcome that was told stays.
func (w *soakWorld) watchRollout(ctx context.Context, rng *rand.Rand) {
	var last soakPhase
	for ctx.Err() == nil {
		last = w.readRollout(rng.IntN(soakControls), last)
		_ = timer.Sleep(ctx, 60*time.Millisecond)
	}
}

func (w *soakWorld) readRollout(control int, last soakPhase) soakPhase {
	ordered := w.ordered.Load()
	resp, body, err := w.ask(w.t.Context(), http.MethodGet, "http://"+w.s.operators[control]+"/v1/rollouts/desk", "", "")
	if err != nil {
		return last
	}
	if resp.StatusCode == http.StatusNotFound && ordered {
		w.t.Errorf("control process %d knows no roll-out, one was acknowledged", control)
	}
	var now soakPhase
	if resp.StatusCode != http.StatusOK {
		return last
	}
	if err := json.Unmarshal(body, &now); err != nil || now.Number != 1 || last.Over && now != last {
		w.t.Errorf("control process %d tells %+v after %+v: %v", control, now, last, err)
	}
	return now
}

// checkRollout waits for the outcome once all faults have ended.
func (w *soakWorld) checkRollout() {
	var last soakPhase
	for deadline := time.Now().Add(rolloutOver); !last.Over && time.Now().Before(deadline); {
		last = w.readRollout(0, last)
		_ = timer.Sleep(w.t.Context(), tryPause)
	}
	reached, all := w.s.seen.Load(), w.s.votes()
	allowed := rollout.DefaultLimits.Share*float64(all) + rollout.DefaultLimits.Slack
	w.t.Logf("roll-out: %s; %d of %d votes reached the new version, bad: %v", last.Phase, reached, all, w.s.bad)
	switch {
	case !last.Over:
		w.t.Errorf("no outcome: %+v", last)
	case w.s.bad && (last.Phase != "reverted" || float64(reached) > allowed):
		w.t.Errorf("a bad version: %+v, %d votes reached it, %.0f may", last, reached, allowed)
	}
	if last.Phase != "reverted" {
		return
	}
	_ = timer.Sleep(w.t.Context(), rolloutSettled)
	before := w.s.seen.Load()
	for i, front := range w.s.callers {
		for range 20 {
			w.vote(front, "/vote/x", "after")
		}
		if n := w.s.seen.Load(); n > before {
			w.t.Errorf("router %d sent %d votes to a version that was reverted", i, n-before)
		}
	}
}
