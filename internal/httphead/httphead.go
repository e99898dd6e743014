// Package httphead checks the heads of responses. The parser of net/http lets some through that are not
// HTTP. Nothing that such a head states can be relied on, the length of the body included.
package httphead

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
)

// ErrInvalid means that a head is not HTTP. ErrCoding is an ErrInvalid of HTTP/1.0, which has no transfer
// codings.
var (
	ErrInvalid = errors.New("invalid head of a response")
	ErrCoding  = fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrInvalid)
)

// Bounds of status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error unless a status code is one.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	}
	return nil
}

// CheckResponse returns an error unless the version, the status and the names of a head are valid. Versions
// before HTTP/1.0 have no heads, and the parser drops transfer codings in them.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor < 1 {
		return fmt.Errorf("%w: version %s", ErrInvalid, resp.Proto)
	}
	return Check(resp.StatusCode, resp.Header)
}

// Check returns an error unless the status and the names of a head are valid.
func Check(status int, header http.Header) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	return CheckNames(header)
}

// Delimited reports whether the end of a response can be told from a broken connection.
func Delimited(resp *http.Response) bool {
	bodyless := resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return bodyless || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// CheckNames returns an error unless all names of a head or a trailer are tokens (RFC 9110, section
// 5.6.2). The parser accepts blanks, and does not know a "Content-Length " or "Transfer-Encoding ".
func CheckNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %q", ErrInvalid, name)
		}
	}
	return nil
}

func isToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// tokenBytes holds true for each byte that a token may have.
var tokenBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[c] = true
	}
	return t
}()
