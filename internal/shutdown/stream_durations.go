package shutdown

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// The engines of a service differ in speed, and one may be loaded, cold or behind a long prompt. A
// stream that is taken early in a stop by the mean of the service is cut off at a slow engine. So the longest times
// of the last minutes are kept for each engine, in three parts: the wait for an engine, the time to
// the first event and the time between events.

// minServerRuns is the number of runs from which the durations at a server are known. Before, it
// counts as the slowest of its service.
const minServerRuns = 3

// waitPeriods bounds the waits that count. Queues change faster than servers, and a stream that waits
// too long is still refused before it is sent.
const waitPeriods = 2

// StreamSize is how much a server has to do for a stream.
type StreamSize struct {
	Prompt int // tokens to read
	Output int // tokens to generate at most; 0: not stated
	After  int // events that the caller has
}

// StreamDurations estimates how long streams take at each server. The zero value is empty. It is safe
// for concurrent use.
type StreamDurations struct {
	mu       sync.Mutex
	periods  periods
	services map[string]*serviceStreams
}

type serviceStreams struct {
	waits          recentMax[time.Duration]
	prompts        recentMax[int]
	events         recentMax[int]     // of whole streams
	eventsPerToken recentMax[float64] // the same, for each token of output that was stated
	servers        map[string]*serverStreams
}

type serverStreams struct {
	first   recentMax[time.Duration] // from the send to the first event
	pace    recentMax[time.Duration] // between two events, as the mean of a run
	running map[*StreamRun]struct{}
}

// StreamRun is the run of a stream at a server.
type StreamRun struct {
	owner   *StreamDurations
	service *serviceStreams
	server  *serverStreams
	size    StreamSize
	sentAt  time.Time
	events  atomic.Int64
	firstAt time.Time // guarded by the mutex of owner; zero: there is no event yet
}

// Waited records how long a stream waited until it was sent to a server.
func (d *StreamDurations) Waited(service string, wait time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service).waits.add(d.periods.number(now), wait)
}

// Begin records that a stream is sent to a server.
func (d *StreamDurations) Begin(service, server string, size StreamSize, now time.Time) *StreamRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	v := s.servers[server]
	if v == nil {
		current := d.periods.number(now)
		maps.DeleteFunc(s.servers, func(_ string, v *serverStreams) bool { return v.isStale(current) })
		v = &serverStreams{running: map[*StreamRun]struct{}{}}
		s.servers[server] = v
	}
	r := &StreamRun{owner: d, service: s, server: v, size: size, sentAt: now}
	v.running[r] = struct{}{}
	return r
}

// service returns the record of a service. It needs d.mu.
func (d *StreamDurations) service(name string) *serviceStreams {
	s := d.services[name]
	if s == nil {
		if d.services == nil {
			d.services = map[string]*serviceStreams{}
		}
		s = &serviceStreams{servers: map[string]*serverStreams{}}
		d.services[name] = s
	}
	return s
}

// Event records an event of the run.
func (r *StreamRun) Event(now time.Time) {
	if r.events.Add(1) > 1 {
		return
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.firstAt = now
}

// End records the end of the run. Further calls change nothing. whole is set if the stream is
// complete: how long another run would have taken is not known.
func (r *StreamRun) End(now time.Time, whole bool) {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	if _, running := r.server.running[r]; !running {
		return
	}
	delete(r.server.running, r)
	events := int(r.events.Load())
	if !whole || events == 0 {
		return
	}
	number := r.owner.periods.number(now)
	r.server.first.add(number, r.firstAt.Sub(r.sentAt))
	r.server.pace.add(number, r.pace(now))
	s := r.service
	s.prompts.add(number, r.size.Prompt)
	s.events.add(number, r.size.After+events)
	if r.size.Output > 0 {
		s.eventsPerToken.add(number, float64(r.size.After+events)/float64(r.size.Output))
	}
}

// pace returns the mean time between two events so far.
func (r *StreamRun) pace(now time.Time) time.Duration {
	return now.Sub(r.firstAt) / time.Duration(max(1, r.events.Load()-1))
}

func (v *serverStreams) isStale(current int64) bool {
	runs, _ := v.first.at(current)
	return runs == 0 && len(v.running) == 0
}

// longest returns the longest times at the server. A run in progress counts with its age, since the
// server may just have become slow.
func (v *serverStreams) longest(current int64, now time.Time) (runs int, first, pace time.Duration) {
	runs, first = v.first.at(current)
	_, pace = v.pace.at(current)
	for r := range v.running {
		if r.firstAt.IsZero() {
			first = max(first, now.Sub(r.sentAt))
		} else {
			first, pace = max(first, r.firstAt.Sub(r.sentAt)), max(pace, r.pace(now))
		}
	}
	return runs, first, pace
}

// StreamEstimate is how long a stream takes by the longest times of the last minutes.
type StreamEstimate struct {
	Wait    time.Duration            // until it is sent to a server
	Servers map[string]time.Duration // from then on, at the servers of which enough is known
	Others  time.Duration            // at any other server
	Known   bool                     // false: there were too few streams
}

// Estimate returns how long a stream of a service takes.
func (d *StreamDurations) Estimate(service string, size StreamSize, now time.Time) StreamEstimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, current := d.services[service], d.periods.number(now)
	if s == nil {
		return StreamEstimate{}
	}
	work := s.work(size, current)
	out := StreamEstimate{Servers: map[string]time.Duration{}}
	_, out.Wait = s.waits.within(waitPeriods, current)
	total := 0
	for name, v := range s.servers {
		runs, first, pace := v.longest(current, now)
		total += runs
		took := work.duration(first, pace)
		out.Others = max(out.Others, took)
		if runs >= minServerRuns {
			out.Servers[name] = took
		}
	}
	out.Known = total >= minDurations
	return out
}

// streamWork is what a stream needs, compared with the largest of the last minutes.
type streamWork struct {
	promptShare float64 // of the largest prompt; 1 or more
	events      int
}

func (s *serviceStreams) work(size StreamSize, current int64) streamWork {
	out := streamWork{promptShare: 1}
	if _, largest := s.prompts.at(current); largest > 0 {
		out.promptShare = max(1, float64(size.Prompt)/float64(largest))
	}
	_, out.events = s.events.at(current)
	if _, ratio := s.eventsPerToken.at(current); size.Output > 0 && ratio > 0 {
		out.events = int(ratio*float64(size.Output)) + 1
	}
	out.events = max(1, out.events-size.After)
	return out
}

func (w streamWork) duration(first, pace time.Duration) time.Duration {
	return time.Duration(w.promptShare*float64(first)) + time.Duration(w.events)*pace
}

// At returns how long the stream takes at a server; false: not known.
func (e *StreamEstimate) At(server string) (time.Duration, bool) {
	if took, ok := e.Servers[server]; ok {
		return took, e.Known
	}
	return e.Others, e.Known
}
