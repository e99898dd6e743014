package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// endsWith is a HandOff that writes part of an answer and ends with an outcome.
type endsWith handoff.Outcome

var _ forward.HandOff = endsWith(0)

func (o endsWith) Serve(_ context.Context, w http.ResponseWriter, _ handoff.Request) handoff.Outcome {
	_, _ = w.Write([]byte("id: 1\ndata: piece 1\n\n"))
	return handoff.Outcome(o)
}

// Guards against part of an answer that looks like the whole: another VM served it, and it is
// broken, or the caller takes no more.
func TestBrokenHandOffAbortsTheConnection(t *testing.T) {
	for _, tt := range []struct {
		outcome handoff.Outcome
		broken  bool
	}{{handoff.Answered, false}, {handoff.Broken, true}, {handoff.CallerLeft, true}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, engine("a"))
			defer f.shutDown()
			f.handOff = endsWith(tt.outcome)
			f.setPlacer(nil)
			f.servers[0].Set(routedengine.Dead)
			<-f.send("POST", "/s/1", "r1", "log").done
			time.Sleep(time.Second)
			if f.fleet.Reaches("models") {
				t.Fatal("want the service lost")
			}
			a := f.send("POST", "/s/1", "r2", "log")
			<-a.done
			if a.broken != tt.broken {
				t.Errorf("outcome %d: aborted: %t, want %t", tt.outcome, a.broken, tt.broken)
			}
		})
	}
}

// relays is a HandOff to VMs that end, one after the other, in the middle of an event.
type relays struct {
	ends   []uint64 // the last complete event of each VM; the one after them serves the rest
	offers []handoff.Request
	lost   func() // is called when a VM ends
}

func (r *relays) Serve(_ context.Context, w http.ResponseWriter, q handoff.Request) handoff.Outcome {
	at := len(r.offers)
	r.offers = append(r.offers, q)
	after, _ := strconv.ParseUint(q.Header.Get(forward.HeaderLastEvent), 10, 64)
	w.Header().Set(forward.HeaderSignature, "vm")
	for n := after + 1; n <= 100; n++ {
		if at < len(r.ends) && n > r.ends[at] {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", n)
			r.lost()
			return handoff.Broken
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		_, _ = io.WriteString(w, text[:8])
		_, _ = io.WriteString(w, text[8:])
		time.Sleep(10 * time.Millisecond)
	}
	return handoff.Answered
}

// Guards against streams that are broken off when the VM that serves them for another one ends:
// they go on through a third one, or at the VM itself once it reaches the engines again.
func TestHandedOffStreamOutlivesTheVMThatServesIt(t *testing.T) {
	for _, tt := range []struct {
		name    string
		ends    []uint64
		reaches bool // the engines are reached when the VM ends
		offers  int
	}{
		{"one VM ends", []uint64{20}, false, 2},
		{"two VMs end", []uint64{20, 70}, false, 3},
		{"before an event", []uint64{0}, false, 2},
		{"the engines are reached again", []uint64{20}, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, engine("a"))
				defer f.shutDown()
				r := &relays{ends: tt.ends, lost: func() {
					if tt.reaches {
						f.servers[0].Set(routedengine.Alive)
						f.handler.ProbeService("models")
						time.Sleep(100 * time.Millisecond)
					}
				}}
				f.handOff = r
				f.setPlacer(nil)
				f.servers[0].Set(routedengine.Unresponsive)
				f.loseServices(t, "models")
				a := f.send("POST", "/s/1", "r2", "log")
				a.requireCompleteStream(t, 100)
				if len(r.offers) != tt.offers {
					t.Errorf("got %d offers, want %d", len(r.offers), tt.offers)
				}
				for i, q := range r.offers[1:] {
					after, first := q.Header.Get(forward.HeaderLastEvent), q.Header.Get(forward.HeaderFirstAttempt)
					if want := tt.ends[i]; want > 0 && (after != fmt.Sprint(want) || first != "r2") {
						t.Errorf("offer %d asks for what follows event %q of attempt %q, want %d and r2", i+1, after, first, want)
					}
				}
			})
		})
	}
}

// loseServices makes the router notice that it reaches no server of some services.
func (f *fixture) loseServices(t *testing.T, services ...string) {
	t.Helper()
	for range 4 {
		for _, service := range services {
			f.handler.ProbeService(service)
		}
		time.Sleep(300 * time.Millisecond)
	}
	for _, service := range services {
		if f.fleet.Reaches(service) {
			t.Fatalf("want the service %s lost", service)
		}
	}
}

// Guards against streams that are broken off, or refused after they were sent, when their VM is cut
// off from all engines.
func TestStreamOfAVMThatIsCutOffGoesOn(t *testing.T) {
	for _, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, engine("a"))
			f.keepNoCopies()
			defer f.shutDown()
			r := &relays{}
			f.handOff = r
			f.setPlacer(nil)
			a := f.send("POST", "/s/1", "r1", "log")
			time.Sleep(after)
			f.servers[0].Set(routedengine.Unresponsive)
			a.requireCompleteStream(t, 100)
			if pause := a.longestPause(); len(r.offers) != 1 || pause > 6*time.Second {
				t.Errorf("cut off after %v: got %d offers and a pause of %v, want 1 and at most 6s", after, len(r.offers), pause)
			}
		})
	}
}

// Guards against a stream that no engine has received when its VM is cut off, and that is refused for
// a spent retry budget.
func TestUnsentStreamOfAVMThatIsCutOffIsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"))
		defer f.shutDown()
		r := &relays{}
		f.handOff, f.noRetries = r, true
		f.setPlacer(nil)
		f.servers[0].Set(routedengine.Unresponsive)
		f.send("POST", "/s/1", "r1", "log").requireCompleteStream(t, 100)
	})
}
