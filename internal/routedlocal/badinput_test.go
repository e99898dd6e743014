package routedlocal

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
)

// sendRaw sends text on a new connection and returns the status of the answer, or 0 if
// the connection was closed without an answer.
func sendRaw(t *testing.T, addr, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	check(t, err)
	defer c.Close()
	check(t, c.SetDeadline(time.Now().Add(testTimeout)))
	// The router may answer before it has read everything, and then reads no more.
	go func() { _, _ = c.Write([]byte(text)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against malformed or oversized requests that get a wrong status, or that
// interrupt a stream on another connection.
func TestBadInputDisturbsNobody(t *testing.T) {
	s, ctx := start(t)
	check(t, s.PutStreamRoute(ctx, 1, "/a/"))
	check(t, s.Ready(ctx))
	addr := s.CallerAddresses[0]
	head := "POST /a/1 HTTP/1.1\r\nHost: " + Host + "\r\n" + forward.HeaderRequestID + ": bad\r\n"
	tests := []struct {
		name, text string
		status     int
	}{
		{"malformed", "POST /a/1\r\n\r\n", http.StatusBadRequest},
		{"no host", "GET /a/1 HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", http.StatusBadRequest},
		{"length that is not a number", head + "Content-Length: three\r\n\r\n", http.StatusBadRequest},
		{"body over the limit", head + "Content-Length: 99999999\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"body over the list's limit", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 5<<20) + strings.Repeat("x", 5<<20), http.StatusRequestEntityTooLarge},
		{"headers over the limit", head + "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"incomplete body", head + forward.HeaderDeadline + ": 200\r\nContent-Length: 10\r\n\r\nabc", http.StatusRequestTimeout},
		{"malformed chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		{"no route", "GET /nowhere HTTP/1.1\r\nHost: " + Host + "\r\n\r\n", http.StatusNotFound},
	}
	done := make(chan StreamResult, 1)
	go func() {
		got, err := Stream(ctx, addr, "/a/1", "good", 0, nil)
		if err != nil {
			t.Error(err)
		}
		done <- got
	}()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := sendRaw(t, addr, tt.text); got != tt.status {
				t.Errorf("got status %d, want %d", got, tt.status)
			}
		})
	}
	if got := <-done; !got.Complete || !HasAllEvents(got.EventIDs, Events) {
		t.Errorf("stream on another connection: got %+v, want all events and a proper end", got)
	}
}
