// Package memory accounts for the data that a VM has received from outside and still holds:
// bodies of requests, answers that are being read, and answers that callers have not read yet.
//
// The overload. Each body, event and answer has a bound of its own, but their sum has none:
// a dozen servers that send without end, or a hundred callers that read nothing, take all of
// the memory of a small VM, which loses every answer that it holds.
//
// Therefore all of them draw on one Account per process. When it is spent, answers are ended
// one after the other, in the order of Account.victim, until the rest fits. A request is
// refused before it runs.
package memory

import (
	"sync"
	"time"
)

const (
	// accountShare is the part of a VM's memory that the account may use. Code, connections and
	// the state of the cluster need the rest, as does garbage that is not collected yet.
	accountShare = 0.25
	// requestShare is the part of the account that requests may use.
	requestShare = 0.5
	// largestAnswerShare is the part of the account that a single answer may use.
	largestAnswerShare = 0.5
	// assumedVMBytes is the memory of a VM whose settings state none.
	assumedVMBytes = 256 << 20
)

// Account limits the memory for data from outside. It is safe for concurrent use.
type Account struct {
	limit int

	mu       sync.Mutex
	used     int
	requests int // the part of used that requests hold
	answers  map[*Answer]struct{}
	reading  map[*Request]struct{} // that give way to smaller ones
	ended    int                   // answers that were ended for their memory
}

// NewAccount returns the Account of a VM with the given memory in bytes; 0: not stated.
func NewAccount(vmBytes int64) *Account {
	return NewAccountOf(int(accountShare * float64(VMBytes(vmBytes))))
}

// NewAccountOf returns an Account of limit bytes.
func NewAccountOf(limit int) *Account {
	return &Account{limit: limit, answers: map[*Answer]struct{}{}, reading: map[*Request]struct{}{}}
}

// LargestAnswer returns how many bytes a single answer may hold.
func (a *Account) LargestAnswer() int64 { return int64(largestAnswerShare * float64(a.limit)) }

// Usage is what an Account holds.
type Usage struct {
	Bytes        int
	RequestBytes int // the part of Bytes that requests hold
	Ended        int // answers that were ended for their memory so far
}

// Usage returns what the account holds.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.used, RequestBytes: a.requests, Ended: a.ended}
}

// Request is the memory of one request. The mutex of its account guards its fields.
type Request struct {
	account *Account
	bytes   int
	ended   bool // it gave way
	end     func()
}

// BeginRequest adds a request that holds nothing yet.
func (a *Account) BeginRequest() *Request { return &Request{account: a} }

// GiveWay lets the request give way to smaller ones until Whole. end is called at most once, if it
// does: its body must not be read any further.
func (r *Request) GiveWay(end func()) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	r.end = end
	a.reading[r] = struct{}{}
}

// Whole records that the body was read. The request does not give way any more.
func (r *Request) Whole() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	delete(r.account.reading, r)
}

// Ended reports whether the request gave way.
func (r *Request) Ended() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.ended
}

// Add counts further bytes of the request. If requests would exceed their part of the account, the
// largest that is being read gives way, unless this one is as large: then Add reports false and counts
// nothing. Answers give way to requests within that part.
func (r *Request) Add(bytes int) bool {
	a := r.account
	a.mu.Lock()
	if r.ended {
		a.mu.Unlock()
		return false
	}
	requests, fits := a.makeRoomForRequest(r, bytes)
	var answers []*Answer
	if fits {
		r.bytes += bytes
		a.requests += bytes
		a.used += bytes
		answers = a.makeRoom()
	}
	a.mu.Unlock()
	for _, v := range requests {
		v.end()
	}
	endAll(answers)
	return fits
}

// makeRoomForRequest releases requests until another one fits, and returns them. It needs a.mu.
func (a *Account) makeRoomForRequest(r *Request, bytes int) (victims []*Request, fits bool) {
	for float64(a.requests+bytes) > requestShare*float64(a.limit) {
		victim := a.largestRead()
		if victim == nil || victim.bytes <= r.bytes+bytes {
			return victims, false
		}
		a.releaseRequest(victim)
		victim.ended = true
		victims = append(victims, victim)
	}
	return victims, true
}

// largestRead returns the largest request that is being read; nil: there is none. It needs a.mu.
func (a *Account) largestRead() *Request {
	var out *Request
	for r := range a.reading {
		if out == nil || r.bytes > out.bytes {
			out = r
		}
	}
	return out
}

// releaseRequest needs a.mu.
func (a *Account) releaseRequest(r *Request) {
	a.requests -= r.bytes
	a.used -= r.bytes
	r.bytes = 0
	delete(a.reading, r)
}

// Close releases the memory of the request.
func (r *Request) Close() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.releaseRequest(r)
}

// Answer is the memory of one answer. The mutex of its account guards its fields.
type Answer struct {
	account *Account
	bytes   int
	since   time.Time // since when bytes are held
	suspect bool
	closed  bool
	ended   bool // for its memory
	end     func()
}

// BeginAnswer adds an answer that holds nothing yet. suspect marks the answer of a server that
// has sent bytes without end before. end is called at most once, if the memory is needed for
// others; from then on the answer must not grow.
func (a *Account) BeginAnswer(suspect bool, end func()) *Answer {
	m := &Answer{account: a, suspect: suspect, end: end}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[m] = struct{}{}
	return m
}

// Add counts bytes that are held or, if negative, were given up. It ends other answers, or this
// one, until all fit, and reports whether this one goes on.
func (m *Answer) Add(bytes int) bool {
	a := m.account
	a.mu.Lock()
	if !m.closed {
		if m.bytes == 0 {
			m.since = time.Now()
		}
		m.bytes += bytes
		a.used += bytes
	}
	victims := a.makeRoom()
	goesOn := !m.closed
	a.mu.Unlock()
	endAll(victims)
	return goesOn
}

// OnEnd replaces the function that is called if the memory is needed for others. It reports
// false if the answer has ended already.
func (m *Answer) OnEnd(end func()) bool {
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	m.end = end
	return !m.closed
}

// Close releases the memory of the answer. It reports whether the answer was ended because
// others needed the memory.
func (m *Answer) Close() (ended bool) {
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	m.account.release(m)
	return m.ended
}

// makeRoom releases answers until the account is within its limit, and returns them. It needs
// a.mu.
func (a *Account) makeRoom() []*Answer {
	var victims []*Answer
	for a.used > a.limit {
		m := a.victim()
		if m == nil {
			break
		}
		m.ended = true
		a.ended++
		a.release(m)
		victims = append(victims, m)
	}
	return victims
}

// victim returns the answer to end next; nil: none holds anything. Answers of servers that have
// sent without end before go first, then the largest, then the one that has been held for the
// longest time. An answer without an end outgrows all others, so that sound ones stay. It needs
// a.mu.
func (a *Account) victim() *Answer {
	var out *Answer
	for m := range a.answers {
		if m.bytes > 0 && (out == nil || m.before(out)) {
			out = m
		}
	}
	return out
}

func (m *Answer) before(o *Answer) bool {
	switch {
	case m.suspect != o.suspect:
		return m.suspect
	case m.bytes != o.bytes:
		return m.bytes > o.bytes
	}
	return m.since.Before(o.since)
}

// release removes an answer. It needs a.mu.
func (a *Account) release(m *Answer) {
	if m.closed {
		return
	}
	m.closed = true
	a.used -= m.bytes
	m.bytes = 0
	delete(a.answers, m)
}

func endAll(victims []*Answer) {
	for _, m := range victims {
		m.end()
	}
}
