package forward

import (
	"sync"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
)

// The load pattern. A hundred callers of a VM read a byte a second. An engine ends an answer
// that stays unread for some seconds, so a VM that reads no further than its callers loses the
// run, repeats it on another engine and loses it there as well. A VM that reads everything runs
// out of memory if the answers are long.
//
// Therefore a VM reads answers to their end, as fast as engines make them, and holds what
// callers have not read within its memory account. Beyond it, the largest answers are ended,
// one after the other. All others go on.

// resultOverhead is the memory of a result besides the bytes of its event.
const resultOverhead = 128

// resultQueue holds what the reader of a run has received and the run has not handled yet.
type resultQueue struct {
	ready  chan struct{} // receives a value when results wait; shared by all runs of a stream
	memory *memory.Answer

	mu      sync.Mutex
	results []readResult
	closed  bool
}

func newResultQueue(ready chan struct{}, m *memory.Answer) *resultQueue {
	return &resultQueue{ready: ready, memory: m}
}

func (r *readResult) bytes() int { return cap(r.event.raw) + resultOverhead }

// push adds a result. It returns false once nobody handles the results.
func (q *resultQueue) push(r readResult) bool {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return false
	}
	q.results = append(q.results, r)
	q.mu.Unlock()
	goesOn := q.memory.Add(r.bytes())
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return goesOn
}

// pop removes the oldest result; ok is false if there is none.
func (q *resultQueue) pop() (r readResult, ok bool) {
	q.mu.Lock()
	if len(q.results) == 0 {
		q.mu.Unlock()
		return r, false
	}
	r, q.results[0] = q.results[0], readResult{}
	q.results = q.results[1:]
	q.mu.Unlock()
	q.memory.Add(-r.bytes())
	return r, true
}

// peek returns the oldest result without removing it; ok is false if there is none.
func (q *resultQueue) peek() (r readResult, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.results) == 0 {
		return r, false
	}
	return q.results[0], true
}

// close drops all results. It reports whether the answer was ended for its memory.
func (q *resultQueue) close() (ended bool) {
	q.mu.Lock()
	q.results, q.closed = nil, true
	q.mu.Unlock()
	return q.memory.Close()
}
