package forward_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// rest sends a request for what a caller lacks of a stream. firstAttempt is the attempt that it names;
// empty: none.
func (f *fixture) rest(a *answer, id, firstAttempt, body string) *answer {
	headers := []string{"Last-Event-Id", fmt.Sprint(a.events()), forward.HeaderDeadline, "20000"}
	if firstAttempt != "" {
		headers = append(headers, forward.HeaderFirstAttempt, firstAttempt)
	}
	return f.send("POST", "/s/1", id, body, headers...)
}

func (a *answer) events() int { return strings.Count(a.text.String(), "id: ") }

// wasPrefilled reports whether the last run of a request computed its prompt.
func (f *fixture) wasPrefilled(id string) bool {
	runs := f.engineRunning(id).Runs()
	return runs[len(runs)-1].Prefilled
}

// Guards against an answer that goes on from the memory of another request: two requests of one
// workspace with the same content run at the same time, and the caller of one loses its connection.
func TestCopyBelongsToOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		first, second := f.send("POST", "/s/1", "r1", "log"), f.send("POST", "/s/1", "r2", "log")
		time.Sleep(2 * time.Second)
		second.leave()
		<-second.done
		f.reportRuns()
		if copies := slices.DeleteFunc(slices.Clone(f.reported), func(r forward.ReportedRun) bool { return r.Copy.Address == "" }); len(copies) != 1 {
			t.Fatalf("copies %+v are reported, want that of r1", copies)
		}
		for _, tt := range []struct{ name, id, firstAttempt, body string }{
			{"names an attempt that is still served", "r3", "r1", "log"},
			{"names its own attempt", "r6", "r2", "log"},
			{"names no attempt", "r4", "", "log"},
			{"names the attempt of another request", "r5", "r1", "another log"},
		} {
			rest := f.rest(second, tt.id, tt.firstAttempt, tt.body)
			<-rest.done
			if rest.broken || second.events()+rest.events() != 100 {
				t.Errorf("%s: got %d events of the rest, want %d", tt.name, rest.events(), 100-second.events())
			}
			if !f.wasPrefilled(tt.id) {
				t.Errorf("%s: the stream goes on from the copy of r1", tt.name)
			}
		}
		<-first.done
		if first.broken || first.events() != 100 {
			t.Errorf("r1 got %d events, want 100", first.events())
		}
	})
}

// Guards against a prompt that is computed again for each further loss: the stream was taken up
// already when the second router is lost.
func TestStreamIsTakenUpTwiceFromCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, engine("a"), engine("b"), engine("c"))
		defer f.shutDown()
		caller := f.send("POST", "/s/1", "r1", "log")
		for i := range 2 {
			time.Sleep(1500 * time.Millisecond)
			f.reportRuns()
			caller.leave()
			<-caller.done
			id, had := fmt.Sprint("r", i+2), caller.lastEvent()
			caller = f.send("POST", "/s/1", id, "log", "Last-Event-Id", had, forward.HeaderDeadline, "20000", forward.HeaderFirstAttempt, "r1")
			time.Sleep(300 * time.Millisecond)
			if f.wasPrefilled(id) {
				t.Errorf("%s was not resumed from the copy of the run before it", id)
			}
		}
		<-caller.done
		if caller.broken || caller.lastEvent() != "100" {
			t.Errorf("last event is %q, want 100", caller.lastEvent())
		}
	})
}

// lastEvent returns the id of the last event.
func (a *answer) lastEvent() string {
	text := a.text.String()
	line, _, _ := strings.Cut(text[strings.LastIndex(text, "id: ")+len("id: "):], "\n")
	return line
}

// Guards against a copy that is given to one of several callers who may mean it, and against a
// prompt that is computed again although only one stream is meant.
func TestFindReported(t *testing.T) {
	run := func(stream uint64, ended bool, age time.Duration) forward.ReportedRun {
		out := forward.ReportedRun{ResumableRun: forward.ResumableRun{RunID: forward.RunID{Content: 7, Stream: stream}, Ended: ended}, Age: age}
		if !ended {
			out.Copy = forward.Copy{Address: "e:1", ID: fmt.Sprint("copy of ", stream, " ", age)}
		}
		return out
	}
	for _, tt := range []struct {
		name   string
		wanted uint64 // 0: the caller names no stream
		runs   []forward.ReportedRun
		want   string
	}{
		{"the only one, not named", 0, []forward.ReportedRun{run(1, false, 0)}, "copy of 1 0s"},
		{"one of two, not named", 0, []forward.ReportedRun{run(1, false, 0), run(2, false, 0)}, ""},
		{"another caller left", 0, []forward.ReportedRun{run(1, false, 0), run(2, true, 0)}, ""},
		{"reported without their streams", 0, []forward.ReportedRun{run(0, false, 0), run(0, false, 0)}, ""},
		{"one of two, named", 2, []forward.ReportedRun{run(1, false, 0), run(2, false, 0)}, "copy of 2 0s"},
		{"another stream is named", 3, []forward.ReportedRun{run(1, false, 0)}, ""},
		{"taken up already", 0, []forward.ReportedRun{run(1, false, 2*time.Second), run(1, false, time.Second)}, "copy of 1 1s"},
		{"handed off by a router that has ended it", 1, []forward.ReportedRun{run(1, true, 0), run(1, false, time.Second)}, "copy of 1 1s"},
	} {
		for range 2 {
			got, _ := forward.FindReported(slices.Values(tt.runs), forward.RunID{Content: 7, Stream: tt.wanted})
			if got.Copy.ID != tt.want {
				t.Errorf("%s: got copy %q, want %q", tt.name, got.Copy.ID, tt.want)
			}
			slices.Reverse(tt.runs)
		}
	}
	if _, ok := forward.FindReported(slices.Values([]forward.ReportedRun{run(1, false, 0)}), forward.RunID{Content: 8, Stream: 1}); ok {
		t.Error("found a stream by its name with other content, want none")
	}
}
