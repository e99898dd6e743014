package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

type answerFunc = func(*routedengine.Server, http.ResponseWriter, *http.Request) bool

// breakAfter returns an answer function that runs the request, writes some bytes and
// closes the connection.
func breakAfter(text string) answerFunc {
	return func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		s.RecordRun(r, 0, false)
		writeAndClose(w, text)
		return true
	}
}

// writeAndClose writes some bytes in place of an answer and closes the connection.
func writeAndClose(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprint(conn, text)
	_ = conn.Close()
}

const (
	signedHead  = "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nX-Request-Id: r1\r\nContent-Length: 10\r\n\r\n"
	strayAnswer = "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nX-Request-Id: other\r\nContent-Length: 5\r\n\r\nstray"
)

// Guards against a vote that runs twice, or is reported as "not run" although it ran. The
// server runs the vote and its answer breaks off at some byte, or is invalid. A second
// server is available and must not receive the vote.
func TestVoteRunsOnce(t *testing.T) {
	for _, broken := range []string{"", "HTT", "HTTP/1.1 200 OK\r\n", signedHead, signedHead + "half", "no answer at all\r\n\r\n"} {
		t.Run(fmt.Sprintf("%d bytes", len(broken)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"), voteServer("b"))
				defer f.shutDown()
				for _, s := range f.servers {
					s.Intercept = breakAfter(broken)
				}
				a := f.send("POST", "/vote/1", "r1", "yes")
				<-a.done
				if n := f.totalRuns("r1"); n != 1 {
					t.Errorf("the vote ran %d times, want once", n)
				}
				if a.status != http.StatusBadGateway {
					t.Errorf("got status %d, want 502, which makes no promise", a.status)
				}
			})
		})
	}
}

// Guards against a failed vote that could run elsewhere. The first server states that it
// has not run the vote, or cannot be reached; the second one answers.
func TestVoteRefusedGoesElsewhere(t *testing.T) {
	for _, dead := range []bool{false, true} {
		t.Run(fmt.Sprint(dead), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"), voteServer("b"))
				defer f.shutDown()
				f.servers[0].Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
					s.Refuse(w, r)
					return true
				}
				if dead {
					f.servers[0].Set(routedengine.Dead)
				}
				a := f.send("POST", "/vote/1", "r1", "yes")
				<-a.done
				if a.status != http.StatusOK || a.text.String() != "answer of i1 to r1" {
					t.Errorf("got status %d, body %q, want 200 and the answer of i1", a.status, a.text.String())
				}
			})
		})
	}
}

// Guards against a refusal that comes late, lacks a Retry-After, or wrongly promises "not
// run". Both servers refuse the vote.
func TestVoteRefusedByAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"), voteServer("b"))
		defer f.shutDown()
		for _, s := range f.servers {
			s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
				s.Refuse(w, r)
				return true
			}
		}
		began := time.Now()
		a := f.send("POST", "/vote/1", "r1", "yes")
		<-a.done
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("got status %d, Retry-After %q, want 503 with a Retry-After", a.status, a.header.Get("Retry-After"))
		}
		if f.totalRuns("r1") != 0 || time.Since(began) > 40*time.Millisecond {
			t.Errorf("got %d runs and a refusal after %v, want no run and a refusal within 40 ms", f.totalRuns("r1"), time.Since(began))
		}
	})
}

// Guards against an idempotent call that fails with its first server. Whatever the failure,
// the second server must answer within the objective.
func TestIdempotentCallIsRetried(t *testing.T) {
	failures := map[string]answerFunc{
		"broken": breakAfter(signedHead + "half"),
		"silent": func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 0, false)
			<-r.Context().Done()
			return true
		},
		"own failure": func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.AnswerCall(w, r, http.StatusInternalServerError)
			return true
		},
		"unsigned": func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 0, false)
			fmt.Fprint(w, "whose answer is this?")
			return true
		},
		"encoded": func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Content-Encoding", "gzip")
			s.AnswerCall(w, r, http.StatusOK)
			return true
		},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"), voteServer("b"))
				defer f.shutDown()
				f.servers[0].Intercept = failure
				began := time.Now()
				a := f.send("GET", "/tally/1", "r1", "")
				<-a.done
				if a.status != http.StatusOK || a.text.String() != "answer of i1 to r1" {
					t.Errorf("got status %d, body %q, want 200 and the answer of i1", a.status, a.text.String())
				}
				if took := time.Since(began); took > 300*time.Millisecond {
					t.Errorf("answered after %v, want at most the objective of 300 ms", took)
				}
			})
		})
	}
}

// Guards against the quarantine of a request that kills no server. Two servers die at once
// while the same popular call runs on both; the third must serve its next callers.
func TestPopularCallIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"), voteServer("b"), voteServer("c"))
		defer f.shutDown()
		var answers []*answer
		for i := range 6 {
			answers = append(answers, f.send("GET", "/tally/popular", fmt.Sprint("p", i), ""))
		}
		time.Sleep(20 * time.Millisecond)
		f.servers[0].Set(routedengine.Dead)
		f.servers[1].Set(routedengine.Dead)
		for _, a := range answers {
			<-a.done
		}
		time.Sleep(100 * time.Millisecond)
		a := f.send("GET", "/tally/popular", "later", "")
		<-a.done
		if a.status != http.StatusOK {
			t.Errorf("got status %d, want 200", a.status)
		}
	})
}

// Guards against an answer that goes to the wrong caller. A server sends the answer to an
// earlier request late, on the connection where the next answer is expected.
func TestAnswerToAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].Intercept = breakAfter(strayAnswer + signedHead + "0123456789")
		a := f.send("POST", "/vote/1", "r1", "yes")
		<-a.done
		if a.status != http.StatusOK || a.text.String() != "0123456789" {
			t.Errorf("got status %d, body %q, want 200 and the ten digits", a.status, a.text.String())
		}
	})
}

// Guards against extra bytes after an answer that are taken for the next answer. The
// connection must not be used again.
func TestExtraBytesAfterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].Intercept = func(s *routedengine.Server, rw http.ResponseWriter, r *http.Request) bool {
			s.RecordRun(r, 0, false)
			conn, _, _ := http.NewResponseController(rw).Hijack()
			id := r.Header.Get(forward.HeaderRequestID)
			head := strings.ReplaceAll(signedHead, "r1", id)
			_, _ = fmt.Fprint(conn, head+"0123456789"+head+"stray byte")
			return true
		}
		for i := range 3 {
			a := f.send("GET", "/tally/1", fmt.Sprint("q", i), "")
			<-a.done
			if a.text.String() != "0123456789" {
				t.Fatalf("request %d got body %q, want the ten digits", i, a.text.String())
			}
		}
	})
}

func TestRefusedBeforeAnyServer(t *testing.T) {
	tests := []struct {
		name, method, path, key string
		status                  int
	}{
		{"no route", "GET", "/nowhere/", "key-of-nelson", http.StatusNotFound},
		{"unknown key", "GET", "/tally/1", "stolen", http.StatusUnauthorized},
		{"no key", "GET", "/tally/1", "", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"))
				defer f.shutDown()
				a := f.send(tt.method, tt.path, "r1", "", "Authorization", "Bearer "+tt.key)
				<-a.done
				if a.status != tt.status || f.totalRuns("r1") != 0 {
					t.Errorf("got status %d, want that of the table; %d runs, want none", a.status, f.totalRuns("r1"))
				}
			})
		})
	}
}

// Guards against a timeout that is answered late, or that promises "not run" for a vote
// that was sent.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].CallTime = time.Minute
		began := time.Now()
		a := f.send("POST", "/vote/1", "r1", "yes")
		<-a.done
		if took := time.Since(began); a.status != http.StatusGatewayTimeout || took > 3100*time.Millisecond {
			t.Errorf("got status %d after %v, want 504 within 3.1 s", a.status, took)
		}
	})
}

// Guards against a request that kills one server after the other. Its callers send it
// under new ids; its content must be quarantined, longer after each death. Other requests
// must be served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers []*routedengine.Server
		for range 6 {
			s := voteServer("a")
			s.Intercept = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
				if !strings.Contains(r.RequestURI, "poison") {
					return false
				}
				s.RecordRun(r, 0, false)
				go s.Set(routedengine.Dead)
				<-r.Context().Done()
				return true
			}
			servers = append(servers, s)
		}
		f := newFixture(t, servers...)
		defer f.shutDown()
		for i := range 4 {
			<-f.send("GET", "/tally/poison", fmt.Sprint("p", i), "").done
			time.Sleep(6 * time.Second)
		}
		dead := 0
		for _, s := range f.servers {
			dead += len(s.Runs())
		}
		if dead != 3 {
			t.Errorf("the request killed %d servers in half a minute with four callers, want 3", dead)
		}
		a := f.send("GET", "/tally/fine", "r1", "")
		<-a.done
		if a.status != http.StatusOK {
			t.Errorf("another request got status %d, want 200", a.status)
		}
	})
}

// Guards against a router that runs out of memory. A server is slow, and callers keep
// coming with large bodies. Beyond the bound they are refused at once; those that were
// admitted are served.
func TestBodiesHeldAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, voteServer("a"))
		defer f.shutDown()
		f.servers[0].CallTime = time.Second
		body := strings.Repeat("x", 4<<20)
		var answers []*answer
		for i := range 12 {
			answers = append(answers, f.send("POST", "/vote/1", fmt.Sprint("b", i), body))
		}
		count := map[int]int{}
		for _, a := range answers {
			<-a.done
			count[a.status]++
		}
		if count[http.StatusOK] != 8 || count[http.StatusServiceUnavailable] != 4 {
			t.Errorf("got answers by status %v, want 8 of 200 and 4 of 503", count)
		}
	})
}

// Guards against a part of an answer that is delivered as a whole one: an answer without a length ends
// with its connection, which a server's death closes in the same way.
func TestUnframedAnswers(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\nten of tw"
	dies := func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		breakAfter(part)(s, w, r)
		s.Set(routedengine.Dead)
		return true
	}
	for _, tt := range []struct {
		name, method, path string
		answer             answerFunc
		status             int
		body               string
	}{
		{"idempotent, server dies", "GET", "/tally/1", dies, http.StatusOK, "answer of "},
		{"vote, server dies", "POST", "/vote/1", dies, http.StatusBadGateway, ""},
		{"idempotent, server lives", "GET", "/tally/1", breakAfter(part), http.StatusOK, "ten of tw"},
		{"vote, server lives", "POST", "/vote/1", breakAfter(part), http.StatusOK, "ten of tw"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"), voteServer("b"))
				defer f.shutDown()
				var answered atomic.Bool
				for _, s := range f.servers {
					s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
						return !answered.Swap(true) && tt.answer(s, w, r)
					}
				}
				a := f.send(tt.method, tt.path, "r1", "yes")
				<-a.done
				if a.status != tt.status || !strings.HasPrefix(a.text.String(), tt.body) {
					t.Errorf("got %d %q, want %d and %q", a.status, a.text.String(), tt.status, tt.body)
				}
			})
		})
	}
}

// Guards against a booking that is made twice: its server has run it and answers with a status that
// tells callers to send it again.
func TestStatusThatPromisesNotRunIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, voteServer("a"), voteServer("b"))
				defer f.shutDown()
				for _, s := range f.servers {
					s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
						w.Header().Set("Retry-After", "1")
						s.AnswerCall(w, r, status)
						return true
					}
				}
				vote, tally := f.send("POST", "/vote/1", "r1", "yes"), f.send("GET", "/tally/1", "r2", "")
				<-vote.done
				<-tally.done
				want, signed := status, true
				if status != http.StatusConflict && status != http.StatusInternalServerError {
					want, signed = http.StatusBadGateway, false
				}
				if vote.status != want || (vote.header.Get(forward.HeaderSignature) != "") != signed || !signed && vote.header.Get("Retry-After") != "" {
					t.Errorf("vote: got %d with headers %v, want %d, of the server: %t", vote.status, vote.header, want, signed)
				}
				if n := f.totalRuns("r1"); n != 1 {
					t.Errorf("the vote ran %d times, want once", n)
				}
				if tally.status != status || tally.header.Get(forward.HeaderSignature) == "" {
					t.Errorf("tally: got %d, want the server's own %d", tally.status, status)
				}
			})
		})
	}
}
