package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
)

type answerFunc = func(*routedengine.Server, http.ResponseWriter, *http.Request) bool

// breakOff runs the request and breaks the connection after some bytes of the
// answer.
func breakOff(text string) answerFunc {
	return func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
		s.Note(r, 0, false)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprint(conn, text)
		_ = conn.Close()
		return true
	}
}

const (
	signedHead = "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nX-Request-Id: r1\r\nContent-Length: 10\r\n\r\n"
	otherHead  = "HTTP/1.1 200 OK\r\nX-Backend-Signature: x\r\nX-Request-Id: other\r\nContent-Length: 5\r\n\r\nstray"
)

// A vote runs once, whatever becomes of its answer, and the caller is never told
// that it has not run. In order: the server runs the vote and its answer breaks
// at some byte, or is garbage; another server stands by and must not see it.
func TestVoteRunsOnce(t *testing.T) {
	for _, broken := range []string{"", "HTT", "HTTP/1.1 200 OK\r\n", signedHead, signedHead + "half", "no answer at all\r\n\r\n"} {
		t.Run(fmt.Sprintf("%d bytes", len(broken)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, voteServer("a"), voteServer("b"))
				defer w.end()
				for _, s := range w.servers {
					s.Answer = breakOff(broken)
				}
				a := w.send("POST", "/vote/1", "r1", "yes")
				<-a.done
				if n := w.totalRuns("r1"); n != 1 {
					t.Errorf("the vote ran %d times", n)
				}
				if a.status != http.StatusBadGateway {
					t.Errorf("status %d: only 502 makes no promise", a.status)
				}
			})
		})
	}
}

// The caller gets the other server's answer. In order: the first server says that
// it has not run the vote, or cannot be reached.
func TestVoteRefusedGoesElsewhere(t *testing.T) {
	for _, dead := range []bool{false, true} {
		t.Run(fmt.Sprint(dead), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, voteServer("a"), voteServer("b"))
				defer w.end()
				w.servers[0].Answer = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
					s.Refuse(w, r)
					return true
				}
				if dead {
					w.servers[0].Set(routedengine.Dead)
				}
				a := w.send("POST", "/vote/1", "r1", "yes")
				<-a.done
				if a.status != http.StatusOK || a.text.String() != "answer of i1 to r1" {
					t.Errorf("status %d, %q", a.status, a.text.String())
				}
			})
		})
	}
}

// The caller is refused at once, with a time to come back, and the promise is
// true: no server has run the vote.
func TestVoteRefusedByAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, voteServer("a"), voteServer("b"))
		defer w.end()
		for _, s := range w.servers {
			s.Answer = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
				s.Refuse(w, r)
				return true
			}
		}
		began := time.Now()
		a := w.send("POST", "/vote/1", "r1", "yes")
		<-a.done
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
		}
		if w.totalRuns("r1") != 0 || time.Since(began) > 40*time.Millisecond {
			t.Errorf("%d runs, refused after %v", w.totalRuns("r1"), time.Since(began))
		}
	})
}

// A lookup may run again: each failure of the first server is made good by the
// second, within the objective.
func TestIdempotentCallIsRetried(t *testing.T) {
	failures := map[string]answerFunc{
		"broken": breakOff(signedHead + "half"),
		"silent": func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
			s.Note(r, 0, false)
			<-r.Context().Done()
			return true
		},
		"own failure": func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.Call(w, r, http.StatusInternalServerError)
			return true
		},
		"unsigned": func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			s.Note(r, 0, false)
			fmt.Fprint(w, "whose answer is this?")
			return true
		},
		"encoded": func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Content-Encoding", "gzip")
			s.Call(w, r, http.StatusOK)
			return true
		},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, voteServer("a"), voteServer("b"))
				defer w.end()
				w.servers[0].Answer = failure
				began := time.Now()
				a := w.send("GET", "/tally/1", "r1", "")
				<-a.done
				if a.status != http.StatusOK || a.text.String() != "answer of i1 to r1" {
					t.Errorf("status %d, %q", a.status, a.text.String())
				}
				if took := time.Since(began); took > 300*time.Millisecond {
					t.Errorf("answered after %v, the objective is 300 ms", took)
				}
			})
		})
	}
}

// Two servers die at once while the same lookup is under way on both. Those who
// ask for it next are served by the third: their lookup ends no server.
func TestPopularCallIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, voteServer("a"), voteServer("b"), voteServer("c"))
		defer w.end()
		var answers []*answer
		for i := range 6 {
			answers = append(answers, w.send("GET", "/tally/popular", fmt.Sprint("p", i), ""))
		}
		time.Sleep(20 * time.Millisecond)
		w.servers[0].Set(routedengine.Dead)
		w.servers[1].Set(routedengine.Dead)
		for _, a := range answers {
			<-a.done
		}
		time.Sleep(100 * time.Millisecond)
		a := w.send("GET", "/tally/popular", "later", "")
		<-a.done
		if a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		}
	})
}

// The caller gets its own answer. In order: a server sends an answer to an earlier
// request late, on the connection where the next answer is expected.
func TestAnswerToAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, voteServer("a"))
		defer w.end()
		w.servers[0].Answer = breakOff(otherHead + signedHead + "0123456789")
		a := w.send("POST", "/vote/1", "r1", "yes")
		<-a.done
		if a.status != http.StatusOK || a.text.String() != "0123456789" {
			t.Errorf("status %d, %q", a.status, a.text.String())
		}
	})
}

// Bytes behind an answer belong to no request: the connection carries no other.
func TestExtraBytesAfterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, voteServer("a"))
		defer w.end()
		w.servers[0].Answer = func(s *routedengine.Server, rw http.ResponseWriter, r *http.Request) bool {
			s.Note(r, 0, false)
			conn, _, _ := http.NewResponseController(rw).Hijack()
			id := r.Header.Get(forward.HeaderRequestID)
			head := strings.ReplaceAll(signedHead, "r1", id)
			_, _ = fmt.Fprint(conn, head+"0123456789"+head+"stray byte")
			return true
		}
		for i := range 3 {
			a := w.send("GET", "/tally/1", fmt.Sprint("q", i), "")
			<-a.done
			if a.text.String() != "0123456789" {
				t.Fatalf("request %d got %q", i, a.text.String())
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
				w := newWorld(t, voteServer("a"))
				defer w.end()
				a := w.send(tt.method, tt.path, "r1", "", "Authorization", "Bearer "+tt.key)
				<-a.done
				if a.status != tt.status || w.totalRuns("r1") != 0 {
					t.Errorf("status %d, %d runs", a.status, w.totalRuns("r1"))
				}
			})
		})
	}
}

// The caller hears at its route's time, and not later, that there is no answer; a
// vote that was sent is not said to have not run.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, voteServer("a"))
		defer w.end()
		w.servers[0].WorkTime = time.Minute
		began := time.Now()
		a := w.send("POST", "/vote/1", "r1", "yes")
		<-a.done
		if took := time.Since(began); a.status != http.StatusGatewayTimeout || took > 3100*time.Millisecond {
			t.Errorf("status %d after %v", a.status, took)
		}
	})
}

// A request that ends every server that runs it is held back, longer each time,
// though it comes under new ids; others are served.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var servers []*routedengine.Server
		for range 6 {
			s := voteServer("a")
			s.Answer = func(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
				if !strings.Contains(r.RequestURI, "poison") {
					return false
				}
				s.Note(r, 0, false)
				go s.Set(routedengine.Dead)
				<-r.Context().Done()
				return true
			}
			servers = append(servers, s)
		}
		w := newWorld(t, servers...)
		defer w.end()
		for i := range 4 {
			<-w.send("GET", "/tally/poison", fmt.Sprint("p", i), "").done
			time.Sleep(6 * time.Second)
		}
		dead := 0
		for _, s := range w.servers {
			dead += len(s.Runs())
		}
		if dead != 3 {
			t.Errorf("the request ended %d servers over half a minute of four callers", dead)
		}
		a := w.send("GET", "/tally/fine", "r1", "")
		<-a.done
		if a.status != http.StatusOK {
			t.Errorf("an innocent request got %d", a.status)
		}
	})
}

// A router does not take more bodies than it has memory for. In order: a server is
// slow, callers with large bodies go on coming; beyond the bound they are refused at
// once, and those that were taken are served.
func TestBodiesHeldAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, voteServer("a"))
		defer w.end()
		w.servers[0].WorkTime = time.Second
		body := strings.Repeat("x", 4<<20)
		var answers []*answer
		for i := range 12 {
			answers = append(answers, w.send("POST", "/vote/1", fmt.Sprint("b", i), body))
		}
		count := map[int]int{}
		for _, a := range answers {
			<-a.done
			count[a.status]++
		}
		if count[http.StatusOK] != 8 || count[http.StatusServiceUnavailable] != 4 {
			t.Errorf("answers %v", count)
		}
	})
}
