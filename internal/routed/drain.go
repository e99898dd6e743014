package routed

import (
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
)

// Constants of a planned shutdown. The process is killed when its grace period ends.
const (
	// closeMargin is the time left of the grace period when the last answers are cut
	// off. The process exits by itself and logs it.
	closeMargin = 400 * time.Millisecond
	// drainCheckInterval is how often the router checks whether requests still run.
	drainCheckInterval = 50 * time.Millisecond
	// answersCheckInterval is the same for the last answers.
	answersCheckInterval = 5 * time.Millisecond
)

// drain tracks a router's planned shutdown. It is safe for concurrent use.
type drain struct {
	times        DrainTimes
	mu           sync.Mutex
	startedAt    time.Time
	inFlight     int       // requests being served
	lastActivity time.Time // when a request last arrived or ended
}

func newDrain(t DrainTimes) *drain { return &drain{times: t} }

func (d *drain) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		d.startedAt, d.lastActivity = time.Now(), time.Now()
	}
}

func (d *drain) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero()
}

// cannotFinish reports whether a request could not finish within the grace period.
func (d *drain) cannotFinish(w shutdown.Work) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		return false
	}
	return shutdown.Window{Grace: d.times.Grace, Margin: closeMargin}.CannotFinish(time.Since(d.startedAt), w)
}

// left returns how long the router still serves requests; 0 or less: its time is over.
func (d *drain) left() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.times.Grace - closeMargin - time.Since(d.startedAt)
}

func (d *drain) enter() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
	d.lastActivity = time.Now()
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.lastActivity = time.Now()
}

// requests returns the number of requests that are being served.
func (d *drain) requests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// countRequests counts the requests that next is serving.
func (d *drain) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.enter()
		defer d.leave()
		next.ServeHTTP(w, r)
	})
}

// wait returns when the drain is complete: the entry answers that name this router have
// expired, no request runs and none has ended or arrived for half an entry TTL. It
// returns at the latest when only closeMargin of the grace period is left.
func (d *drain) wait() {
	for !d.complete() {
		time.Sleep(drainCheckInterval)
	}
}

// awaitAnswers waits until no request runs, for limit at most.
func (d *drain) awaitAnswers(limit time.Duration) {
	for until := time.Now().Add(limit); d.requests() > 0 && time.Now().Before(until); {
		time.Sleep(answersCheckInterval)
	}
}

func (d *drain) complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.startedAt) >= d.times.Grace-closeMargin {
		return true
	}
	return d.inFlight == 0 && time.Since(d.startedAt) >= d.times.EntryTTL && time.Since(d.lastActivity) >= d.times.EntryTTL/2
}
