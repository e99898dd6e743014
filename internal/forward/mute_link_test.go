package forward_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// loseAnswers returns a function that makes all connections to an address deliver nothing from then on.
// What is sent there still arrives.
func (f *fixture) loseAnswers() (begin func(addr string)) {
	var mute atomic.Pointer[string]
	f.dialWith(func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := f.net.Dial(ctx, addr)
		return &muteConn{c, addr, &mute}, err
	})
	return func(addr string) { mute.Store(&addr) }
}

// muteConn is a connection that delivers nothing while its address is mute.
type muteConn struct {
	net.Conn
	addr string
	mute *atomic.Pointer[string]
}

func (c *muteConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if mute := c.mute.Load(); err != nil || mute == nil || *mute != c.addr {
			return n, err
		}
	}
}

// Guards against an engine that works on while another one has made events of its request: the answers of
// the other one do not arrive, and it is taken for dead.
func TestRequestGoesToNoEngineWhoseAnswersAreLost(t *testing.T) {
	for _, state := range []routedengine.State{routedengine.Unresponsive, routedengine.Stalled} {
		for _, copies := range []bool{true, false} {
			for _, pause := range []time.Duration{1100 * time.Millisecond, 2 * time.Second} {
				for _, before := range []time.Duration{0, 300 * time.Millisecond} {
					t.Run(fmt.Sprintf("stalled %t, copies %t, pause %v, mute for %v", state == routedengine.Stalled, copies, pause, before), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { goesToNoMuteEngine(t, state, copies, pause, before) })
					})
				}
			}
		}
	}
}

func goesToNoMuteEngine(t *testing.T, state routedengine.State, copies bool, pause, before time.Duration) {
	var l work
	f, a := l.besideMuteEngines(t, copies)
	defer f.shutDown()
	time.Sleep(before)
	first := f.engineRunning("r1")
	first.Set(state)
	time.Sleep(pause)
	first.Set(routedengine.Alive)
	a.requireCompleteStream(t, 100)
	if got := l.longestBeside(); got > maxTwoRuns {
		t.Errorf("the engine before worked for %v after the request went on elsewhere, want at most %v", got, maxTwoRuns)
	}
}

// besideMuteEngines starts a stream, which has begun, and then loses the answers of the other engine.
func (l *work) besideMuteEngines(t *testing.T, copies bool) (*fixture, *answer) {
	engines := []*routedengine.Server{engine("a"), engine("b")}
	for _, e := range engines {
		e.ResumeTime, e.PrefillTime = 100*time.Millisecond, 200*time.Millisecond
		l.watch(e)
	}
	f := newFixture(t, engines...)
	f.setMaxAttempts(5, copies)
	mute := f.loseAnswers()
	a := f.send("POST", "/s/1", "r1", "log")
	time.Sleep(time.Second)
	first := f.engineRunning("r1")
	for _, s := range f.servers {
		if s != first {
			mute(s.Address)
		}
	}
	return f, a
}

// Guards against a stream that waits for the probe of another engine while its own one is back.
func TestHeldRunGoesOnWhileAnotherEngineIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l work
		f, a := l.besideMuteEngines(t, true)
		defer f.shutDown()
		first := f.engineRunning("r1")
		first.Set(routedengine.Unresponsive)
		time.Sleep(450 * time.Millisecond) // the other engine is probed since 50 ms
		first.Set(routedengine.Alive)
		a.requireCompleteStream(t, 100)
		if limit := 500 * time.Millisecond; a.longestPause() > limit {
			t.Errorf("got a pause of %v, want at most %v", a.longestPause(), limit)
		}
	})
}
