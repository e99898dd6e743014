package routed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// Guards against an order that an observer calls not run although a voter commits it later: voters that are
// stopped in series answer after voterRequestTimeout, or not at all.
func TestOrderOfAnObserverIsNotCalledNotRunInVain(t *testing.T) {
	const later = voterRequestTimeout + 100*time.Millisecond
	for _, tt := range []struct {
		name       string
		commits    time.Duration // after the request; 0: never
		failure    error         // what the voter answers
		wantOrder  result.Code
		wantAnswer result.Code // to a question
	}{
		{"commits later", later, nil, result.OutcomeUnknown, result.ControlUnavail},
		{"does not know", 0, result.New(result.OutcomeUnknown), result.OutcomeUnknown, result.ControlUnavail},
		{"has no leader", 0, result.New(result.ControlUnavail), result.ControlUnavail, result.ControlUnavail},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := peertest.New(1)
				voters := []string{"c1", "c2"}
				for _, vm := range voters {
					net.VM(vm).Handle(peer.KindRollout, func(context.Context, string, []byte) (any, error) {
						time.Sleep(tt.commits)
						return rollout.Record{}, tt.failure
					})
				}
				c := &voterClient{t: net.VM("observer"), vms: func() []string { return voters }, log: zerolog.Nop()}
				_, err := orderFromVoters[rollout.Record](t.Context(), c, peer.KindRollout, rolloutRequest{Order: &rollout.Order{}})
				if want := result.New(tt.wantOrder); !errors.Is(err, want) {
					t.Errorf("order: got %v, want %v", err, want)
				}
				_, err = askVoters[rollout.Record](t.Context(), c, peer.KindRollout, rolloutRequest{})
				if want := result.New(tt.wantAnswer); !errors.Is(err, want) {
					t.Errorf("question: got %v, want %v", err, want)
				}
				time.Sleep(2 * later) // virtual: until every handler has ended
			})
		})
	}
}
