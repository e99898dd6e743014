package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

const (
	// maxEventBytes bounds an event of a stream.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the memory that a reader of events keeps between two events.
	eventBufferBytes = 1 << 10
)

var errEventTooLarge = fmt.Errorf("forward: event: %w", upstream.ErrTooLarge)

// event is a complete event as it was received, with its blank line.
type event struct {
	raw     []byte
	id      uint64
	hasID   bool
	hasData bool // it has a line that is no comment
}

var idField = []byte("id:")

// eventReader reads the events of a stream.
type eventReader struct {
	br   *bufio.Reader
	take func(bytes int) bool // takes memory, or gives it up; false: there is none
	raw  []byte               // of the event that is being read
}

func newEventReader(r io.Reader, take func(bytes int) bool) *eventReader {
	return &eventReader{br: bufio.NewReader(r), take: take, raw: make([]byte, 0, eventBufferBytes)}
}

// next reads a complete event. It returns io.EOF if the stream ended between two
// events. A truncated event gives io.ErrUnexpectedEOF and is never forwarded: its engine
// died while it wrote the event, and the next engine generates it again.
func (r *eventReader) next() (event, error) {
	var e event
	r.reset()
	begun := false // a part of the line was read, which is longer than the buffer
	for {
		line, err := r.br.ReadSlice('\n')
		if !r.add(line) {
			return event{}, upstream.ErrNoMemory
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(r.raw) < maxEventBytes:
			e.hasData = e.hasData || !begun && isData(line)
			begun = true
			continue
		case len(r.raw) >= maxEventBytes:
			return event{}, errEventTooLarge
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		case begun:
			begun = false // the rest is neither a blank line nor a field
			continue
		}
		if e.addLine(line) {
			e.raw = bytes.Clone(r.raw)
			return e, nil
		}
	}
}

// addLine reads a line of the event. It reports whether it is the blank line that ends it.
func (e *event) addLine(line []byte) (ends bool) {
	line = bytes.TrimRight(line, "\r\n")
	if len(line) == 0 {
		return true
	}
	e.hasData = e.hasData || isData(line)
	if value, ok := bytes.CutPrefix(line, idField); ok {
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		e.id, e.hasID = id, err == nil
	}
	return false
}

// cutEvent returns the event with which text begins; ok is false if it has not ended there.
func cutEvent(text []byte) (e event, ok bool) {
	for at := 0; ; {
		n := bytes.IndexByte(text[at:], '\n') + 1
		if n == 0 {
			return event{}, false
		}
		line := text[at : at+n]
		at += n
		if e.addLine(line) {
			e.raw = text[:at]
			return e, true
		}
	}
}

// isData reports whether a line of an event is no comment.
func isData(line []byte) bool { return line[0] != ':' }

// reset prepares for the next event, and gives up the memory of a large one.
func (r *eventReader) reset() {
	if n := cap(r.raw); n > eventBufferBytes {
		r.take(-n)
		r.raw = make([]byte, 0, eventBufferBytes)
	}
	r.raw = r.raw[:0]
}

// add appends a part of the event. It returns false if there is no memory for it.
func (r *eventReader) add(part []byte) bool {
	if len(r.raw)+len(part) > cap(r.raw) {
		former := cap(r.raw)
		size := max(2*former, len(r.raw)+len(part))
		if !r.take(size) {
			return false
		}
		r.raw = append(make([]byte, 0, size), r.raw...)
		if former > eventBufferBytes {
			r.take(-former)
		}
	}
	r.raw = append(r.raw, part...)
	return true
}

// sequence checks that the event ids of a stream are consecutive, over all engines.
type sequence struct {
	last    uint64
	started bool
}

// accept decides about an event. If pass is false, the event is dropped, since the caller
// has it. ok is false if an event before it is missing.
func (s *sequence) accept(e event) (pass, ok bool) {
	switch {
	case !e.hasID, !s.started:
		return true, true
	case e.id <= s.last:
		return false, true
	}
	return e.id == s.last+1, e.id == s.last+1
}

func (s *sequence) advance(e event) {
	if e.hasID {
		s.last, s.started = e.id, true
	}
}
