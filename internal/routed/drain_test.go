package routed

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// testGrace is a usual grace of a process.
var testGrace = DrainTimes{Grace: 8 * time.Second, EntryTTL: 2 * time.Second}

// slow answers after a time.
func slow(d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		w.WriteHeader(http.StatusOK)
	})
}

func ask(h http.Handler) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	return w.Code
}

// Callers who still hold this VM's address are served, and long answers finish.
// In order: an answer is under way when the end begins; another caller comes a
// second later; the process ends once both have their answers and no entry answer
// names it any more.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		h := d.wrap(slow(5 * time.Second))
		codes := make(chan int, 2)
		go func() { codes <- ask(h) }()
		time.Sleep(time.Second)
		d.start()
		began := time.Now()
		time.Sleep(time.Second)
		go func() { codes <- ask(h) }()
		d.wait()
		took := time.Since(began)
		if took < 6*time.Second || took > testGrace.Grace {
			t.Errorf("ended after %v", took)
		}
		for range 2 {
			if code := <-codes; code != http.StatusOK {
				t.Errorf("status %d", code)
			}
		}
	})
}

// An idle VM ends as soon as entry answers have expired.
func TestDrainOfAnIdleVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		d.start()
		began := time.Now()
		d.wait()
		if took := time.Since(began); took < testGrace.EntryTTL || took > 3*time.Second {
			t.Errorf("ended after %v", took)
		}
	})
}

// A request that cannot be finished any more is refused: a stream sooner than a
// call. The end comes before the process is killed, whatever still runs.
func TestDrainRefusesLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		go ask(d.wrap(slow(time.Minute)))
		time.Sleep(time.Second)
		if d.tooLate(true, time.Hour) {
			t.Error("too late before the end began")
		}
		d.start()
		began := time.Now()
		for _, tt := range []struct {
			at           time.Duration
			stream, call bool
		}{{time.Second, false, false}, {2900 * time.Millisecond, true, false}, {6 * time.Second, true, true}} {
			time.Sleep(tt.at - time.Since(began))
			if d.tooLate(true, 0) != tt.stream || d.tooLate(false, 0) != tt.call {
				t.Errorf("after %v: stream too late %t, call too late %t", tt.at, d.tooLate(true, 0), d.tooLate(false, 0))
			}
		}
		d.wait()
		if took := time.Since(began); took >= testGrace.Grace {
			t.Errorf("ended after %v, killed by then", took)
		}
		time.Sleep(time.Minute)
	})
}

// A caller gets half of an answer. In order: a router begins to shut down; a caller
// whose entry answer still names it sends a long stream at once; the grace is over
// before its last event. It is refused, and runs whole elsewhere; a short one is taken.
func TestDrainAdmitsWhatItCanFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		d.start()
		time.Sleep(time.Second)
		left := testGrace.Grace - time.Second - endMargin
		if d.tooLate(true, left) {
			t.Error("a stream that can be finished is refused")
		}
		if !d.tooLate(true, left+time.Millisecond) {
			t.Error("a stream is taken that cannot be finished")
		}
	})
}
