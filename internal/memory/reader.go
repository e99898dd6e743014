package memory

import (
	"errors"
	"io"
)

// stepBytes is counted at a time for a body that exceeds what was counted for it.
const stepBytes = 64 << 10

// ErrSpent means that requests have used their part of the account.
var ErrSpent = errors.New("memory: no room for the request")

// Reader returns a Reader of a body that counts what exceeds the bytes that were counted for it. It
// returns ErrSpent if there is no room.
func (r *Request) Reader(body io.Reader, counted int) io.Reader {
	return &countedReader{body: body, request: r, left: counted}
}

type countedReader struct {
	body    io.Reader
	request *Request
	left    int // counted and not read
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	for c.left -= n; c.left < 0; c.left += stepBytes {
		if !c.request.Add(stepBytes) {
			return 0, ErrSpent
		}
	}
	return n, err
}
