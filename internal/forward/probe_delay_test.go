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

// hangingServer returns a handler and a server that answers nothing.
func hangingServer(dialTakes time.Duration) (*Handler, *upstream.Server) {
	pool := upstream.NewPoolWith(func(context.Context, string) (net.Conn, error) {
		time.Sleep(dialTakes)
		return nil, errors.New("no answer")
	})
	fleet := upstream.NewFleet(pool, zerolog.Nop())
	fleet.Apply(upstream.List{Backends: []upstream.Backend{{ID: "i0", Service: "models", Address: "10.0.0.1:80"}}, AsOf: time.Now()})
	h := NewHandler(Options{Wire: NewPlainWire(), Pool: pool, Fleet: fleet, Metrics: metrics.NewSet(), SuspectContents: NewSuspectContents(zerolog.Nop())})
	return h, fleet.Lookup("i0")
}

// Guards against a slow VM that takes its own delay for the death of an engine: its probe fails,
// although the engine sends events meanwhile.
func TestDelayOfTheVMIsNoDeath(t *testing.T) {
	for _, heard := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h, s := hangingServer(2 * probeTimeout)
			p := h.prober.start(s)
			time.Sleep(probeTimeout / 2)
			if heard {
				h.opts.Fleet.Heard(s)
			}
			<-p.done
			if p.alive != heard {
				t.Errorf("heard on another connection: %t, alive: %t, want the same", heard, p.alive)
			}
			time.Sleep(time.Second) // the attempts of the probe end
		})
	}
}

// Guards against a stalled VM that takes its own delay for the death of an engine, and against one that
// stays slow and finds no death at all.
func TestStallExcusesOneProbe(t *testing.T) {
	h, s := hangingServer(0)
	for i, tt := range []struct {
		late time.Duration
		want bool
	}{
		{0, false},
		{maxTimerDelay, true},
		{maxTimerDelay, false},
		{maxTimerDelay, true},
		{0, false},
		{maxTimerDelay, true},
	} {
		if got := h.prober.excuses(s, tt.late); got != tt.want {
			t.Errorf("probe %d, %v late: excused %t, want %t", i, tt.late, got, tt.want)
		}
	}
}
