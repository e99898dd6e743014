package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// minPieceBytes and maxPieceBytes bound the memory that is taken at once for a body. A server
	// may announce more than it sends.
	minPieceBytes = 512
	maxPieceBytes = 64 << 10
)

// ErrTooLarge means that a server has sent more than a response may have. ErrNoMemory means that
// the memory that a response took was needed for others. Both come with ErrBroken.
var (
	ErrTooLarge = errors.New("upstream: response too large")
	ErrNoMemory = errors.New("upstream: no memory for the response")
)

// Body is a complete body in the pieces in which it was read: no piece is ever copied, so that a
// body takes its own size once.
type Body [][]byte

// Len returns the size in bytes.
func (b Body) Len() int {
	n := 0
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// ReadBody reads a complete body of at most limit bytes. A response without a length ends
// when its connection is closed; a connection reset is an error.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := ReadPieces(resp, limit, func(int) bool { return true })
	if err != nil {
		return nil, err
	}
	return bytes.Join(body, nil), nil
}

// ReadPieces is ReadBody for bodies that may be large. take is called before memory is taken, with
// its size, and reports whether there is some.
func ReadPieces(resp *http.Response, limit int64, take func(bytes int) bool) (Body, error) {
	if resp.ContentLength > limit && resp.Body != http.NoBody {
		return nil, errBodyTooLarge(limit)
	}
	var body Body
	size := max(minPieceBytes, min(resp.ContentLength, maxPieceBytes))
	for read := int64(0); ; {
		if !take(int(size)) {
			return nil, fmt.Errorf("%w: %w", ErrBroken, ErrNoMemory)
		}
		piece := make([]byte, size)
		n, err := readFull(resp.Body, piece)
		read += int64(n)
		if n > 0 {
			body = append(body, piece[:n])
		}
		switch {
		case read > limit:
			return nil, errBodyTooLarge(limit)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		size = min(2*size, maxPieceBytes)
		if left := resp.ContentLength - read; left > 0 {
			size = min(size, left)
		}
	}
}

// readFull reads until p is full or the body ends. It keeps the error of the body, which
// io.ReadFull replaces.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = r.Read(p[n:])
		n += k
	}
	return n, err
}

// DiscardBody reads and drops a complete body of at most limit bytes.
func DiscardBody(resp *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	case n > limit:
		return errBodyTooLarge(limit)
	}
	return nil
}

func errBodyTooLarge(limit int64) error {
	return fmt.Errorf("%w: %w: more than %d bytes", ErrBroken, ErrTooLarge, limit)
}
