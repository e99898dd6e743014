// Package readlimit bounds what is read while the head of a message is expected. Parsers collect
// a line in memory until it ends, and whoever is at the other end may never end it.
package readlimit

import (
	"errors"
	"fmt"
	"io"
)

// ErrExceeded means that the head of a message is larger than it may be.
var ErrExceeded = errors.New("head of a message exceeds its limit")

// Reader reads from another reader, and bounds what is read between Start and Stop.
type Reader struct {
	r       io.Reader
	started bool
	limit   int
	left    int

	maxLines int // of the head; 0: not limited
	lines    int
	inLine   bool
	ended    bool // the head has ended, and what follows is not counted
}

// New returns a Reader of r without a bound.
func New(r io.Reader) *Reader { return &Reader{r: r} }

// Start bounds what is read from now on to limit bytes.
func (l *Reader) Start(limit int) { l.started, l.limit, l.left = true, limit, limit }

// LimitLines bounds the lines of the next head, until its empty line, beside its bytes.
func (l *Reader) LimitLines(lines int) {
	l.maxLines, l.lines, l.inLine, l.ended = lines, 0, false, false
}

// Stop ends the bounds.
func (l *Reader) Stop() { l.started, l.maxLines = false, 0 }

// Read implements io.Reader.
func (l *Reader) Read(p []byte) (int, error) {
	if !l.started {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, fmt.Errorf("%w of %d bytes", ErrExceeded, l.limit)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	if l.maxLines > 0 && !l.countLines(p[:n]) {
		return 0, fmt.Errorf("%w of %d lines", ErrExceeded, l.maxLines)
	}
	return n, err
}

// countLines reports whether the head has no more lines than it may.
func (l *Reader) countLines(p []byte) bool {
	for _, b := range p {
		switch {
		case l.ended:
			return l.lines <= l.maxLines
		case b == '\n':
			l.ended = !l.inLine
			l.inLine = false
			l.lines++
		case b != '\r':
			l.inLine = true
		}
	}
	return l.lines <= l.maxLines
}
