package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// namesSilent is a group of which a silent VM still counts as the leader, until another
// is elected.
type namesSilent struct {
	peer.Transport
	silent, next string
	electedAt    time.Time
	answersAt    time.Time // from then on the silent one answers; zero: never
}

// Call implements peer.Transport.
func (g *namesSilent) Call(ctx context.Context, vm string, _ peer.Kind, _, out any) error {
	answer := out.(*reply)
	switch {
	case vm == g.silent && (g.answersAt.IsZero() || time.Now().Before(g.answersAt)):
		<-ctx.Done()
		return ctx.Err()
	case vm != g.silent && time.Now().Before(g.electedAt):
		*answer = reply{Status: statusNotLeader, Leader: g.silent}
	case vm == g.next:
		*answer = reply{Status: statusOK}
	default:
		*answer = reply{Status: statusNotLeader, Leader: g.next}
	}
	return nil
}

// Guards against a proposer that goes back to a VM which did not answer, for a second each
// time, while the others elect and answer.
func TestSilentVMIsPassedOver(t *testing.T) {
	for _, elected := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			g := &namesSilent{silent: "a", next: "c", electedAt: began.Add(elected)}
			r := NewRemoteClient(g, "router", FixedVMs([]string{"a", "b", "c"}))
			if _, err := r.Propose(t.Context(), RoutesStateMachine, []byte{1}); err != nil {
				t.Fatal(err)
			}
			most := max(elected, attemptTimeout) + 4*retryPause
			if took := time.Since(began); took > most {
				t.Errorf("elected after %v: %v until the answer, want %v", elected, took, most)
			}
		})
	}
}

// Guards against a leader that is never asked again: it was slow once, and still leads.
func TestSlowLeaderIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		g := &namesSilent{silent: "a", next: "a", electedAt: began.Add(time.Hour), answersAt: began.Add(attemptTimeout + 500*time.Millisecond)}
		r := NewRemoteClient(g, "router", FixedVMs([]string{"a", "b", "c"}))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if _, err := r.Propose(ctx, RoutesStateMachine, []byte{1}); err != nil {
			t.Errorf("after %v: %v", time.Since(began), err)
		}
	})
}
