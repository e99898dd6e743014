package headlimit

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against heads that are not counted: behind a body, in trailers, in pieces; and against bodies
// that are.
func TestScanner(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nHost: h\r\n"
	lines := strings.Repeat("a:1\r\n", 100)
	for _, tt := range []struct {
		name, text    string
		current, next headSize
		after         headSize // of the next request, once the first one is served
	}{
		{"a request", start + "\r\n", headSize{len(start) + 2, 3}, headSize{}, headSize{}},
		{"a head without end", start + lines, headSize{len(start) + 500, 102}, headSize{}, headSize{}},
		{"a line without end", start + "a", headSize{len(start) + 1, 2}, headSize{}, headSize{}},
		{"empty lines", "\r\n\r\n\r\n", headSize{6, 3}, headSize{}, headSize{}},
		{"a body", start + "Content-Length: 500\r\n\r\n" + lines, headSize{len(start) + 23, 4}, headSize{}, headSize{}},
		{"lines behind a body", start + "content-length:5\r\n\r\n01234" + start + lines, headSize{len(start) + 20, 4}, headSize{len(start) + 500, 102}, headSize{len(start) + 500, 102}},
		{"lines behind no body", start + "\r\n" + start + lines, headSize{len(start) + 2, 3}, headSize{len(start) + 500, 102}, headSize{len(start) + 500, 102}},
		{"chunks", start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;x=y\r\n\n\r\n", 9) + "0\r\n\r\n" + start, headSize{len(start) + 32, 5}, headSize{len(start), 2}, headSize{len(start), 2}},
		{"trailers", start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + lines, headSize{len(start) + 30 + 500, 104}, headSize{}, headSize{}},
	} {
		for _, piece := range []int{1, 7, 4096} {
			var s scanner
			for rest := tt.text; rest != ""; rest = rest[min(piece, len(rest)):] {
				s.scan([]byte(rest[:min(piece, len(rest))]))
			}
			if s.current != tt.current || s.next != tt.next {
				t.Errorf("%s, in pieces of %d: got %v and %v behind it, want %v and %v", tt.name, piece, s.current, s.next, tt.current, tt.next)
			}
			s.nextRequest()
			if s.current != tt.after || s.next != (headSize{}) {
				t.Errorf("%s: the next request has %v, want %v", tt.name, s.current, tt.after)
			}
		}
	}
}

// Guards against a head that is not counted once several requests were served on a connection.
func TestScannerOfSeveralRequests(t *testing.T) {
	var s scanner
	for i := range 3 {
		text := fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i)
		s.scan([]byte(text))
		if want := (headSize{len(text), 2}); s.current != want {
			t.Errorf("request %d: got %v, want %v", i, s.current, want)
		}
		s.nextRequest()
	}
	s.scan([]byte("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"))
	s.nextRequest()
	s.scan([]byte("GET /c HTTP/1.1\r\n"))
	if want := (headSize{17, 1}); s.next != want {
		t.Errorf("behind a whole request: got %v, want %v", s.next, want)
	}
}

// Guards against requests that are missed, and empty lines that are taken for requests, wherever a
// connection is read.
func TestScannerCountsRequests(t *testing.T) {
	const (
		get     = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		post    = "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n\r\nGET"
		chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nGET\r\n0\r\n\r\n"
	)
	for _, tt := range []struct {
		name, text string
		want       int64
	}{
		{"none", "", 0},
		{"empty lines", "\r\n\n\r\n", 0},
		{"a first byte", "G", 1},
		{"one", get, 1},
		{"empty lines around one", "\r\n" + get + "\r\n", 1},
		{"bodies", post + chunked, 2},
		{"one that begins behind others", get + post + chunked + get + "P", 5},
	} {
		for _, piece := range []int{1, 7, 4096} {
			var s scanner
			for rest := tt.text; rest != ""; rest = rest[min(piece, len(rest)):] {
				s.scan([]byte(rest[:min(piece, len(rest))]))
			}
			if s.requests != tt.want {
				t.Errorf("%s, in pieces of %d: got %d requests, want %d", tt.name, piece, s.requests, tt.want)
			}
		}
	}
}
