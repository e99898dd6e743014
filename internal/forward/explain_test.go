package forward_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

// logBuffer collects the log lines of a router.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// naming returns the number of lines with a message that name a request.
func (b *logBuffer) naming(request, message string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, strconv.Quote(request)) && strings.Contains(line, message) {
			n++
		}
	}
	return n
}

func (b *logBuffer) explanation(t *testing.T, request string) explain.Explanation {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	s, err := explain.FromLogs([]io.Reader{strings.NewReader(b.buf.String())}, request)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against failures whose cause the logs do not show. Operators must find from the
// log lines alone why a stream broke off, why the outcome of a vote is unknown and why a
// call was refused. Each failure is provoked, and its explanation must name the cause.
func TestCauseIsFoundInTheLogs(t *testing.T) {
	tests := []struct {
		name    string
		servers func() []*routedengine.Server
		failure func(f *fixture, request string)
		want    []string // in the cause
		nearby  string   // message of a line about a server; empty: none is expected
	}{
		{
			"a stream that broke",
			func() []*routedengine.Server { return []*routedengine.Server{engine("a")} },
			func(f *fixture, id string) {
				a := f.send("POST", "/s/1", id, "log")
				time.Sleep(2 * time.Second)
				f.servers[0].Set(routedengine.Unresponsive)
				<-a.done
			},
			[]string{"broken off behind event", "its run on i0 was lost: engine does not answer"},
			"server judged dead",
		},
		{
			"a vote whose outcome is unknown",
			func() []*routedengine.Server { return []*routedengine.Server{voteServer("a"), voteServer("b")} },
			func(f *fixture, id string) {
				for _, s := range f.servers {
					s.Intercept = breakAfter(signedHead + "half")
				}
				<-f.send("POST", "/vote/1", id, "yes").done
			},
			[]string{"4003 outcome_unknown", "after 1 arrivals", "unknown broken"},
			"",
		},
		{
			"a vote whose answer is no HTTP",
			func() []*routedengine.Server { return []*routedengine.Server{voteServer("a"), voteServer("b")} },
			func(f *fixture, id string) {
				for _, s := range f.servers {
					s.Intercept = breakAfter("HTTP/1.1 200 OK\r\nX A: b\r\n" + signed + "\r\nhalf")
				}
				<-f.send("POST", "/vote/1", id, "yes").done
			},
			[]string{"4003 outcome_unknown", `unknown broken: upstream: connection broken: invalid response: invalid head of a response: field name "X A"`},
			"",
		},
		{
			"a call refused under load",
			func() []*routedengine.Server { return []*routedengine.Server{voteServer("a"), voteServer("b")} },
			func(f *fixture, id string) {
				for _, s := range f.servers {
					s.Intercept = func(s *routedengine.Server, rw http.ResponseWriter, r *http.Request) bool {
						s.Refuse(rw, r)
						return true
					}
				}
				<-f.send("POST", "/vote/1", id, "yes").done
			},
			[]string{"3015 backends_full", "after 2 arrivals", "refused"},
			"",
		},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log logBuffer
				f := newFixtureWithLog(t, zerolog.New(&log).With().Timestamp().Str("vm", "r1").Logger(), tt.servers()...)
				defer f.shutDown()
				id := fmt.Sprint("q", i)
				tt.failure(f, id)
				synctest.Wait()
				s := log.explanation(t, id)
				for _, want := range tt.want {
					if !strings.Contains(s.Cause, want) {
						t.Errorf("got cause %q, want it to contain %q", s.Cause, want)
					}
				}
				found := tt.nearby == ""
				for _, l := range s.Nearby {
					found = found || l.Message == tt.nearby
				}
				if !found {
					t.Errorf("got no line %q among %v, want one", tt.nearby, s.Nearby)
				}
			})
		})
	}
}
