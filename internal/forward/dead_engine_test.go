package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// delayedEnd is a connection on which the end arrives later than at others.
type delayedEnd struct {
	net.Conn
	by time.Duration
}

func (c delayedEnd) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.by)
	}
	return n, err
}

// withLatency gives the router connections that take a millisecond to open or to be refused, and whose
// ends arrive 0.1 ms one after the other.
func (f *fixture) withLatency() {
	var n atomic.Int64
	f.pool = upstream.NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) {
		time.Sleep(time.Millisecond)
		c, err := f.net.Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return delayedEnd{c, time.Duration(n.Add(1)%8) * 100 * time.Microsecond}, nil
	})
	f.fleet = upstream.NewFleet(f.pool, f.log)
	f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
	f.setPlacer(nil)
}

// Guards against incomplete answers that are taken for complete: the engine of two streams dies, and
// the end of the one is taken for a sign of life in the probe of the other.
func TestUnframedStreamsOfADeadEngineResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dying := engine("a")
		var both sync.WaitGroup
		both.Add(2)
		dying.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 1, true)
			conn, _, _ := http.NewResponseController(w).Hijack()
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nConnection: close\r\n\r\n"+
				"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
			both.Done()
			return true
		}
		f := newFixture(t, dying, engine("b"))
		defer f.shutDown()
		f.withLatency()
		f.servers[1].Set(routedengine.Dead)
		a, b := f.send("POST", "/s/1", "r1", "log"), f.send("POST", "/s/1", "r2", "another log")
		both.Wait()
		time.Sleep(5 * time.Millisecond)
		f.servers[0].Set(routedengine.Dead)
		time.Sleep(5 * time.Millisecond)
		f.servers[1].Set(routedengine.Alive)
		a.requireCompleteStream(t, 100)
		b.requireCompleteStream(t, 100)
	})
}

// Guards against a death that is not noticed since several connections of the server break.
func TestDeathIsNoticedWhereSeveralStreamsBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"))
		defer f.shutDown()
		f.withLatency()
		f.servers[1].Set(routedengine.Dead)
		var answers []*answer
		for i := range 4 {
			answers = append(answers, f.send("POST", "/s/1", fmt.Sprint("r", i), "log"))
		}
		time.Sleep(2 * time.Second)
		f.servers[1].Set(routedengine.Alive)
		f.fleet.Heard(f.fleet.Lookup("i1"))
		f.servers[0].Set(routedengine.Dead)
		time.Sleep(20 * time.Millisecond)
		if f.fleet.DeadServers() == 0 {
			t.Errorf("the server that refuses connections does not count as dead")
		}
		for _, a := range answers {
			a.requireCompleteStream(t, 100)
		}
	})
}

// Guards against a stream that waits for a dead engine for as long as its VM is slow: each probe ends
// late and tells nothing.
func TestSlowVMFindsADeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("a"))
		defer f.shutDown()
		f.keepNoCopies()
		f.pool = upstream.NewPoolWith(func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := f.net.Dial(ctx, addr)
			time.Sleep(200 * time.Millisecond)
			return c, err
		})
		f.fleet = upstream.NewFleet(f.pool, f.log)
		f.fleet.Apply(upstream.List{Backends: f.net.Backends(), AsOf: time.Now()})
		f.setPlacer(nil)
		a := f.send("POST", "/s/1", "r1", "log")
		time.Sleep(2 * time.Second)
		f.engineRunning("r1").Set(routedengine.Unresponsive)
		died := time.Now()
		<-a.done
		if took := time.Since(died); took > 6*time.Second {
			t.Errorf("the stream of a dead engine ended %v after the death, aborted: %t, want within 6 s", took, a.broken)
		}
	})
}
