package forward

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// unlimited is memory without a bound.
func unlimited(int) bool { return true }

// readEvents reads the events of a text until an error.
func readEvents(text io.Reader) (events []event, err error) {
	in := newEventReader(text, unlimited)
	for {
		e, err := in.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// Guards against long lines that are taken apart at the end of the buffer: the rest of one is no
// blank line, which would end the event before its id, and no id.
func TestLongLines(t *testing.T) {
	const buffer = 4096
	for _, ending := range []string{"\n", "\r\n"} {
		for n := buffer - 10; n <= 2*buffer+10; n++ {
			data := "data: " + strings.Repeat("x", n-len("data: "))
			text := data + ending + "id: 7" + ending + ending
			events, err := readEvents(strings.NewReader(text))
			if !errors.Is(err, io.EOF) || len(events) != 1 || string(events[0].raw) != text || events[0].id != 7 {
				t.Fatalf("line of %d bytes: got %d events, error %v; want one with the id 7", n, len(events), err)
			}
		}
		data := "data: " + strings.Repeat("x", buffer-len("data: ")) + "id: 9"
		events, _ := readEvents(strings.NewReader(data + ending + ending))
		if len(events) != 1 || events[0].hasID {
			t.Errorf("got %d events, want one without an id", len(events))
		}
	}
}

// Guards against an event without an end, which would be collected until memory runs out.
func TestEndlessEvent(t *testing.T) {
	const most = 2 * maxEventBytes
	for _, unit := range []string{"\x00", "data: x\n", "id: 7\r\n", strings.Repeat("y", 5000) + "\n"} {
		r := strings.NewReader("id: 1\n\n" + strings.Repeat(unit, 8*maxEventBytes/len(unit)))
		size := r.Len()
		events, err := readEvents(r)
		if read := size - r.Len(); !errors.Is(err, errEventTooLarge) || len(events) != 1 || read > most {
			t.Errorf("%s: got %d events and the error %v after %d bytes, want one and too large an event within %d", fmt.Sprintf("%.9q", unit), len(events), err, read, most)
		}
	}
}
