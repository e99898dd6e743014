// Package callqueue decides which call may be sent to which server, on behalf of all VMs. It
// is pure: requests, reports and the time are inputs, and decisions are the output.
//
// The overload. More calls arrive than the servers of a service can answer, at 72 VMs that
// send a few calls a second each. What a VM knows of a server is older than a call lasts. If
// each VM decides by itself, it sends calls that find the server's queue full, and refuses
// others while a slot is free: of 300 calls that three servers could answer in a second, 150
// were in time, 100 were late, and some waited at a server until their time limit.
//
// One control VM therefore grants the calls of a service that find no free slot. It keeps the
// servers just busy, so that calls wait here, where their order can still be chosen, and
// refuses at once what would be late. The calls that are answered are answered in time.
package callqueue

import (
	"time"
)

// Call is a call that needs a server.
type Call struct {
	ID        string
	Router    string
	Service   string
	Workspace string
	Versions  []string // of the servers that may run it; empty: the one without a name
	Priority  int      // 0 is the highest
	Exclude   []string // servers that must not be used
	Due       time.Time
	Deadline  time.Time     // the time limit of the route or of the caller
	Objective time.Duration // of the route
	Expected  time.Duration // of a call, as the router measured it; 0: unknown
}

// Outcome is what becomes of a call. The numbers are part of the protocol.
type Outcome uint8

// The outcomes.
const (
	Waiting  Outcome = 0
	Granted  Outcome = 1
	Refused  Outcome = 2 // no server can answer it before its deadline
	NoServer Outcome = 3 // no server may run it
)

// Answer is the decision about a call.
type Answer struct {
	Outcome Outcome
	Number  uint64 // of the grant
	Server  string // of the grant
	// After is the time until the decision at the latest for a call that waits, and until a
	// retry for a refused one.
	After time.Duration
}

// Decision is the decision about a call that was requested earlier.
type Decision struct {
	Call *Call
	Answer
}

// Queue holds the waiting calls and the accounts of servers of all services. It is not safe
// for concurrent use.
type Queue struct {
	services   map[string]*service
	lastNumber uint64
	draw       func() float64
}

// New returns an empty Queue. Its grants are numbered from first+1. The numbers must grow
// over restarts of the VM, since routers report the last one that they received. draw returns
// a random number in [0, 1).
func New(first uint64, draw func() float64) *Queue {
	return &Queue{services: map[string]*service{}, lastNumber: first, draw: draw}
}

// service is the state of one service.
type service struct {
	servers  []*server // sorted by id
	byID     map[string]*server
	routers  map[string]*router
	inTime   ranks // calls that can be answered before they are due
	late     ranks
	arrivals decayedCount // requests, whatever became of them
	// callTime is the mean time of a call over all servers at their usual speed.
	callTime  time.Duration
	objective time.Duration // of the last request
	sweptAt   time.Time
	// fragileAt is when a server was last known to state a rejection limit, and fragileSince when the
	// first of an unbroken series of statements came. The other servers state one, too.
	fragileAt, fragileSince time.Time
	// serversChanged is set if the servers have changed since sweptAt.
	serversChanged bool
	expiredAt      time.Time
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{byID: map[string]*server{}, routers: map[string]*router{}}
		q.services[name] = s
	}
	return s
}

// Request enters a call. The decision about it is among those that Decide returns next,
// unless it waits.
func (q *Queue) Request(c Call, now time.Time) Answer {
	s := q.service(c.Service)
	if c.Deadline.Before(c.Due) {
		c.Due = c.Deadline // a caller's deadline may be shorter than the route's objective
	}
	s.arrivals.add(now)
	s.objective = c.Objective
	if s.callTime == 0 {
		s.callTime = c.Expected
	}
	if !s.hasServer(&c, now) {
		return Answer{Outcome: NoServer}
	}
	return q.enter(s, &c, now)
}

// enter puts a call into the line in which it can be answered, or refuses it.
func (q *Queue) enter(s *service, c *Call, now time.Time) Answer {
	need := s.tailTime(now)
	if now.Add(s.wait(c, now) + need).Before(c.Due) {
		s.inTime.add(c)
		return Answer{After: c.Due.Add(-need).Sub(now)}
	}
	if now.Add(s.lateWait(now) + need).Before(c.Deadline) {
		s.late.add(c)
		return Answer{After: c.Deadline.Add(-need).Sub(now)}
	}
	return Answer{Outcome: Refused, After: q.retryAfter(s, now)}
}

// Leave removes waiting calls whose callers have left.
func (q *Queue) Leave(serviceName, vm string, ids []string) {
	s := q.service(serviceName)
	for _, id := range ids {
		s.inTime.remove(vm, id)
		s.late.remove(vm, id)
	}
}

// Release removes all waiting calls and returns them with the outcome NoServer, since this VM
// shuts down.
func (q *Queue) Release() []Decision {
	var out []Decision
	for _, s := range q.services {
		out = s.release(out, func(*Call) bool { return true })
	}
	return out
}

// Forget is Release for the calls of one router, which seems to be lost. Its calls in flight
// are forgotten once it has reported nothing for routerTTL.
func (q *Queue) Forget(vm string) []Decision {
	var out []Decision
	for _, s := range q.services {
		out = s.release(out, func(c *Call) bool { return c.Router == vm })
	}
	return out
}

// release removes the waiting calls that match, and appends the decisions about them.
func (s *service) release(out []Decision, match func(*Call) bool) []Decision {
	for _, c := range append(s.inTime.takeWhere(match), s.late.takeWhere(match)...) {
		out = append(out, Decision{c, Answer{Outcome: NoServer}})
	}
	return out
}

// Decide returns the decisions about a service's waiting calls.
func (q *Queue) Decide(serviceName string, now time.Time) []Decision {
	s := q.service(serviceName)
	out := q.sweep(s, now)
	for {
		c, server := s.next(now)
		if c == nil {
			return out
		}
		q.lastNumber++
		s.account(c.Router).grant(q.lastNumber, server, now)
		out = append(out, Decision{c, Answer{Outcome: Granted, Number: q.lastNumber, Server: server.ID}})
	}
}

// sweepInterval is how often waiting calls are examined for those whose time has passed.
const sweepInterval = 5 * time.Millisecond

// sweep returns calls whose servers have left the list, moves calls that can no longer be in time behind the others, and refuses those that
// no server can answer before their deadline.
func (q *Queue) sweep(s *service, now time.Time) []Decision {
	if now.Sub(s.sweptAt) < sweepInterval {
		return nil
	}
	s.sweptAt = now
	s.expire(now)
	var out []Decision
	if s.serversChanged {
		s.serversChanged = false
		out = s.release(out, s.isServerless)
	}
	need := s.tailTime(now)
	for _, c := range s.inTime.takeWhile(func(c *Call) bool { return !now.Add(need).Before(c.Due) }) {
		out = append(out, Decision{c, q.enter(s, c, now)})
	}
	for _, c := range s.late.takeWhere(func(c *Call) bool { return !now.Add(need).Before(c.Deadline) }) {
		out = append(out, Decision{c, Answer{Outcome: Refused, After: q.retryAfter(s, now)}})
	}
	return out
}

// next returns the next call and its server, and takes the call out of its line; nil: no
// waiting call can be sent now.
func (s *service) next(now time.Time) (*Call, *server) {
	if s.inTime.count+s.late.count == 0 {
		return nil, nil // reports come hundreds of times a second
	}
	free := s.free(now)
	for _, server := range free {
		finish := now.Add(server.finishTime(now, s))
		tail := now.Add(server.tailTime(now, s))
		may := func(c *Call) bool { return server.mayRun(c) && tail.Before(c.Due) }
		if c := s.inTime.take(may); c != nil {
			return c, server
		}
		may = func(c *Call) bool { return server.mayRun(c) && finish.Before(c.Deadline) }
		if c := s.late.take(may); c != nil {
			return c, server
		}
	}
	return nil, nil
}

// WaitingCalls returns the number of waiting calls of all services.
func (q *Queue) WaitingCalls() int {
	n := 0
	for _, s := range q.services {
		n += s.inTime.count + s.late.count
	}
	return n
}

// WaitingServices returns the services with waiting calls.
func (q *Queue) WaitingServices() []string {
	var out []string
	for name, s := range q.services {
		if s.inTime.count+s.late.count > 0 {
			out = append(out, name)
		}
	}
	return out
}
