package httphead

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// answers is a dial function whose server answers the requests of a connection with texts, in order, some
// bytes at a time.
func answers(atOnce int, texts ...string) dialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			requests := bufio.NewReader(theirs)
			for _, text := range texts {
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				for len(text) > 0 {
					n, err := theirs.Write([]byte(text[:min(atOnce, len(text))]))
					if err != nil {
						return
					}
					text = text[n:]
				}
			}
		}()
		return ours, nil
	}
}

// Guards against the lines of chunks as a body, however the head arrives: HTTP/1.0 has no chunks. And
// against an answer of that version, or one in chunks, that is lost.
func TestTransferCodingOfAnOldVersion(t *testing.T) {
	const chunks, interim = "\r\na\r\nthe answer\r\n0\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
	for text, whole := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                  false,
		"HTTP/1.0 200 OK\ntransfer-encoding:chunked\nContent-Length: 4\n" + chunks:                    false,
		"HTTP/1.0  200 OK\r\nContent-Length: 4\r\nTransfer-Encoding:\r\n identity\r\n" + chunks:       false,
		interim + interim + "HTTP/1.0 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n" + chunks:    false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                  true,
		interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                        true,
		"HTTP/1.0 200 OK\r\nX-A: Transfer-Encoding: chunked\r\nContent-Length: 10\r\n\r\nthe answer":  true,
		"HTTP/1.0 200 OK\nContent-Length: 10\n\nthe answer":                                           true,
		interim + "HTTP/1.0 200 OK\r\nX-Folded: a\r\n Transfer-Encoding: b\r\n\r\nthe answer":         true,
		"HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nthe answer":                                                 true,
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nthe answer":                                     true,
		"HTTP/1.1 200 OK\r\n\r\nthe answer":                                                           true,
		"HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nthe answerHTTP/1.0 200 OK\r\nTransfer-Encoding": true,
	} {
		for atOnce := 1; atOnce <= len(text); atOnce++ {
			c := http.Client{Transport: NewTransport(&http.Transport{DialContext: answers(atOnce, text)})}
			resp, err := c.Get("http://server")
			if !whole {
				if !errors.Is(err, ErrCoding) {
					t.Fatalf("%d bytes at once: got error %v from %q, want %v", atOnce, err, text, ErrCoding)
				}
				continue
			}
			if err != nil {
				t.Fatalf("%d bytes at once: got error %v from %q", atOnce, err, text)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "the answer" {
				t.Fatalf("%d bytes at once: got %q, error %v, from %q", atOnce, body, err, text)
			}
			resp.Body.Close()
		}
	}
}

// Guards against a check of the first answer of a connection alone.
func TestTransferCodingOnAKeptConnection(t *testing.T) {
	const kept = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n"
	c := http.Client{Transport: NewTransport(&http.Transport{
		DialContext: answers(1<<10, kept+"\r\nbody", kept+"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"),
	})}
	for i, want := range []error{nil, ErrCoding} {
		resp, err := c.Get("http://server")
		if !errors.Is(err, want) {
			t.Fatalf("answer %d: got error %v, want %v", i, err, want)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}
