package capacity

import (
	"math"
	"time"
)

const (
	// smoothing is the time constant of Load. Callers keep addresses for 5 to 15 s, and an
	// answer to a shorter peak would reach them after its end.
	smoothing = 5 * time.Second
	// sampleMaxAge is the age after which a load is unknown: two samples are missing.
	sampleMaxAge = 3 * SampleInterval
	// minWriters is the number of requests from which writes that wait mean a full link. With
	// fewer, one caller that reads slowly would look like it.
	minWriters = 8
)

// Sample is what a VM's process has used. Durations and bytes are totals since its start.
type Sample struct {
	Processor   time.Duration
	Received    uint64        // bytes from callers and servers
	Sent        uint64        // bytes to callers and servers
	Writing     time.Duration // sum over all writes of the time that they took
	Connections int           // open now
	Requests    int           // in flight now
	MemoryBytes int64         // in use now
}

// Meter computes a VM's load from samples. It is not safe for concurrent use.
type Meter struct {
	limits   Limits
	last     Sample
	at       time.Time // of last; zero: none
	known    bool
	recent   float64
	smoothed float64
}

// NewMeter returns a Meter of a VM with the given limits.
func NewMeter(l Limits) *Meter { return &Meter{limits: l} }

// Add adds a sample, which is due each SampleInterval.
func (m *Meter) Add(now time.Time, s Sample) {
	before, elapsed := m.last, now.Sub(m.at)
	first := m.at.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	m.last, m.at = s, now
	if first {
		return
	}
	recent := m.share(&before, &s, elapsed)
	if isStuck(&before, &s, recent) {
		m.known = false
		return
	}
	m.recent = min(recent, 1)
	load := min(max(recent, writersWaiting(&before, &s, elapsed)), 1)
	if !m.known {
		m.known, m.smoothed = true, load
		return
	}
	m.smoothed += (load - m.smoothed) * (1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds()))
}

// share returns the largest share of a stated limit that was in use between two samples.
func (m *Meter) share(before, s *Sample, elapsed time.Duration) float64 {
	l, seconds := m.limits, elapsed.Seconds()
	largest := 0.0
	use := func(amount, limit float64) {
		if limit > 0 {
			largest = max(largest, amount/limit)
		}
	}
	use((s.Processor-before.Processor).Seconds()/seconds, l.Cores)
	const bitsPerByte = 8
	use(bitsPerByte*float64(max(s.Received-before.Received, s.Sent-before.Sent))/seconds, l.LinkBitsPerSecond)
	use(float64(s.Connections), float64(l.Descriptors))
	use(float64(s.MemoryBytes), float64(l.MemoryBytes))
	return largest
}

// isStuck reports whether a measure has stopped: nothing was used although requests are in
// flight, or bytes passed without processor time. A VM whose load seems to be 0 would get all
// new callers.
func isStuck(before, s *Sample, share float64) bool {
	moved := s.Received != before.Received || s.Sent != before.Sent
	return s.Requests > 0 && (share <= 0 || s.Processor == before.Processor && moved)
}

// writersWaiting returns the share of the requests in flight whose writes waited for the
// link. A link that carries less than its stated limit shows only there: the bytes that it
// carries are few, and the VM would seem idle.
func writersWaiting(before, s *Sample, elapsed time.Duration) float64 {
	writing := (s.Writing - before.Writing).Seconds() / elapsed.Seconds()
	return writing / float64(max(before.Requests, s.Requests, minWriters))
}

// Load returns the smoothed load in (0, 1]. ok is false if it is unknown.
func (m *Meter) Load(now time.Time) (load float64, ok bool) {
	return max(m.smoothed, 1.0/1000), m.isCurrent(now)
}

// Recent returns the largest share of a stated limit in use during the last SampleInterval,
// at most 1. ok is false if it is unknown.
func (m *Meter) Recent(now time.Time) (share float64, ok bool) {
	return m.recent, m.isCurrent(now)
}

func (m *Meter) isCurrent(now time.Time) bool { return m.known && now.Sub(m.at) <= sampleMaxAge }
