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

// Guards against requests that block on a log output without a reader. Lines above the
// size of the buffer are dropped and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	var counters LineCounters
	r, w := io.Pipe()
	out := counters.Writer(w)
	log := zerolog.New(out)
	for range 3 * logQueueLines {
		log.Info().Msg("line")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
	if counters.Dropped.Load() == 0 {
		t.Error("got no dropped lines, want those above the size of the buffer counted")
	}
}

// Guards against a flood of routine lines under load, and against a rate limit that also
// applies to failures. Lines that are left out are counted.
func TestRoutineLinesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counters LineCounters
		var buf bytes.Buffer
		log := zerolog.New(&buf)
		routine := counters.RoutineLog(log)
		for range 3 * routineLinesPerSecond {
			routine.Info().Msg("went well")
			log.Info().Msg("failed")
		}
		if n := strings.Count(buf.String(), "went well"); n != routineLinesPerSecond {
			t.Errorf("got %d routine lines, want 50", n)
		}
		if n := strings.Count(buf.String(), "failed"); n != 3*routineLinesPerSecond {
			t.Errorf("got %d failures, want all 150", n)
		}
		if n := counters.RateLimited.Load(); n != 2*routineLinesPerSecond {
			t.Errorf("got %d lines counted as left out, want 100", n)
		}
	})
}

// Guards against metrics that differ between /metrics and expvar.
func TestExpvarShowsMetrics(t *testing.T) {
	set := metrics.NewSet()
	set.NewCounter(`shelf_refused_total{name="queue full"}`).Add(3)
	got, ok := Expvar(set)().(map[string]float64)
	if !ok || got[`shelf_refused_total{name="queue full"}`] != 3 {
		t.Errorf("got %v, want the counter with value 3", got)
	}
}
