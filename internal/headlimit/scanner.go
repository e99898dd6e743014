package headlimit

import (
	"bytes"
	"strconv"
	"strings"
)

// scanner follows the framing of the requests on a connection, and counts what belongs to heads. It
// does not check requests: the HTTP server does.
type scanner struct {
	state   scanState
	line    []byte // the beginning of the line that is read
	length  int    // of that line so far
	lines   int    // of the head that is read
	body    int64  // bytes that are left of the body or chunk
	chunked bool
	inHead  int // bytes of the head that is read

	current headSize // of the request that is read or served, its trailers included
	next    headSize // of those behind it
	served  bool     // the head of the current request is whole

	requests int64 // that have begun to arrive
	begun    bool  // the head that is read counts in requests
}

// headSize is what was received of heads.
type headSize struct{ bytes, lines int }

type scanState uint8

const (
	inHead scanState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// maxLineStart bounds what is kept of a line. The fields that tell the length of a body are shorter.
const maxLineStart = 64

// scan follows the bytes that the HTTP server is about to read.
func (s *scanner) scan(p []byte) {
	for len(p) > 0 {
		switch s.state {
		case inBody, inChunk:
			n := min(s.body, int64(len(p)))
			p, s.body = p[n:], s.body-n
			if s.body == 0 {
				s.endBody()
			}
		default:
			p = s.scanLine(p)
		}
	}
}

func (s *scanner) endBody() {
	if s.state == inChunk {
		s.state = inChunkEnd
		return
	}
	s.startHead()
}

func (s *scanner) startHead() {
	s.state, s.lines, s.inHead, s.chunked, s.begun = inHead, 0, 0, false, false
}

// scanLine follows a line, or a part of it, and returns the bytes behind that.
func (s *scanner) scanLine(p []byte) []byte {
	n, whole := bytes.IndexByte(p, '\n')+1, true
	if n == 0 {
		n, whole = len(p), false
	}
	s.count(n, whole)
	if s.state == inHead && !s.begun && len(bytes.Trim(p[:n], "\r\n")) > 0 {
		s.begun = true
		s.requests++
	}
	s.line = append(s.line, p[:min(n, maxLineStart-len(s.line))]...)
	if s.length += n; whole {
		s.endLine()
		s.line, s.length = s.line[:0], 0
	}
	return p[n:]
}

// count counts a part of a line of a head or trailer.
func (s *scanner) count(n int, whole bool) {
	size := &s.current
	switch {
	case s.state == inHead:
		s.inHead += n
		if s.served {
			size = &s.next
		}
	case s.state != inTrailer:
		return
	}
	size.bytes += n
	if whole {
		size.lines++
	}
}

func (s *scanner) endLine() {
	text := strings.TrimRight(string(s.line), "\r\n")
	switch s.state {
	case inHead:
		s.endHeadLine(text)
	case inChunkSize:
		size, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		s.state, s.body = inChunk, n
		if err != nil || n <= 0 {
			s.state = inTrailer
		}
	case inChunkEnd:
		s.state = inChunkSize
	case inTrailer:
		if text == "" {
			s.startHead()
		}
	case inBody, inChunk:
	}
}

func (s *scanner) endHeadLine(text string) {
	s.lines++
	if text != "" {
		name, value, _ := strings.Cut(text, ":")
		switch strings.ToLower(name) {
		case "content-length":
			s.body, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64) // the server refuses an odd one
		case "transfer-encoding":
			s.chunked = true
		}
		return
	}
	if s.lines == 1 {
		s.lines = 0 // an empty line before a request
		return
	}
	s.served = true
	switch {
	case s.chunked:
		s.state = inChunkSize
	case s.body > 0:
		s.state = inBody
	default:
		s.startHead()
	}
}

// nextRequest ends the current request: those behind it become the current one.
func (s *scanner) nextRequest() {
	s.served = s.next.bytes > 0 && (s.state != inHead || s.inHead == 0)
	s.current, s.next = s.next, headSize{}
}
