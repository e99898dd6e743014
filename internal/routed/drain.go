package routed

import (
	"net/http"
	"sync"
	"time"
)

// Figures of a planned end, of a process that is killed when its grace is over.
const (
	// streamShare of the grace is for new streams of which it is not known how long they
	// last: callers keep entry answers for some seconds. One that is cut goes on elsewhere
	// from its copy, if its caller comes back; one that is refused runs there whole.
	streamShare = 0.3
	// callShare is the same for calls, which last a second at most.
	callShare = 0.7
	// endMargin is what is left of the grace when the last answers are cut: the
	// process ends by itself and says so.
	endMargin = 400 * time.Millisecond
	// drainLook is how often it is looked whether anything still runs.
	drainLook = 50 * time.Millisecond
)

// drain is a router's planned end. Safe for concurrent use.
type drain struct {
	times DrainTimes
	mu    sync.Mutex
	begun time.Time
	open  int       // requests under way
	last  time.Time // when the last one came or ended
}

func newDrain(t DrainTimes) *drain { return &drain{times: t} }

func (d *drain) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun.IsZero() {
		d.begun, d.last = time.Now(), time.Now()
	}
}

func (d *drain) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.begun.IsZero()
}

// tooLate reports whether a request that comes now could not be finished. takes is how
// long it is expected to last; 0: not known.
func (d *drain) tooLate(stream bool, takes time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun.IsZero() {
		return false
	}
	share := callShare
	if stream {
		share = streamShare
	}
	elapsed := time.Since(d.begun)
	return elapsed > time.Duration(share*float64(d.times.Grace)) || elapsed+takes > d.times.Grace-endMargin
}

func (d *drain) enter() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
	d.last = time.Now()
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.last = time.Now()
}

// wrap counts the requests of a handler.
func (d *drain) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.enter()
		defer d.leave()
		next.ServeHTTP(w, r)
	})
}

// wait returns once nothing runs and no caller has come for as long as entry
// answers are kept, or when the grace is nearly over.
func (d *drain) wait() {
	for !d.over() {
		time.Sleep(drainLook)
	}
}

func (d *drain) over() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.begun) >= d.times.Grace-endMargin {
		return true
	}
	return d.open == 0 && time.Since(d.begun) >= d.times.EntryTTL && time.Since(d.last) >= d.times.EntryTTL/2
}
