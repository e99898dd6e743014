package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds an event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("forward: event too large")

// event is a complete event as it was received, with its blank line.
type event struct {
	raw   []byte
	id    uint64
	hasID bool
}

var idField = []byte("id:")

// readEvent reads a complete event. It returns io.EOF if the stream ended between two
// events. A truncated event gives io.ErrUnexpectedEOF and is never forwarded: its engine
// died while it wrote the event, and the next engine generates it again.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	begun := false // a part of the line was read, which is longer than the buffer
	for {
		line, err := br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes:
			begun = true
			continue
		case len(e.raw) >= maxEventBytes:
			return event{}, errEventTooLarge
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		case begun:
			begun = false // the rest is neither a blank line nor a field
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			e.id, e.hasID = id, err == nil
		}
	}
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
