package client

import (
	"net/http"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
)

// invalidHeads are heads of answers that are none, which state the length N.
var invalidHeads = []string{
	"1.1 000 OK\r\nContent-Length: N\r\n", "1.1 099 A\r\nContent-Length: N\r\n", "1.1 +20 A\r\nContent-Length: N\r\n", "1.1 600 A\r\nContent-Length: N\r\n",
	"1.1 200 OK\r\nX A: b\r\nContent-Length: N\r\n", "1.1 200 OK\r\nContent-Length: N\r\nTransfer-Encoding : chunked\r\n", "1.1 200 OK\r\nX\x01A: b\r\nContent-Length: N\r\n",
	"1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: N\r\n",
}

// answerTo returns an answer with a head, which may state the length of the body.
func answerTo(head, body, length string) string {
	return "HTTP/" + strings.ReplaceAll(head, "N", length) + "\r\n" + body
}

// Guards against an answer that is none and counts as that of a service, as a change made by an operator,
// or as the addresses to use.
func TestInvalidHeads(t *testing.T) {
	const change, entry = `{"name":"a","version":7}`, `{"addresses":["127.0.0.1:1"],"ttl_ms":1000}`
	c := New(nil, "key")
	for _, head := range invalidHeads {
		addr := rawserver.StartSame(t, rawserver.Answer{Text: answerTo(head, "the answer", "10")})
		if got, err := c.callOnce(t.Context(), http.MethodGet, addr, "/", "k"); err == nil {
			t.Errorf("got the answer %+v behind the head %q", got, head)
		}
		addr = rawserver.StartSame(t, rawserver.Answer{Text: answerTo(head, change, "24")})
		var made ChangeResult
		if err := NewOperator(nil, "", "me").attempt(t.Context(), addr, http.MethodPut, "/v1/plans/a", nil, []byte("{}"), &made); err == nil {
			t.Errorf("got the change %+v behind the head %q", made, head)
		}
		addr = rawserver.StartSame(t, rawserver.Answer{Text: answerTo(head, entry, "43")})
		if got, err := discoverAt(t.Context(), addr, "key", "", ""); err == nil {
			t.Errorf("got the entry %+v behind the head %q", got, head)
		}
	}
}

// Guards against a part of an answer that counts as the whole: nothing tells the end of an answer without
// a length from that of its VM.
func TestAnswerWithoutALength(t *testing.T) {
	c := New(nil, "key")
	for text, whole := range map[string]bool{
		"200 OK\r\n\r\nthe answer":                                                                                    false,
		"200 OK\r\nContent-Length: 10\r\n\r\nthe answer":                                                              true,
		"200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nthe answer\r\n0\r\n\r\n":                                    true,
		"103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 303 See Other\r\nX-A: b c\r\nContent-Length: 10\r\n\r\nthe answer": true,
	} {
		addr := rawserver.StartSame(t, rawserver.Answer{Text: "HTTP/1.1 " + text})
		if got, err := c.callOnce(t.Context(), http.MethodGet, addr, "/", "k"); (err == nil) != whole || whole && string(got.Body) != "the answer" {
			t.Errorf("got %+v, error %v, from %q", got, err, text)
		}
	}
	addr := rawserver.StartSame(t, rawserver.Answer{Text: "HTTP/1.1 204 No Content\r\n\r\n"})
	if _, err := c.callOnce(t.Context(), http.MethodGet, addr, "/", "k"); err != nil {
		t.Errorf("got error %v from an answer that has no body", err)
	}
}
