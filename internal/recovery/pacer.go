package recovery

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the pacer.
const (
	// prefillTokensPerEngine bounds the tokens of resumes in prefill at one time, for each
	// engine of the pool. It is about half a second of an engine's prefill, a stall that
	// the streams on the engine can bear.
	prefillTokensPerEngine = 6000

	// maxResumeDelay bounds how long a resume may be delayed. Beyond it the caller would
	// wait longer for the pacing than for the work.
	maxResumeDelay = 3 * time.Second
)

// Resume is a stream that must be resumed on another engine.
type Resume struct {
	Deadline   time.Time // zero: none
	Priority   int
	Prefill    int // tokens to prefill again: prompt and journal
	enqueuedAt time.Time
	state      resumeState
}

type resumeState uint8

const (
	resumeIdle resumeState = iota
	resumeWaiting
	resumeGranted
)

// Granted reports whether the resume may start.
func (r *Resume) Granted() bool { return r.state == resumeGranted }

// Pacer starts the resumes of one pool at the rate at which the engines can prefill them.
// The first token of one resume lets the next one start, so the pace follows the engines
// and no rate is configured. It is not safe for concurrent use.
type Pacer struct {
	limit          int // tokens in prefill
	inFlightTokens int
	waiting        []*Resume
}

// SetEngines sets how many engines serve the pool and how many routers share them.
func (p *Pacer) SetEngines(n, routers int) {
	p.limit = max(1, prefillTokensPerEngine*n/max(1, routers))
}

// Waiting returns the number of queued resumes.
func (p *Pacer) Waiting() int { return len(p.waiting) }

// Enqueue adds a resume to the queue.
func (p *Pacer) Enqueue(r *Resume, now time.Time) {
	r.enqueuedAt, r.state = now, resumeWaiting
	at, _ := slices.BinarySearchFunc(p.waiting, r, compareResumes)
	p.waiting = slices.Insert(p.waiting, at, r)
}

// compareResumes orders by higher priority first, then by earlier deadline, then by fewer
// tokens to prefill.
func compareResumes(a, b *Resume) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		if b.Deadline.IsZero() {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Prefill, b.Prefill))
}

// Next grants the next resume, or returns nil. If none is in flight, one is granted however
// large it is, and none is delayed longer than maxResumeDelay.
func (p *Pacer) Next(now time.Time) *Resume {
	for i, r := range p.waiting {
		fits := p.inFlightTokens == 0 || p.inFlightTokens+r.Prefill <= p.limit
		if i == 0 && fits || now.Sub(r.enqueuedAt) >= maxResumeDelay {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.inFlightTokens += r.Prefill
			r.state = resumeGranted
			return r
		}
	}
	return nil
}

// Release ends a resume because its first token came, its attempt failed or its caller
// disconnected. It may be called twice.
func (p *Pacer) Release(r *Resume) {
	switch r.state {
	case resumeWaiting:
		p.waiting = slices.DeleteFunc(p.waiting, func(o *Resume) bool { return o == r })
	case resumeGranted:
		p.inFlightTokens -= r.Prefill
	case resumeIdle:
	}
	r.state = resumeIdle
}
