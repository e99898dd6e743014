// Package overload decides which new streams of a service are refused before they enter its
// queue. It is pure: expected waits and the time are inputs, and the level is the output.
//
// The overload. More streams arrive than can be served before their deadlines. Without a
// level each of them asks the deciding control VM, waits until its deadline is near, and is
// refused when it is too late for its caller to try elsewhere.
//
// The level is raised only in front of a queue that is longer than the streams' deadlines
// allow. Streams that are late but can meet their deadlines are served.
package overload

import (
	"slices"
	"time"
)

// Level states which new streams of a service are refused: those of priorities below
// Priority (larger numbers), and if OverShare is set those of Priority from the workspaces
// in Surging.
type Level struct {
	Priority  int  `cbor:"1,keyasint"`
	OverShare bool `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time after which the queue ahead of a refused stream is served.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	Surging    []string      `cbor:"4,keyasint,omitempty"` // workspaces, at most MaxSurging
	// Partial is the priority next below Priority if a share Admitted of its new streams,
	// in [0, 1], is not refused. Without new streams only those that are already late would
	// wait by the time the level falls.
	Partial  int     `cbor:"5,keyasint,omitempty"`
	Admitted float64 `cbor:"6,keyasint,omitempty"`
}

// MaxSurging bounds the workspaces that a Level names. A surge of more of them is a growth of
// the load and not of a few workspaces.
const MaxSurging = 8

// MaxAge is the age beyond which a level has no effect. The deciding control VM states the
// level several times a second, and a level must not outlive the queue behind it.
const MaxAge = 2 * time.Second

// Refuses reports whether a new stream of a priority and workspace is refused, for a random
// number in [0, 1).
func (l *Level) Refuses(priority int, workspace string, random float64) bool {
	if l.Admitted > 0 && priority == l.Partial {
		return random >= l.Admitted
	}
	return priority > l.Priority || priority == l.Priority && l.OverShare && slices.Contains(l.Surging, workspace)
}

// Retry returns when a refused caller may retry, for a random number in [0, 1): after
// RetryAfter and up to as much again, so that callers refused together do not return together.
func (l *Level) Retry(random float64) time.Duration {
	return l.RetryAfter + time.Duration(random*float64(l.RetryAfter))
}

// Queue is what is expected of the streams of one priority.
type Queue struct {
	Priority int
	Wait     time.Duration // until a stream that arrives now starts
	// Limit is the longest Wait after which a stream can end by its deadline.
	Limit time.Duration
}

const (
	// riseAfter is how long a wait must exceed its limit before the level rises by a step.
	// Two steps refuse the priority concerned, within 300 ms with the time between two
	// rounds of decisions.
	riseAfter = 100 * time.Millisecond
	// fallAfter is how long a wait must be below fallShare of its limit before the level
	// falls by a step.
	fallAfter = time.Second
	fallShare = 0.5
	// targetShare is the share of its limit at which the wait is kept by the share of new
	// streams that are admitted: midway between the rise and the fall of the level.
	targetShare = 0.75
	minWait     = 0.001 // seconds
)

// Tracker follows the queues of one service. The zero value refuses nothing.
//
// The steps of the level are: 0 refuses nothing; 1 refuses the surging workspaces of the
// lowest priority; 2 all of the lowest priority; 3 the surging workspaces of the one above
// as well; and so on. The most urgent priority is refused to surging workspaces only.
type Tracker struct {
	step       int
	over       time.Time // since when a wait exceeds its limit; zero: none does
	under      time.Time // since when the level could fall; zero: it cannot
	priorities []int
	retryAfter time.Duration
	admitted   float64
	surging    []string
}

// Observe takes the queues of all priorities, most urgent first, and the surging workspaces.
// It reports whether the level has changed.
func (t *Tracker) Observe(queues []Queue, surging []string, now time.Time) bool {
	if len(queues) == 0 {
		return false
	}
	t.priorities = t.priorities[:0]
	for _, q := range queues {
		t.priorities = append(t.priorities, q.Priority)
	}
	t.surging = surging[:min(len(surging), MaxSurging)]
	former := t.step
	t.step = min(t.step, 2*len(queues)-1)
	t.rise(queues, now)
	t.fall(queues, now)
	if t.step > 0 {
		q := queues[t.concerned(t.step)]
		t.retryAfter = q.Wait
		t.admitted = min(1, targetShare*q.Limit.Seconds()/max(q.Wait.Seconds(), minWait))
	}
	return t.step != former
}

// concerned returns the position of the priority that a step refuses in addition to the
// step before.
func (t *Tracker) concerned(step int) int { return len(t.priorities) - 1 - (step-1)/2 }

func (t *Tracker) rise(queues []Queue, now time.Time) {
	admitted := queues[:len(queues)-t.step/2]
	i := slices.IndexFunc(admitted, func(q Queue) bool { return q.Wait > q.Limit })
	if i < 0 {
		t.over = time.Time{}
		return
	}
	t.under = time.Time{}
	if t.over.IsZero() {
		t.over = now
	}
	if now.Sub(t.over) < riseAfter {
		return
	}
	next := max(t.step+1, 2*(len(queues)-1-i)+1)
	if len(t.surging) == 0 && next%2 == 1 {
		next++ // no workspace to refuse
	}
	t.step, t.over = min(next, 2*len(queues)-1), now
}

func (t *Tracker) fall(queues []Queue, now time.Time) {
	if t.step == 0 || !t.over.IsZero() {
		return
	}
	if q := queues[t.concerned(t.step)]; float64(q.Wait) >= fallShare*float64(q.Limit) {
		t.under = time.Time{}
		return
	}
	if t.under.IsZero() {
		t.under = now
	}
	if now.Sub(t.under) >= fallAfter {
		t.step, t.under = t.step-1, now
	}
}

// Step returns the step of the level; 0: nothing is refused.
func (t *Tracker) Step() int { return t.step }

// Level returns the level. It returns false if nothing is refused.
func (t *Tracker) Level() (Level, bool) {
	if t.step == 0 {
		return Level{}, false
	}
	l := Level{Priority: t.priorities[len(t.priorities)-1-t.step/2], OverShare: t.step%2 == 1, RetryAfter: t.retryAfter}
	if l.OverShare {
		l.Surging = slices.Clone(t.surging)
	} else {
		l.Partial, l.Admitted = t.priorities[t.concerned(t.step)], t.admitted
	}
	return l, true
}
