package routed

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// testGrace is a typical grace period.
var testGrace = DrainTimes{Grace: 8 * time.Second, EntryTTL: 2 * time.Second}

// delayedHandler answers after d.
func delayedHandler(d time.Duration) http.Handler {
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

// Guards against a shutdown that cuts off answers. One answer is under way when the
// shutdown begins. Another caller, which still holds this VM's address, arrives a second
// later. The process must end once both have their answers and no entry answer names it.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		h := d.countRequests(delayedHandler(5 * time.Second))
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
			t.Errorf("drain took %v, want 6s to 8s", took)
		}
		for range 2 {
			if code := <-codes; code != http.StatusOK {
				t.Errorf("got status %d, want 200", code)
			}
		}
	})
}

// Guards against an idle VM that waits for the whole grace period. It must end as soon
// as the entry answers that name it have expired.
func TestDrainOfAnIdleVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		d.start()
		began := time.Now()
		d.wait()
		if took := time.Since(began); took < testGrace.EntryTTL || took > 3*time.Second {
			t.Errorf("drain took %v, want 2s to 3s", took)
		}
	})
}

// Guards against requests that are admitted late and then cut off. They must be refused
// when they could not finish, streams earlier than calls. The drain must end before the
// process is killed, even if a request still runs.
func TestDrainRefusesLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		go ask(d.countRequests(delayedHandler(time.Minute)))
		time.Sleep(time.Second)
		if d.cannotFinish(true, time.Hour) {
			t.Error("stream refused before the shutdown began")
		}
		d.start()
		began := time.Now()
		for _, tt := range []struct {
			at           time.Duration
			stream, call bool
		}{{time.Second, false, false}, {2900 * time.Millisecond, true, false}, {6 * time.Second, true, true}} {
			time.Sleep(tt.at - time.Since(began))
			if d.cannotFinish(true, 0) != tt.stream || d.cannotFinish(false, 0) != tt.call {
				t.Errorf("after %v: stream refused %t, call refused %t; want streams refused from 2.4s on and calls from 5.6s on", tt.at, d.cannotFinish(true, 0), d.cannotFinish(false, 0))
			}
		}
		d.wait()
		if took := time.Since(began); took >= testGrace.Grace {
			t.Errorf("drain took %v, want less than the grace period of 8s", took)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a stream that is cut off by a shutdown. A router begins to shut down,
// and a caller whose entry answer still names it sends a stream. A stream that would
// outlast the grace period must be refused, since it runs completely elsewhere. A stream
// that can finish must be admitted.
func TestDrainAdmitsWhatItCanFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		d.start()
		time.Sleep(time.Second)
		left := testGrace.Grace - time.Second - closeMargin
		if d.cannotFinish(true, left) {
			t.Error("stream that can finish was refused")
		}
		if !d.cannotFinish(true, left+time.Millisecond) {
			t.Error("stream that cannot finish was admitted")
		}
	})
}
