package engine

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// serveCut answers each connection with a text, and closes or resets it, until it is stopped.
func serveCut(t *testing.T, text string, reset bool) (addr string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }
}

// framings returns an answer with a length, in chunks and without either.
func framings(text string) []string {
	const ok = "HTTP/1.1 200 OK\r\n"
	return []string{
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(text), text), fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", ok, len(text), text),
		ok + "\r\n" + text, "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "\r\n" + text,
	}
}

// Guards against a stream that counts as complete although its engine stopped before the last event, in
// the head of its answer too, and against an event that is delivered in part.
func TestStreamsCutAtEveryByte(t *testing.T) {
	const events = "data: {\"index\":1,\"token_ids\":[5],\"texts\":[\"a\"]}\n\ndata: {\"index\":2,\"token_ids\":[6],\"texts\":[\"b\"],\"finish_reason\":\"length\"}\n\n"
	c := NewClient()
	for _, whole := range framings(events) {
		for _, reset := range []bool{false, true} {
			for n := range len(whole) + 1 {
				var got []Event
				addr, stop := serveCut(t, whole[:n], reset)
				err := c.Attach(t.Context(), addr, "a", 0, func(e Event) error {
					got = append(got, e)
					return nil
				})
				stop()
				complete := len(got) == 2 && got[1].Finish == "length"
				if err == nil != complete {
					t.Errorf("%d events, error %v, of %q, reset: %t; want no error with the finish event only", len(got), err, whole[:n], reset)
				}
				for i, e := range got {
					if e.Index != i+1 || len(e.Texts) != 1 {
						t.Errorf("got event %+v of %q", e, whole[:n])
					}
				}
			}
		}
	}
}

// Guards against a report that is read in part.
func TestReportsCutAtEveryByte(t *testing.T) {
	c := NewClient()
	for _, whole := range framings(`{"seq":7,"running":12}`) {
		for n := range len(whole) + 1 {
			addr, stop := serveCut(t, whole[:n], false)
			l, err := c.Load(t.Context(), addr)
			stop()
			if err == nil && (l.Seq != 7 || l.Running != 12) || n == len(whole) && err != nil {
				t.Errorf("got %+v, error %v, of %q", l, err, whole[:n])
			}
			if n < 12 && errors.As(err, new(*StatusError)) {
				t.Errorf("got %v of %q", err, whole[:n])
			}
		}
	}
}
