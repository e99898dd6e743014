package service_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/service"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
)

// senders are the two ways in which calls are sent.
func senders() map[string]func(t *testing.T, addr string, body []byte) (*call.Answer, error) {
	c := service.NewClient()
	request := func(body []byte) *service.Request {
		return &service.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: body}
	}
	return map[string]func(t *testing.T, addr string, body []byte) (*call.Answer, error){
		"relay": func(t *testing.T, addr string, body []byte) (*call.Answer, error) {
			return c.Relay(t.Context(), addr, request(body))
		},
		"once": func(t *testing.T, addr string, body []byte) (*call.Answer, error) {
			conn, err := c.Dial(t.Context(), addr)
			if err != nil {
				return nil, err
			}
			defer conn.Close()
			a, wrote, err := conn.Send(t.Context(), request(body), nil)
			if err != nil && !wrote {
				err = errors.Join(err, errNotWritten)
			}
			return a, err
		},
	}
}

// errNotWritten would have a call refused as not run.
var errNotWritten = errors.New("no byte was written")

// Guards against an answer that is none: its status is no status, or its head holds a name that is no
// name and may state how the body is framed. Unusual heads of sound answers pass.
func TestInvalidHeads(t *testing.T) {
	const framed = "Content-Length: 10\r\n\r\nthe answer"
	for text, valid := range map[string]bool{
		"HTTP/1.1 000 OK\r\n" + framed: false, "HTTP/1.1 001 A\r\n" + framed: false, "HTTP/1.1 099 A\r\n" + framed: false, "HTTP/1.1 +20 A\r\n" + framed: false,
		"HTTP/1.1 600 A\r\n" + framed: false, "HTTP/1.1 999 A\r\n" + framed: false, "HTTP/1.1 2000 A\r\n" + framed: false,
		"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + framed:                                                      false,
		"HTTP/1.1 200 OK\r\nX A: b\r\n" + framed:                                                                   false,
		"HTTP/1.1 200 OK\r\nX-A : b\r\n" + framed:                                                                  false,
		"HTTP/1.1 200 OK\r\nX\x01A: b\r\n" + framed:                                                                false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + framed:                                              false,
		"HTTP/1.1 200 OK\r\nContent-Length : 10\r\nTransfer-Encoding: chunked\r\n\r\na\r\nthe answer\r\n0\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nthe answer\r\n0\r\nX A: b\r\n\r\n":              false,
		"HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + framed:                                   false,
		"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + framed:                                   true,
		"HTTP/1.1 200 OK\r\nX-A: \xc3\xa9\tb\r\nX-Folded: a\r\n b : c\r\n" + framed:                                true,
		"HTTP/1.1 200\r\n!#$%&'*+.^_`|~: b\r\n" + framed:                                                           true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nthe answer\r\n0\r\nX-A: a b\r\n\r\n":            true,
	} {
		addr := rawserver.StartSame(t, rawserver.Answer{Text: text})
		for way, send := range senders() {
			a, err := send(t, addr, []byte("x"))
			switch {
			case (err == nil) != valid, err == nil && string(a.Body) != "the answer":
				t.Errorf("%s: got %+v, error %v, from %q", way, a, err, text)
			case errors.Is(err, errNotWritten):
				t.Errorf("%s: the call counts as not sent with %q", way, text)
			}
		}
	}
}

// Guards against a body that is cut among the lines of chunks: versions before HTTP/1.1 have no
// chunks, and the framing of an answer that states some is faulty. One with a length alone is whole.
func TestServiceAnswersOfAnOldVersion(t *testing.T) {
	for head, whole := range map[string]bool{
		"1.0 200 OK\r\nTransfer-Encoding: chunked\r\n": false, "1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n": false,
		"0.9 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n": false, "1.0 200 OK\r\nContent-Length: 13\r\n": true,
	} {
		addr := rawserver.StartSame(t, rawserver.Answer{Text: "HTTP/" + head + "\r\n3\r\nabc\r\n0\r\n\r\n"})
		for way, send := range senders() {
			if a, err := send(t, addr, []byte("x")); (err == nil) != whole {
				t.Errorf("%s, %q: got %+v, error %v, want a broken answer: %t", way, head, a, err, !whole)
			}
		}
	}
}

// formerSender takes what is none for an answer, as former builds did.
type formerSender struct{ answer call.Answer }

func (s formerSender) Dial(context.Context, string) (service.Connection, error) { return s, nil }
func (formerSender) Close()                                                     {}

func (s formerSender) Relay(context.Context, string, *service.Request) (*call.Answer, error) {
	return &s.answer, nil
}

func (s formerSender) Send(_ context.Context, _ *service.Request, permit func() error) (*call.Answer, bool, error) {
	return &s.answer, true, permit()
}

// Guards against a recorded answer of a former build whose status cannot be written.
func TestRecordedAnswerWithoutAStatus(t *testing.T) {
	for _, status := range []int{0, 99, 600} {
		d := service.NewDispatcher(
			service.Config{VM: "vm1", Incarnation: "i1"},
			service.Deps{
				Control: control.NewLocalClient(newState()), Sender: formerSender{call.Answer{Status: status, Body: []byte("x")}}, Backends: staticBackends{{Name: "b", Addr: "127.0.0.1:1"}},
				Explain: explain.NewRing(64), Metrics: new(expvar.Map).Init(), Log: zerolog.Nop(),
			})
		for _, try := range []string{"first", "resent"} {
			if a, err := d.Once(t.Context(), booking("k1", nil)); result.CodeOf(err) != result.OutcomeUnknown {
				t.Errorf("status %d, %s: got %+v, error %v, want an unknown outcome", status, try, a, err)
			}
		}
	}
}

// Guards against a part of an answer that counts as the whole, and against a whole one that is lost: its
// server answers an upload at once and ends or resets the connection. An answer without a length is none.
func TestAnswersThatEndDuringAnUpload(t *testing.T) {
	const tries, text, length = 10, "the answer", "Content-Length: 10\r\n"
	body := make([]byte, 8<<20) // more than the sockets hold
	for _, end := range []rawserver.End{rawserver.InOrder, rawserver.Unread, rawserver.Reset} {
		for _, framing := range []string{"Connection: close\r\n", length} {
			addr := rawserver.StartSame(t, rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n" + framing + "\r\n" + text, End: end})
			for way, send := range senders() {
				t.Run(fmt.Sprintf("%s, %q, %s", end, framing, way), func(t *testing.T) {
					whole := 0
					for range tries {
						if a, err := send(t, addr, body); err == nil && string(a.Body) == text {
							whole++
						}
					}
					if want := map[bool]int{true: tries}[framing == length]; whole != want {
						t.Errorf("%d of %d answers counted as whole, want %d", whole, tries, want)
					}
				})
			}
		}
	}
}
