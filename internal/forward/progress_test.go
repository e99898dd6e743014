package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// maxStuckTime is how long a stream may stay at an engine without progress.
const maxStuckTime = 3 * time.Second

// Guards against a stream that stays at an engine that sends, but not its events: the same event,
// or comments, over and over, fast or slowly.
func TestBytesWithoutProgressAreNoSignOfLife(t *testing.T) {
	tests := []struct {
		name, repeated string
		interval       time.Duration
	}{
		{"one event, fast", "id: 1\ndata: piece 1\n\n", 0},
		{"one event, slowly", "id: 1\ndata: piece 1\n\n", 500 * time.Millisecond},
		{"comments", ": wait\n\n", 0},
		{"events without numbers", "data: piece 1\n\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const regular = 4 * time.Second // prefill and events on the sound engine
				faulty, sound := engine("a"), engine("b")
				f := newFixture(t, faulty, sound)
				f.keepNoCopies()
				defer f.shutDown()
				spoil(faulty, http.StatusOK, nil, func(w http.ResponseWriter, r *http.Request) {
					_, _ = fmt.Fprint(w, "id: 1\ndata: piece 1\n\n")
					for r.Context().Err() == nil {
						if _, err := fmt.Fprint(w, tt.repeated); err != nil || http.NewResponseController(w).Flush() != nil {
							return
						}
						time.Sleep(tt.interval)
					}
				})
				a := f.send("POST", "/s/1", "r1", "unit log")
				<-a.done
				if len(faulty.Runs()) == 0 {
					t.Fatal("the stream did not run on the faulty engine")
				}
				if got := lastEvent(a.text.String()); a.broken || got != "piece 100" {
					t.Errorf("aborted: %t, last event %q; want the whole stream", a.broken, got)
				}
				if got := time.Since(a.arrived[0]) - regular; got > maxStuckTime {
					t.Errorf("the stream stayed at the faulty engine for %v, want at most %v", got, maxStuckTime)
				}
			})
		})
	}
}

// lastEvent returns the data of the last event of a stream.
func lastEvent(text string) string {
	at := strings.LastIndex(text, "data: ")
	if at < 0 {
		return ""
	}
	data, _, _ := strings.Cut(text[at+len("data: "):], "\n")
	return data
}

// Guards against a run that is ended since its engine regenerates the stream from its first event,
// or sends a comment now and then.
func TestRegeneratedStreamIsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine("a")
		f := newFixture(t, e)
		defer f.shutDown()
		spoil(e, http.StatusOK, nil, func(w http.ResponseWriter, r *http.Request) {
			for i := range 100 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n: wait\n\n", i+1, i+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(30 * time.Millisecond)
			}
		})
		a := f.send("POST", "/s/1", "r1", "unit log", forward.HeaderLastEvent, "90")
		<-a.done
		if n := strings.Count(a.text.String(), "data: "); a.broken || n != 10 {
			t.Errorf("aborted: %t, %d events, want the last 10", a.broken, n)
		}
		if n := f.totalRuns("r1"); n != 1 {
			t.Errorf("got %d runs, want 1", n)
		}
	})
}
