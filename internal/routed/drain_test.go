package routed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
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

// Guards against requests that are admitted late and then cut off, and against those that are
// refused although they finish by their deadline. The drain must end before the process is killed, even if a
// request still runs.
func TestDrainRefusesLateRequests(t *testing.T) {
	const second = time.Second
	long := shutdown.Work{Left: time.Minute}
	exactly := func(takes time.Duration) shutdown.Work {
		return shutdown.Work{Expected: takes, Left: time.Minute}
	}
	for _, tt := range []struct {
		name    string
		at      time.Duration
		work    shutdown.Work
		refused bool
	}{
		{"unknown and long", second, long, false},
		{"unknown and long, later", 2900 * time.Millisecond, long, true},
		{"deadline before the end", 4500 * time.Millisecond, shutdown.Work{Left: 3 * second}, false},
		{"deadline after the end", 4700 * time.Millisecond, shutdown.Work{Left: 3 * second}, true},
		{"short so far", second, exactly(5 * second), false},
		{"short so far, later", 2500 * time.Millisecond, exactly(time.Millisecond), true},
		{"short so far, at last", 7 * second, exactly(time.Millisecond), true},
		{"longer than the rest", second, exactly(7 * second), true},
		{"longer than the rest, later", 6 * second, exactly(1700 * time.Millisecond), true},
		{"short deadline", 7 * second, shutdown.Work{Left: 500 * time.Millisecond}, false},
		{"after the end", 7700 * time.Millisecond, exactly(10 * time.Millisecond), true},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newDrain(testGrace)
			if d.cannotFinish(exactly(time.Hour)) {
				t.Error("refused before the shutdown began")
			}
			d.start()
			time.Sleep(tt.at)
			if got := d.cannotFinish(tt.work); got != tt.refused {
				t.Errorf("%s: refused %t, want %t", tt.name, got, tt.refused)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		go ask(d.countRequests(delayedHandler(time.Minute)))
		time.Sleep(time.Second)
		d.start()
		began := time.Now()
		d.wait()
		if took := time.Since(began); took >= testGrace.Grace {
			t.Errorf("drain took %v, want less than the grace period of 8s", took)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a request of unknown duration that is taken long after callers have given up the
// address of this VM, since its grace period is long, and is cut off.
func TestLongGracePeriodDoesNotProlongItsEarlyPart(t *testing.T) {
	for _, tt := range []struct {
		grace, at time.Duration
		refused   bool
	}{
		{30 * time.Second, 2 * time.Second, false},
		{30 * time.Second, 2600 * time.Millisecond, true},
		{5 * time.Minute, 2600 * time.Millisecond, true},
		{4 * time.Second, time.Second, false},
		{4 * time.Second, 1300 * time.Millisecond, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newDrain(DrainTimes{Grace: tt.grace, EntryTTL: time.Second})
			d.start()
			time.Sleep(tt.at)
			if got := d.cannotFinish(shutdown.Work{Left: time.Hour}); got != tt.refused {
				t.Errorf("%v after the start of a grace period of %v: refused %t, want %t", tt.at, tt.grace, got, tt.refused)
			}
		})
	}
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
		remaining := testGrace.Grace - time.Second - closeMargin
		if d.cannotFinish(shutdown.Work{Expected: remaining, Left: time.Minute}) {
			t.Error("stream that can finish was refused")
		}
		if !d.cannotFinish(shutdown.Work{Expected: remaining + time.Millisecond, Left: time.Minute}) {
			t.Error("stream that cannot finish was admitted")
		}
	})
}

// Guards against a request that is taken while the process already ends: the drain is complete, the
// connections are not closed yet. It must be refused, since nothing waits for it any more.
func TestNothingIsAdmittedOnceTheDrainHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(testGrace)
		h := d.countRequests(delayedHandler(time.Second))
		d.start()
		d.wait()
		if code := ask(h); code != http.StatusServiceUnavailable {
			t.Errorf("got status %d after the drain, want 503", code)
		}
		if n := d.requests(); n != 0 {
			t.Errorf("%d requests are served after the drain, want none", n)
		}
	})
}

// Guards against a request that is neither answered nor refused, whenever it arrives around the end
// of the drain.
func TestRequestsAroundTheEndOfADrain(t *testing.T) {
	for at := range 200 {
		synctest.Test(t, func(t *testing.T) {
			d := newDrain(testGrace)
			const takes = 30 * time.Millisecond
			h := d.countRequests(delayedHandler(takes))
			d.start()
			ended := make(chan struct{})
			go func() {
				d.wait()
				close(ended)
			}()
			time.Sleep(1900*time.Millisecond + time.Duration(at)*time.Millisecond)
			arrived := time.Now()
			code := ask(h)
			synctest.Wait()
			select {
			case <-ended:
				if code == http.StatusOK && time.Since(arrived) >= takes {
					t.Errorf("%d ms: a request was served when the drain had ended", at)
				}
			default:
				if code != http.StatusOK {
					t.Errorf("%d ms: got status %d while the drain goes on, want 200", at, code)
				}
			}
			<-ended
		})
	}
}

// drainedCaller is the end of a caller on an in-memory connection to a router that drains.
type drainedCaller struct {
	net.Conn
	drain *drain
	close func() // closes the connections of the router
}

func newDrainedCaller(t *testing.T, h http.Handler) *drainedCaller {
	near, far := net.Pipe()
	l := pipeListener{make(chan net.Conn, 1)}
	l.conns <- far
	conns, d := newCallerConns(DefaultLimits), newDrain(testGrace)
	d.unanswered = conns.unanswered
	s := &http.Server{Handler: conns.limitHeader(d.countRequests(h)), ConnState: conns.onStateChange}
	guarded := headlimit.NewAccount(0, 0).Guard(s, l, conns.maxHeaderBytes)
	go func() { _ = s.Serve(callerListener{guarded, conns}) }()
	closeAll := sync.OnceFunc(func() {
		close(l.conns)
		ctx, cancel := context.WithTimeout(context.Background(), lastWritesTimeout)
		defer cancel()
		_ = s.Shutdown(ctx) // fails if answers are left
		_ = s.Close()
	})
	t.Cleanup(func() {
		closeAll()
		_ = near.Close()
	})
	return &drainedCaller{near, d, closeAll}
}

// stop drains the router and closes its connections, and returns how long the drain took.
func (c *drainedCaller) stop() time.Duration {
	c.drain.start()
	began := time.Now()
	c.drain.wait()
	took := time.Since(began)
	c.drain.awaitAnswers(lastAnswersTimeout)
	c.close()
	return took
}

// Guards against an answer that is cut off since its caller reads slowly: the handler has returned, a part
// of the answer is not written to the connection, and a router without other requests ends early.
func TestDrainWaitsForAnswersThatAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newDrainedCaller(t, delayedHandler(0))
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: shelf\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		read := make(chan error)
		go func() {
			time.Sleep(4 * time.Second)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				err = resp.Body.Close()
			}
			read <- err
		}()
		if took := c.stop(); took < 4*time.Second || took > 5*time.Second {
			t.Errorf("drain took %v, want 4s to 5s", took)
		}
		if err := <-read; err != nil {
			t.Errorf("the answer is cut off: %v", err)
		}
	})
}

// Guards against a drain that lasts for the whole grace period since a connection is open on which the
// caller sends nothing.
func TestDrainDoesNotWaitForIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newDrainedCaller(t, delayedHandler(0))
		for range 2 {
			if code := askOn(c, ""); code != http.StatusOK {
				t.Fatalf("got status %d, want 200", code)
			}
		}
		if _, err := io.WriteString(c, "\r\n"); err != nil { // an empty line before a request
			t.Fatal(err)
		}
		if took := c.stop(); took > 3*time.Second {
			t.Errorf("drain took %v, want 3s at most", took)
		}
	})
}

// Guards against a request that a router has read, and leaves unanswered since it closes the connection
// after the answer before: it came behind another one, which is answered when the drain has ended.
func TestRequestBehindTheLastAnswerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The answer comes at the end of the drain.
		c := newDrainedCaller(t, delayedHandler(testGrace.Grace-closeMargin))
		go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: shelf\r\n\r\n", 3)) }() // fails if the connection is closed
		answers := make(chan string)
		go func() {
			time.Sleep(testGrace.Grace - closeMargin + lastAnswersTimeout/2) // it reads late
			in, statuses := bufio.NewReader(c), ""
			for {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					answers <- statuses
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body) // the status is what counts
				statuses += fmt.Sprint(resp.StatusCode, " ")
			}
		}()
		c.stop()
		if got, want := <-answers, "200 503 503 "; got != want {
			t.Errorf("got the statuses %q, want %q", got, want)
		}
	})
}

// Guards against a process that is killed before it has ended by itself: each wait at the end of the drain
// takes its whole time.
func TestDrainLeavesItsMargin(t *testing.T) {
	for _, notice := range []time.Duration{0, 1 * time.Millisecond, 49 * time.Millisecond, leaveNoticeTimeout} {
		synctest.Test(t, func(t *testing.T) {
			d := newDrain(testGrace)
			go ask(d.countRequests(delayedHandler(time.Minute)))
			synctest.Wait()
			d.start()
			began := time.Now()
			time.Sleep(notice) // the notice of leave
			d.wait()
			if took, want := time.Since(began), testGrace.Grace-closeMargin; took > want {
				t.Errorf("notice of %v: the drain took %v, want %v", notice, took, want)
			}
			time.Sleep(time.Minute)
		})
	}
}
