package httphead

import (
	"errors"
	"io"
	"net/http"
)

// trailerReader reads a body in chunks and checks the names of its trailer.
type trailerReader struct {
	io.ReadCloser
	resp *http.Response
}

// CheckTrailer returns the body of a response, which ends with an error if its trailer is invalid.
func CheckTrailer(resp *http.Response) io.ReadCloser {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return trailerReader{resp.Body, resp}
}

// Read implements io.Reader.
func (r trailerReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckNames(r.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
