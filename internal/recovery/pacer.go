package recovery

import (
	"cmp"
	"slices"
	"time"
)

// Figures of the pacer.
const (
	// prefillPerEngine is the re-prefill, in tokens, that may be under way for
	// each engine of the pool at one time: some half a second of its prefill, the
	// stall that the streams already there can bear.
	prefillPerEngine = 6000

	// maxHold bounds how long a resume may be held back: beyond it the caller
	// waits longer for the pacing than for the work.
	maxHold = 3 * time.Second
)

// Resume is a stream that has to go on elsewhere.
type Resume struct {
	Deadline time.Time // zero: none
	Priority int
	Prefill  int // tokens to compute again: prompt and journal
	since    time.Time
	state    resumeState
}

type resumeState uint8

const (
	resumeIdle resumeState = iota
	resumeWaiting
	resumeGranted
)

// Granted reports whether the resume may start.
func (r *Resume) Granted() bool { return r.state == resumeGranted }

// Pacer lets the resumes of one pool start as the engines can prefill them. The
// first token of one lets the next start, so the pace follows what the engines
// manage and needs no rate. It is not safe for concurrent use.
type Pacer struct {
	limit    int // tokens of prefill under way
	underway int
	waiting  []*Resume
}

// SetEngines tells how many engines of the pool serve, and how many routers
// share them.
func (p *Pacer) SetEngines(n, routers int) {
	p.limit = max(1, prefillPerEngine*n/max(1, routers))
}

// Waiting is the number of resumes that are held back.
func (p *Pacer) Waiting() int { return len(p.waiting) }

// Enter queues a resume.
func (p *Pacer) Enqueue(r *Resume, now time.Time) {
	r.since, r.state = now, resumeWaiting
	at, _ := slices.BinarySearchFunc(p.waiting, r, order)
	p.waiting = slices.Insert(p.waiting, at, r)
}

// order puts the higher priority first, then the earlier deadline, then what is
// cheaper to bring back.
func order(a, b *Resume) int {
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

// Next grants the next resume, or returns nil. One is always granted when none
// is under way, however large; and none is held longer than maxHold.
func (p *Pacer) Next(now time.Time) *Resume {
	for i, r := range p.waiting {
		fits := p.underway == 0 || p.underway+r.Prefill <= p.limit
		if i == 0 && fits || now.Sub(r.since) >= maxHold {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.underway += r.Prefill
			r.state = resumeGranted
			return r
		}
	}
	return nil
}

// Leave ends a resume: its first token came, its attempt failed, or its caller
// is gone. It may be called twice.
func (p *Pacer) Release(r *Resume) {
	switch r.state {
	case resumeWaiting:
		p.waiting = slices.DeleteFunc(p.waiting, func(o *Resume) bool { return o == r })
	case resumeGranted:
		p.underway -= r.Prefill
	case resumeIdle:
	}
	r.state = resumeIdle
}
