package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// Guards against servers that end since the VMs together send them more calls than they have room
// for: callers come in bursts, servers come back after a fault, and the control VM that grants is
// killed.
func TestFragileServersDoNotEnd(t *testing.T) {
	const perSecond = 900 // three servers with 6 slots answer 1,200 calls of 15 ms
	bursts := func(s *callSystem) (answered int) {
		for _, rate := range []float64{perSecond, 3 * perSecond, perSecond, 3 * perSecond} {
			ok, _ := s.load(rate, 2*time.Second, s.any)
			answered += ok
		}
		return answered
	}
	for _, tt := range []struct {
		name        string
		limit, room int
		fault       func(s *callSystem)
		falls       int // that are allowed
		least       int // calls that are answered
	}{
		// The two bursts offer more than the 2,400 calls that the servers answer in 2 s.
		{"no refusal", 0, 2, nil, 0, 7200},
		{"one refusal", 1, 2, nil, 0, 7200},
		{"five refusals, no call may wait", 5, 0, nil, 0, 6000},
		{"a thousand refusals", 1000, 2, nil, 0, 7200},
		{"a server comes back", 5, 2, func(s *callSystem) {
			s.list[0].Set(routedengine.Dead)
			time.Sleep(2 * time.Second)
			s.list[0].Set(routedengine.Alive)
		}, 0, 6000},
		{"the granting control VM is killed", 5, 2, func(s *callSystem) {
			time.Sleep(3 * time.Second)
			s.net.Kill(s.routers[0].member.callGranter("votes"))
		}, 1, 6000},
	} {
		if testing.Short() && (tt.fault != nil || tt.limit != 5) {
			continue // one case shows the races of this test
		}
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				s := startCallSystem(ctx, n, 12)
				defer s.stop()
				s.load(perSecond, 2*time.Second, s.any)
				for _, server := range s.list {
					server.StateRejectionLimit(tt.limit, tt.room)
				}
				s.load(100, time.Second, s.any) // every VM learns of it
				if tt.fault != nil {
					go tt.fault(s)
				}
				answered := bursts(s)
				falls, most := 0, 0
				for _, server := range s.list {
					m, n := server.Refusals()
					falls, most = falls+n, max(most, m)
				}
				t.Logf("%d calls answered, at most %d refused by a server in a second, %d ends", answered, most, falls)
				if falls > tt.falls || answered < tt.least {
					t.Errorf("%d calls were answered and servers ended %d times, want %d calls at least and %d ends at most", answered, falls, tt.least, tt.falls)
				}
			})
		})
	}
}

// Guards against a VM out of touch that has no grants, and against hundreds of them that share one
// server.
func TestFragileServerWithoutGrants(t *testing.T) {
	if testing.Short() {
		t.Skip("the races of this test are those of the one before")
	}
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		s := startCallSystem(ctx, n, 12)
		defer s.stop()
		for _, server := range s.list {
			server.StateRejectionLimit(12, 2)
		}
		s.load(100, time.Second, s.any)
		for _, id := range controls {
			n.Kill(id)
		}
		time.Sleep(time.Second)
		answered, _ := s.load(2700, 4*time.Second, s.any)
		falls := 0
		for _, server := range s.list {
			_, n := server.Refusals()
			falls += n
		}
		t.Logf("%d calls answered, %d ends", answered, falls)
		if falls > 0 || answered < 1000 {
			t.Errorf("%d calls were answered and servers ended %d times, want 1,000 at least and no end", answered, falls)
		}
	})
}
