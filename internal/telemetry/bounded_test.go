package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// A request that logs is not held up by an output that takes nothing: lines beyond
// the queue are lost and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	var lost LineCounters
	r, w := io.Pipe()
	out := lost.Writer(w)
	log := zerolog.New(out)
	for range 3 * logQueue {
		log.Info().Msg("line")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
	if lost.Dropped.Load() == 0 {
		t.Error("lines beyond the queue are not counted as lost")
	}
}

// Ordinary lines are bounded; failures are not, and what is left out is counted.
func TestRoutineLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost LineCounters
		var buf bytes.Buffer
		log := zerolog.New(&buf)
		usual := lost.RoutineLog(log)
		for range 3 * ordinaryPerSecond {
			usual.Info().Msg("went well")
			log.Info().Msg("failed")
		}
		if n := strings.Count(buf.String(), "went well"); n != ordinaryPerSecond {
			t.Errorf("%d ordinary lines", n)
		}
		if n := strings.Count(buf.String(), "failed"); n != 3*ordinaryPerSecond {
			t.Errorf("%d failures written", n)
		}
		if n := lost.RateLimited.Load(); n != 2*ordinaryPerSecond {
			t.Errorf("%d counted as left out", n)
		}
	})
}

// Both ways of reading a counter show one value.
func TestExpvarShowsMetrics(t *testing.T) {
	set := metrics.NewSet()
	set.NewCounter(`shelf_refused_total{name="queue full"}`).Add(3)
	got, ok := Expvar(set)().(map[string]float64)
	if !ok || got[`shelf_refused_total{name="queue full"}`] != 3 {
		t.Errorf("%v", got)
	}
}
