package routed

import (
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
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
	// endedRetryAfter is the Retry-After of a request that comes after the drain. Another router may
	// serve it at once.
	endedRetryAfter = 50 * time.Millisecond
)

// drain tracks a router's planned shutdown. It is safe for concurrent use.
type drain struct {
	times DrainTimes
	// refuse answers a request that comes after the end of the drain.
	refuse func(http.ResponseWriter, *http.Request, error)
	// unanswered returns how many connections carry a request whose answer is not written, and how many
	// answers other VMs have not read whole. A handler returns before that, and a caller that reads
	// slowly holds it up.
	unanswered func() int

	mu           sync.Mutex
	startedAt    time.Time
	ended        bool      // nothing is admitted any more
	inFlight     int       // requests being served
	lastActivity time.Time // when a request last arrived or ended
}

func newDrain(t DrainTimes) *drain {
	return &drain{times: t, unanswered: func() int { return 0 }, refuse: func(w http.ResponseWriter, _ *http.Request, err error) { resulthttp.Write(w, "", err) }}
}

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
	return d.times.window().CannotFinish(time.Since(d.startedAt), w)
}

// window returns the decision about requests that come during the drain. A control VM that misses the
// notice of leave names this router until it misses its heartbeats, for about an EntryTTL.
func (t DrainTimes) window() shutdown.Window {
	return shutdown.Window{Grace: t.Grace, Margin: closeMargin, Early: leaveNoticeTimeout + 2*t.EntryTTL}
}

// left returns how long the router still serves requests; 0 or less: its time is over.
func (d *drain) left() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.times.Grace - closeMargin - time.Since(d.startedAt)
}

// enter admits a request and counts it, unless the drain has ended. The same lock guards the end:
// a request is either waited for, or not admitted.
func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.inFlight++
	d.lastActivity = time.Now()
	return true
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

// countRequests counts the requests that next is serving, and refuses those that come after the end
// of the drain.
func (d *drain) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.enter() {
			d.refuse(w, r, result.New(result.ShuttingDown).WithRetryAfter(endedRetryAfter))
			return
		}
		defer d.leave()
		next.ServeHTTP(w, r)
	})
}

// wait ends the drain once it is complete: the entry answers that name this router have
// expired, no request runs, none has ended or arrived for half an entry TTL, and all answers
// are written. It returns at the latest when only closeMargin of the grace period is left.
func (d *drain) wait() {
	for !d.tryEnd() {
		time.Sleep(min(drainCheckInterval, d.left()))
	}
}

// awaitAnswers waits until no request runs and all answers are written, for limit at most. While the
// connections are closed, a request behind one that is being answered is not read any more.
func (d *drain) awaitAnswers(limit time.Duration) {
	for until := time.Now().Add(limit); d.requests()+d.unanswered() > 0 && time.Now().Before(until); {
		time.Sleep(answersCheckInterval)
	}
}

// tryEnd ends the drain if it is complete, and reports whether it has ended.
func (d *drain) tryEnd() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = d.ended || d.isComplete(time.Now())
	return d.ended
}

// isComplete needs d.mu.
func (d *drain) isComplete(now time.Time) bool {
	if now.Sub(d.startedAt) >= d.times.Grace-closeMargin {
		return true
	}
	isQuiet := d.inFlight == 0 && now.Sub(d.startedAt) >= d.times.EntryTTL && now.Sub(d.lastActivity) >= d.times.EntryTTL/2
	return isQuiet && d.unanswered() == 0
}
