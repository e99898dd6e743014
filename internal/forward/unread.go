package forward

import (
	"net/http"
	"sync"
	"time"
)

// The load pattern. A hundred callers of a VM read a byte a second. An engine ends an answer
// that stays unread for some seconds, so a VM that reads no further than its callers loses the
// run, repeats it on another engine and loses it there as well. A VM that reads everything runs
// out of memory if the answers are long.
//
// Therefore a VM reads answers to their end, as fast as the engines make them, and holds what
// callers have not read within one limit for all of them. Beyond it, the answers whose callers
// have been behind for the longest time are ended, one after the other. All others go on.

// defaultUnreadBytes is the memory for answers that callers have not read. It exceeds the
// largest single answer.
const defaultUnreadBytes = maxAnswerBytes + 8<<20

// unreadEventOverhead is the memory of an event besides its bytes.
const unreadEventOverhead = 128

// unreadAnswers limits the memory of all answers that callers have not read. It is safe for
// concurrent use.
type unreadAnswers struct {
	limit int

	mu    sync.Mutex
	bytes int
	open  map[*unreadAnswer]struct{}
}

// unreadAnswer is the memory of one answer. The mutex of its owner guards its fields.
type unreadAnswer struct {
	owner  *unreadAnswers
	bytes  int
	behind time.Time // since when bytes are held
	ended  bool
	end    func() // makes the writes to the caller fail
}

func newUnreadAnswers(limit int) *unreadAnswers {
	if limit <= 0 {
		limit = defaultUnreadBytes
	}
	return &unreadAnswers{limit: limit, open: map[*unreadAnswer]struct{}{}}
}

// begin adds an answer. end is called at most once, if its memory is needed for others.
func (u *unreadAnswers) begin(end func()) *unreadAnswer {
	a := &unreadAnswer{owner: u, end: end}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open[a] = struct{}{}
	return a
}

// add counts bytes that are held, or, if negative, that were written to the caller. It ends
// other answers, or this one, until all fit, and reports whether this one was ended.
func (a *unreadAnswer) add(bytes int) (ended bool) {
	u := a.owner
	u.mu.Lock()
	if !a.ended {
		if a.bytes == 0 {
			a.behind = time.Now()
		}
		a.bytes += bytes
		u.bytes += bytes
	}
	var released []*unreadAnswer
	for u.bytes > u.limit {
		slowest := u.slowest()
		u.release(slowest)
		released = append(released, slowest)
	}
	ended = a.ended
	u.mu.Unlock()
	for _, r := range released {
		r.end()
	}
	return ended
}

// slowest returns the answer whose caller has been behind for the longest time. It needs u.mu.
func (u *unreadAnswers) slowest() *unreadAnswer {
	var out *unreadAnswer
	for a := range u.open {
		if a.bytes > 0 && (out == nil || a.behind.Before(out.behind)) {
			out = a
		}
	}
	return out
}

// release removes an answer. It needs u.mu.
func (u *unreadAnswers) release(a *unreadAnswer) {
	if a.ended {
		return
	}
	a.ended = true
	u.bytes -= a.bytes
	delete(u.open, a)
}

// close ends the count of an answer. It reports whether the answer was ended for its memory.
func (a *unreadAnswer) close() (ended bool) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	ended = a.ended
	a.owner.release(a)
	return ended
}

// endWrites makes the writes of an answer fail.
func endWrites(w http.ResponseWriter) {
	// Only connections of tests do not support deadlines, and they do not need them.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}

// resultQueue holds what the reader of a run has received and the run has not handled yet.
type resultQueue struct {
	ready  chan struct{} // receives a value when results wait; shared by all runs of a stream
	memory *unreadAnswer

	mu      sync.Mutex
	results []readResult
	closed  bool
}

func newResultQueue(ready chan struct{}, memory *unreadAnswer) *resultQueue {
	return &resultQueue{ready: ready, memory: memory}
}

func (r *readResult) bytes() int { return len(r.event.raw) + unreadEventOverhead }

// push adds a result. It returns false once nobody handles the results.
func (q *resultQueue) push(r readResult) bool {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return false
	}
	q.results = append(q.results, r)
	q.mu.Unlock()
	ended := q.memory.add(r.bytes())
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return !ended
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
	q.memory.add(-r.bytes())
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
	return q.memory.close()
}
