package forward

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against a slow VM that takes its own delay for the death of an engine: its probes fail,
// although the engine sends events, or nothing was read at all.
func TestDelayOfTheVMIsNoDeath(t *testing.T) {
	for _, tt := range []struct {
		name            string
		dialTakes       time.Duration
		heardAfter      time.Duration // 0: not heard during the probe
		alive, withheld bool
	}{
		{"silent", probeTimeout, 0, false, false},
		{"heard on another connection", probeTimeout, 100 * time.Millisecond, true, false},
		{"this VM stalled", probeTimeout + maxTimerDelay, 0, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := upstream.NewPoolWith(func(context.Context, string) (net.Conn, error) {
					time.Sleep(tt.dialTakes)
					return nil, errors.New("no answer")
				})
				fleet := upstream.NewFleet(pool, zerolog.Nop())
				fleet.Apply(upstream.List{Backends: []upstream.Backend{{ID: "i0", Service: "models", Address: "10.0.0.1:80"}}, AsOf: time.Now()})
				h := NewHandler(Options{Wire: NewPlainWire(), Pool: pool, Fleet: fleet, Metrics: metrics.NewSet(), SuspectContents: NewSuspectContents(zerolog.Nop())})
				s := fleet.Lookup("i0")
				p := h.prober.start(s)
				if tt.heardAfter > 0 {
					time.Sleep(tt.heardAfter)
					fleet.Heard(s)
				}
				<-p.done
				if p.alive != tt.alive || p.withheld != tt.withheld {
					t.Errorf("got alive %t, nothing known %t, want %t and %t", p.alive, p.withheld, tt.alive, tt.withheld)
				}
				time.Sleep(time.Second) // the other attempts of the probe end
			})
		})
	}
}
