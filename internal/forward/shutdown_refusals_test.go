package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// lateInEarlyPart is a moment just before the end of the early part of a stop.
const lateInEarlyPart = 2200 * time.Millisecond

// Guards against a refusal that is logged and counted of a call that is answered.
func TestAnsweredCallIsNotLoggedAsRefusedByAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines logBuffer
		slow := voteServer("a")
		slow.CallTime = time.Second
		f := newFixtureWithLog(t, zerolog.New(&lines), slow, voteServer("b"))
		defer f.shutDown()
		f.setVoteTimeout(20 * time.Second)
		setObjective(f, 300*time.Millisecond)
		f.endAt(time.Now().Add(drawnGrace))
		time.Sleep(lateInEarlyPart)
		a := f.send(http.MethodPost, "/tally/1", "q", "count")
		<-a.done
		if a.status != http.StatusOK {
			t.Fatalf("got status %d, want 200", a.status)
		}
		if n := lines.naming("q", "request refused by the shutdown"); n != 0 {
			t.Errorf("%d lines that the call was refused, which was answered after %v, want none", n, a.took)
		}
	})
}

func setObjective(f *fixture, d time.Duration) {
	list := *f.table.Load().List
	list.Routes = slices.Clone(list.Routes)
	for i := range list.Routes {
		list.Routes[i].Objective = d
	}
	f.table.Store(routes.NewTable(&list))
}

// Guards against a refusal that leaves no trace: no engine has room for a stream that comes early in
// a stop.
func TestEveryRefusalOfAStopIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines logBuffer
		f := newFixtureWithLog(t, zerolog.New(&lines), engine("a"))
		defer f.shutDown()
		f.fleet.Apply(upstream.List{AsOf: time.Now().Add(time.Minute)})
		f.endAt(time.Now().Add(drawnGrace))
		time.Sleep(time.Second)
		a := f.send(http.MethodPost, "/s/1", "q", "dossier")
		<-a.done
		if a.status != http.StatusServiceUnavailable {
			t.Fatalf("got status %d, want 503", a.status)
		}
		if n := lines.naming("q", "request refused by the shutdown"); n != 1 {
			t.Errorf("%d lines that the stream was refused by the shutdown, want 1; answer %s", n, a.text.String())
		}
	})
}

// queue is a Placer of streams that all wait equally long for an engine. They may give up from time
// to time.
type queue struct {
	slowPlacer
	asksEvery time.Duration
}

func (p *queue) Place(_ context.Context, _ scheduler.Stream, abandon func() bool) (scheduler.Answer, bool) {
	granted := time.Now().Add(time.Duration(p.wait.Load()))
	for time.Now().Before(granted) {
		time.Sleep(min(p.asksEvery, time.Until(granted)))
		if abandon() {
			return scheduler.Answer{Outcome: scheduler.Waiting}, true
		}
	}
	return scheduler.Answer{}, false
}

// Guards against streams that a VM takes early in a stop, holds and then refuses, although it has seen
// that they wait for an engine until it takes none any more.
func TestStreamsAreNotHeldUntilTheirGrantIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const apart, wait = 25 * time.Millisecond, 3 * time.Second
		e := engine("a")
		e.Events, e.PrefillTime, e.EventInterval = 10, 50*time.Millisecond, 30*time.Millisecond
		f := newFixture(t, e)
		defer f.shutDown()
		p := &queue{asksEvery: time.Second}
		p.wait.Store(int64(wait))
		f.setPlacer(p)
		send := func(prefix string, n int) (out []*answer) {
			for i := range n {
				out = append(out, f.send(http.MethodPost, "/s/1", fmt.Sprint(prefix, i), "dossier"))
				time.Sleep(apart)
			}
			return out
		}
		before := send("before", 200)
		f.endAt(time.Now().Add(drawnGrace))
		during := send("q", int(lateInEarlyPart/apart))
		for _, a := range before {
			<-a.done
		}
		held, sum := 0, time.Duration(0)
		for _, a := range during {
			<-a.done
			if a.status != http.StatusOK && a.took > 0 {
				held, sum = held+1, sum+a.took
			}
		}
		if held > 0 {
			t.Errorf("%d of %d streams were held for %v in the mean and then refused, want each whole or refused at once", held, len(during), sum/time.Duration(held))
		}
	})
}
