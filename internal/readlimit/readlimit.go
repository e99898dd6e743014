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
}

// New returns a Reader of r without a bound.
func New(r io.Reader) *Reader { return &Reader{r: r} }

// Start bounds what is read from now on to limit bytes.
func (l *Reader) Start(limit int) { l.started, l.limit, l.left = true, limit, limit }

// Stop ends the bound.
func (l *Reader) Stop() { l.started = false }

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
	return n, err
}
