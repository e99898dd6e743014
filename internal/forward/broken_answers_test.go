package forward_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// signed are the headers of an answer that is a server's own.
const signed = "X-Request-Id: r1\r\nX-Backend-Signature: x\r\n"

// tcpRouter is a router with servers that answer over TCP with raw bytes.
type tcpRouter struct {
	url   string
	first atomic.Pointer[rawserver.Answer] // to the first request that a call sends
	sends atomic.Int64                     // of the call, probes apart
}

// serverAnswer returns a server's answer. Probes are answered as by a server that is alive.
func (r *tcpRouter) serverAnswer(req *http.Request) rawserver.Answer {
	text := goodText(req.URL.Path)
	switch {
	case req.URL.Path == forward.PlainReportURI:
		text = "{}"
	case r.sends.Add(1) == 1:
		return *r.first.Load()
	}
	return rawserver.Answer{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", signed, len(text), text)}
}

// goodText returns the body of a server's sound answer.
func goodText(path string) string {
	if path == streamPath {
		return cutEvents(1, 2)
	}
	return "answer of another server"
}

// startTCPRouter starts a router and two servers for each service.
func startTCPRouter(t testing.TB) *tcpRouter {
	t.Helper()
	router := &tcpRouter{}
	list := testRoutes().List
	list.Limits.MaxBodyBytes = 2 * uploadBytes
	table := routes.NewTable(list)
	pool := upstream.NewPool()
	fleet := upstream.NewFleet(pool, zerolog.Nop())
	var rows []upstream.Backend
	for i, service := range []string{"votes", "votes", "models", "models"} {
		rows = append(rows, upstream.Backend{ID: fmt.Sprintf("i%d", i), Service: service, Zone: "a", Slots: 64, Address: rawserver.Start(t, router.serverAnswer)})
	}
	fleet.Apply(upstream.List{AsOf: time.Now(), Backends: rows})
	router.url = startFront(t, pool, fleet, table)
	return router
}

// uploadBytes is more than the sockets between a router and a server hold.
const uploadBytes = 8 << 20

// received is what a caller over TCP has got.
type received struct {
	status int
	header http.Header
	text   string
	err    error // the answer is not whole
}

func (r *received) String() string {
	return fmt.Sprintf("%d %q %v, error %v", r.status, r.text, r.header, r.err)
}

// call sends a request whose first server answers as stated, and returns what its caller has got.
func (r *tcpRouter) call(path string, body []byte, answer rawserver.Answer) received {
	r.first.Store(&answer)
	r.sends.Store(0)
	req, err := http.NewRequest(http.MethodPost, r.url+path, bytes.NewReader(body))
	if err != nil {
		return received{err: err}
	}
	req.Host = "shelf"
	req.Header.Set(forward.HeaderRequestID, "r1")
	req.Header.Set("Authorization", "Bearer key-of-nelson")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return received{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, header: resp.Header, text: string(text), err: err}
}

// Paths of a call that may run once, one that may be repeated and a stream.
const (
	oncePath       = "/vote/1"
	idempotentPath = "/tally/1"
	streamPath     = "/s/1"
)

var allPaths = []string{oncePath, idempotentPath, streamPath}

// checkBroken checks what a caller has got whose first server sent what is no answer: a stream and an
// idempotent call go to another server, and of another call nobody knows the outcome.
func (r *tcpRouter) checkBroken(t *testing.T, what, path string, got *received) {
	t.Helper()
	switch {
	case path != oncePath && (got.err != nil || got.status != http.StatusOK || got.text != goodText(path)):
		t.Errorf("%s: the caller of %s got %v, want the answer of another server", what, path, got)
	case path == oncePath && (got.err != nil || got.status != http.StatusBadGateway || got.header.Get(forward.HeaderSignature) != "" || r.sends.Load() != 1):
		t.Errorf("%s: the caller of %s got %v after %d sends, want 502 after one", what, path, got, r.sends.Load())
	}
}

// Guards against a part of an answer that a caller takes for the whole: the server answers an upload at
// once and resets the connection. A whole answer that ends in good order before the upload stays whole.
func TestAnswersThatEndDuringAnUpload(t *testing.T) {
	const tries = 8
	body := make([]byte, uploadBytes)
	for _, status := range []string{"200 OK", "400 Bad Request"} {
		for _, path := range allPaths {
			for _, end := range []rawserver.End{rawserver.InOrder, rawserver.Unread, rawserver.Reset} {
				t.Run(fmt.Sprintf("%s%s, %s", status, path, end), func(t *testing.T) {
					text := "answer of the first server"
					if path == streamPath && status == "200 OK" {
						text = cutEvents(1, 1)
					}
					r := startTCPRouter(t)
					for range tries {
						got := r.call(path, body, rawserver.Answer{Text: "HTTP/1.1 " + status + "\r\n" + signed + "Connection: close\r\n\r\n" + text, End: end})
						switch {
						case end == rawserver.Reset:
							r.checkBroken(t, end.String(), path, &got)
						case got.err != nil || got.text != text || r.sends.Load() != 1:
							t.Errorf("the caller got %v after %d sends, want the first answer", &got, r.sends.Load())
						}
					}
				})
			}
		}
	}
}

// Guards against a status that is none and reaches a caller, or that hides the answer behind it.
func TestAnswersWithoutAValidStatus(t *testing.T) {
	const behind = "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 6\r\n\r\nanswer"
	for _, status := range []string{"000", "000 OK", "001 A", "099 A", "+20 OK", "-00 OK", "600 A", "999 A", "2000 OK", "20 OK", "2e2 OK", "0x1 OK"} {
		for _, rest := range []string{signed + "Content-Length: 6\r\n\r\nanswer", signed + "\r\n" + behind, signed + "\r\n" + cutEvents(1, 1)} {
			r := startTCPRouter(t)
			for _, path := range allPaths {
				got := r.call(path, []byte("x"), rawserver.Answer{Text: "HTTP/1.1 " + status + "\r\n" + rest})
				r.checkBroken(t, fmt.Sprintf("status %q, %q", status, rest), path, &got)
			}
		}
	}
}

// invalidLines are lines of a head whose names are none.
var invalidLines = []string{
	"X A: b", "X-A : b", "X-A\t: b", "X\x00A: b", "X\x01A: b", "X\x7fA: b", "X\rA: b", ": b", "X(A: b", "X\x80: b", "X\xc3\xa9: b", "no colon",
	"Content-Length : 3", "Content-Length\t: 3", "Content-Length\x00: 3", "Content Length: 3", "Transfer-Encoding : chunked", "Transfer-Encoding\x0b: chunked",
}

// Guards against a head with a name that is none: its line reaches a caller, or it states how long the
// body is and nobody reads it.
func TestAnswersWithInvalidFieldNames(t *testing.T) {
	const body = "\r\n3\r\nabc\r\n0\r\n"
	for _, line := range invalidLines {
		line += "\r\n"
		for _, head := range []string{signed + line, line + signed, signed + "Content-Length: 6\r\n" + line} {
			r := startTCPRouter(t)
			for _, path := range allPaths {
				for _, text := range []string{
					"HTTP/1.1 200 OK\r\n" + head + body + "\r\n",
					"HTTP/1.1 400 Bad Request\r\n" + head + body + "\r\n",
					"HTTP/1.1 103 Early Hints\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 6\r\n\r\nanswer",
					"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n" + body + line + "\r\n",
				} {
					got := r.call(path, []byte("x"), rawserver.Answer{Text: text})
					r.checkBroken(t, fmt.Sprintf("%q", text), path, &got)
				}
			}
		}
	}
}

// Guards against a sound answer that is refused for a head that is only unusual.
func TestUnusualHeadsOfSoundAnswers(t *testing.T) {
	const text = "the answer"
	const chunked = "Transfer-Encoding: chunked\r\n\r\na\r\nthe answer\r\n0\r\n"
	for _, answer := range []string{
		"HTTP/1.1 200 \r\n" + signed + "Content-Length: 10\r\n\r\n" + text,
		"HTTP/1.1 200\r\n" + signed + "Content-Length: 10\r\n\r\n" + text,
		"HTTP/1.1 200 a\x01\xc3\xa9 b\r\n" + signed + "Content-Length: 10\r\n\r\n" + text,
		"HTTP/1.1 200 OK\r\n" + signed + "X-A: \xc3\xa9 \x80\tb\r\nContent-Length:10\r\n\r\n" + text,
		"HTTP/1.1 200 OK\r\n" + signed + "X-Folded: a\r\n b : c\r\n\td\r\ncontent-length:\t10 \r\n\r\n" + text,
		"HTTP/1.1 200 OK\r\n" + signed + "!#$%&'*+.^_`|~09Az-: b\r\nX-Empty:\r\nx-lower: b\r\nContent-Length: 10\r\n\r\n" + text,
		"HTTP/1.1 200 OK\n" + signed + "Content-Length: 10\n\n" + text,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a b>\r\n\r\nHTTP/1.1 404 Not Found\r\n" + signed + "Content-Length: 10\r\n\r\n" + text,
		"HTTP/1.1 200 OK\r\n" + signed + chunked + "\r\n",
		"HTTP/1.1 200 OK\r\n" + signed + "Trailer: X-A\r\n" + chunked + "X-A: a b\r\nX-B: c\r\n\r\n",
		"HTTP/1.1 599 A\r\n" + signed + "Content-Length: 10\r\n\r\n" + text,
		"HTTP/1.0 200 OK\r\n" + signed + "\r\n" + text,
	} {
		r := startTCPRouter(t)
		if got := r.call(oncePath, []byte("x"), rawserver.Answer{Text: answer}); got.err != nil || got.text != text || got.header.Get(forward.HeaderSignature) == "" {
			t.Errorf("%q: the caller got %v, want the answer", answer, &got)
		}
	}
}

// Guards against a request that is held back as one that ends its servers: they are alive, and answer it
// and the probes with heads that are none.
func TestInvalidAnswersToProbesBlameNoContent(t *testing.T) {
	for _, line := range []string{"X A: b", "X\x01A: b", "no colon"} {
		for _, path := range allPaths {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, shortEngine("a"), shortEngine("b"), voteServer("a"), voteServer("b"))
				defer f.shutDown()
				sends := f.answerFirst(answerCut("HTTP/1.1 200 OK\r\n"+signed+line+"\r\n\r\nabc", cutEnd{}))
				f.answerProbesWith("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n{}")
				for range 6 {
					sends.Store(0)
					got := f.send(http.MethodPost, path, "r1", "the same content")
					<-got.done
					if unknown := path == oncePath && got.status == http.StatusBadGateway; got.status != http.StatusOK && !unknown {
						t.Errorf("%q: the caller of %s got %d %q", line, path, got.status, got.text.String())
					}
					time.Sleep(time.Second)
				}
			})
		}
	}
}

// answerFirst has the first request that reaches the servers answered by a function, and the others as usual.
// It returns the number of requests.
func (f *fixture) answerFirst(answer answerFunc) (sends *atomic.Int64) {
	sends = &atomic.Int64{}
	for _, s := range f.servers {
		s.Intercept = func(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
			return sends.Add(1) == 1 && answer(s, w, r)
		}
	}
	return sends
}

// answerProbesWith has the servers answer probes with a text.
func (f *fixture) answerProbesWith(text string) {
	for _, s := range f.servers {
		s.InterceptProbe = func(_ *routedengine.Server, w http.ResponseWriter, _ *http.Request) bool {
			writeAndClose(w, text)
			return true
		}
	}
}

// Guards against log lines as long as what a server in trouble sends.
func TestCausesInTheLogAreShort(t *testing.T) {
	for _, path := range allPaths {
		synctest.Test(t, func(t *testing.T) {
			var log logBuffer
			f := newFixtureWithLog(t, zerolog.New(&log), shortEngine("a"), voteServer("a"))
			defer f.shutDown()
			f.answerInTurn(answerCut("HTTP/1.1 200 OK\r\n"+signed+strings.Repeat("\xff\x01", 10_000)+": b\r\n\r\n", cutEnd{}))
			<-f.send(http.MethodPost, path, "r1", "x").done
			for line := range strings.Lines(log.buf.String()) {
				if len(line) > 2000 {
					t.Errorf("the caller of %s made a log line of %d bytes: %.300s", path, len(line), line)
				}
			}
		})
	}
}

// Guards against the lines of chunks as a body, or one that is cut among them: versions before HTTP/1.1 have
// no chunks, and the framing of an answer that states some is faulty. Other answers of HTTP/1.0 are whole.
func TestChunksOfAnOldVersion(t *testing.T) {
	const chunks = "\r\n3\r\nabc\r\n0\r\n\r\n"
	r := startTCPRouter(t)
	for _, status := range []string{"1.0 200 OK", "1.0 400 Bad Request", "0.9 200 OK", "0.0 400 Bad Request"} {
		for _, framing := range []string{"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nTransfer-Encoding: identity\r\n"} {
			for _, path := range allPaths {
				text := "HTTP/" + status + "\r\n" + signed + framing + chunks
				got := r.call(path, []byte("x"), rawserver.Answer{Text: text})
				r.checkBroken(t, fmt.Sprintf("%q", text), path, &got)
			}
		}
	}
	long := strings.Repeat("the answer ", 10_000)
	for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(long))} {
		for _, path := range allPaths {
			text := "HTTP/1.0 400 Bad Request\r\n" + signed + framing + "X-Twice: a\r\nX-Twice: b: c\r\n\r\n" + long
			got := r.call(path, []byte("x"), rawserver.Answer{Text: text})
			if got.text != long || got.status != http.StatusBadRequest || fmt.Sprint(got.header["X-Twice"]) != "[a b: c]" {
				t.Errorf("%.200q: the caller of %s got %d, %d bytes and %v, want the answer", text, path, got.status, len(got.text), got.header)
			}
		}
	}
}
