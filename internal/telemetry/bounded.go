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
	// logQueue lines wait for a slow reader of the output; beyond it the oldest are
	// lost, and counted. At 300 bytes a line this is a megabyte.
	logQueue = 4096
	// ordinaryPerSecond lines about what went well are written; beyond it they are
	// left out, and counted. Failures are always written.
	ordinaryPerSecond = 50
)

// Lost counts log lines that were not written.
type LineCounters struct {
	Dropped     atomic.Uint64 // the output did not take them
	RateLimited atomic.Uint64 // ordinary ones beyond the bound
}

// Writer hands lines to w beside the caller: a pipe that nobody reads must not
// stop a request. Close writes what is left.
func (l *LineCounters) Writer(w io.Writer) io.WriteCloser {
	d := diode.NewWriter(w, logQueue, 0, func(missed int) { l.Dropped.Add(uint64(missed)) })
	return &d
}

// Ordinary returns a logger for what went well, bounded in lines a second.
func (l *LineCounters) RoutineLog(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&ordinary{lost: l, burst: zerolog.BurstSampler{Burst: ordinaryPerSecond, Period: time.Second}})
}

type ordinary struct {
	lost  *LineCounters
	burst zerolog.BurstSampler
}

// Sample implements zerolog.Sampler.
func (o *ordinary) Sample(level zerolog.Level) bool {
	if o.burst.Sample(level) {
		return true
	}
	o.lost.RateLimited.Add(1)
	return false
}
