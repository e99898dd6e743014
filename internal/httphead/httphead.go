// Package httphead checks the heads of responses. The parser of net/http lets some through that are not
// HTTP. Nothing that such a head states can be relied on, the length of the body included.
package httphead

import (
	"errors"
	"fmt"
)

// ErrInvalid means that a head is not HTTP.
var ErrInvalid = errors.New("invalid head of a response")

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
