package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Bounds of logging under load.
const (
	// logQueueLines is the number of lines that are buffered for a slow reader of the
	// output. When the buffer is full the oldest lines are dropped and counted. At
	// 300 bytes per line it takes about 1 MB.
	logQueueLines = 4096
	// routineLinesPerSecond limits the lines about successful work. Lines above the limit
	// are left out and counted. Lines about failures are not limited.
	routineLinesPerSecond = 50
)

// LineCounters counts the log lines that were not written. Its methods return the writer
// and the logger that drop them. It is safe for concurrent use.
type LineCounters struct {
	Dropped     atomic.Uint64 // lines that the output did not accept in time
	RateLimited atomic.Uint64 // routine lines above the rate limit
}

// Writer returns a writer that forwards lines to w asynchronously. A pipe without a reader
// must not block the requests that log. Close writes the buffered lines.
func (l *LineCounters) Writer(w io.Writer) io.WriteCloser {
	d := diode.NewWriter(w, logQueueLines, 0, func(missed int) { l.Dropped.Add(uint64(missed)) })
	return &d
}

// RoutineLog returns a logger for lines about successful work, limited to
// routineLinesPerSecond.
func (l *LineCounters) RoutineLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&routineSampler{counters: l, burst: zerolog.BurstSampler{Burst: routineLinesPerSecond, Period: time.Second}})
}

type routineSampler struct {
	counters *LineCounters
	burst    zerolog.BurstSampler
}

// Sample implements zerolog.Sampler.
func (o *routineSampler) Sample(level zerolog.Level) bool {
	if o.burst.Sample(level) {
		return true
	}
	o.counters.RateLimited.Add(1)
	return false
}
