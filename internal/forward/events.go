package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("forward: event too large")

// event is one whole event as it came, with its blank line.
type event struct {
	raw   []byte
	id    uint64
	hasID bool
}

var idField = []byte("id:")

// readEvent reads one whole event. io.EOF: the stream ended between two events.
// An event that is cut off is io.ErrUnexpectedEOF and is never passed on: its
// engine died in the middle of it, and the next engine makes it again.
func readEvent(br *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes:
			continue
		case len(e.raw) >= maxEventBytes:
			return event{}, errEventTooLarge
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
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

// sequence checks that events follow one another, over several engines.
type sequence struct {
	last    uint64
	started bool
}

// follows says what to do with an event: pass it on, drop it as one that the
// caller has, or neither, since one is missing before it.
func (s *sequence) follows(e event) (pass, ok bool) {
	switch {
	case !e.hasID, !s.started:
		return true, true
	case e.id <= s.last:
		return false, true
	}
	return e.id == s.last+1, e.id == s.last+1
}

func (s *sequence) passed(e event) {
	if e.hasID {
		s.last, s.started = e.id, true
	}
}
