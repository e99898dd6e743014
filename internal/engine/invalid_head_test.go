package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
)

// Guards against events that are lost unnoticed, and against an answer that is none: the head states in
// a name that is no name how the body is framed, or the status is no status.
func TestInvalidHeads(t *testing.T) {
	const events = "data: {\"index\":1,\"token_ids\":[5],\"texts\":[\"a\"]}\n\ndata: {\"index\":2,\"token_ids\":[6],\"texts\":[\"b\"],\"finish_reason\":\"length\"}\n\n"
	heads := []string{"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + events, "HTTP/1.1 600 A\r\n\r\n" + events, "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n" + events, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + events}
	for n := 1; n < len(events); n++ {
		heads = append(heads, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", n, events[:n], len(events)-n, events[n:]))
	}
	c := NewClient()
	for _, text := range heads {
		addr, stop := serveCut(t, text, false)
		var got []Event
		err := c.Attach(t.Context(), addr, "a", 0, func(e Event) error {
			got = append(got, e)
			return nil
		})
		stop()
		if err == nil {
			t.Errorf("got %d events without error from %q", len(got), text)
		}
	}
}

// Guards against a report whose head is invalid.
func TestInvalidHeadsOfReports(t *testing.T) {
	const report = `{"seq":7,"running":12}`
	c := NewClient()
	for _, head := range []string{
		"1.1 000 OK\r\n", "1.1 099 A\r\n", "1.1 600 A\r\n", "1.1 200 OK\r\nX A: b\r\n", "1.1 200 OK\r\nContent-Length : 3\r\n", "1.1 200 OK\r\nX\x01A: b\r\n",
		"1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		addr, stop := serveCut(t, "HTTP/"+head+"\r\n"+report, false)
		l, err := c.Load(t.Context(), addr)
		if err == nil {
			t.Errorf("got %+v without error behind the head %q", l, head)
		}
		if err := c.Cancel(t.Context(), addr, "a"); err == nil {
			t.Errorf("a run counts as cancelled with the head %q", head)
		}
		stop()
	}
}

// Guards against a part of a stream that counts as the whole, and against a whole one that is lost: the
// engine answers a long prompt at once, and ends or resets the connection.
func TestStreamsThatEndDuringAnUpload(t *testing.T) {
	const tries, event = 10, "data: {\"index\":1,\"token_ids\":[5],\"texts\":[\"a\"]}\n\n"
	const finish = "data: {\"index\":2,\"token_ids\":[6],\"texts\":[\"b\"],\"finish_reason\":\"length\"}\n\n"
	c, prompt := NewClient(), strings.Repeat("a", 8<<20)
	for _, end := range []rawserver.End{rawserver.InOrder, rawserver.Unread, rawserver.Reset} {
		for _, events := range []string{event, event + finish} {
			addr := rawserver.StartSame(t, rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n\r\n" + events, End: end})
			whole := 0
			for range tries {
				if c.Generate(t.Context(), addr, Completion{Prompt: prompt}, func(Event) error { return nil }) == nil {
					whole++
				}
			}
			switch {
			case events == event && whole > 0:
				t.Errorf("%s: %d of %d parts counted as whole streams", end, whole, tries)
			case events != event && end == rawserver.InOrder && whole < tries:
				t.Errorf("%s: %d of %d whole streams were lost", end, tries-whole, tries)
			}
		}
	}
}
