package gateway

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// EventID is the id of a streamed event: the key of the request, the index of the event's
// last token counted from 1, and the digest of all tokens up to it.
type EventID struct {
	Request string
	Index   int
	Digest  uint64
}

// String returns the wire form.
func (e EventID) String() string {
	return fmt.Sprintf("%s/%d/%016x", e.Request, e.Index, e.Digest)
}

// ParseEventID parses the wire form. The error for any other text is BadLastEventID.
func ParseEventID(s string) (EventID, error) {
	bad := result.New(result.BadLastEventID)
	parts := strings.Split(s, "/")
	if len(parts) != 3 || !ValidKey(parts[0]) || len(parts[2]) != 16 {
		return EventID{}, bad
	}
	index, err := strconv.ParseUint(parts[1], 10, 31)
	if err != nil {
		return EventID{}, bad
	}
	digest, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return EventID{}, bad
	}
	return EventID{parts[0], int(index), digest}, nil
}

const maxKeyLength = 128

// ValidKey reports whether s may be an Idempotency-Key. The key becomes part of event ids,
// journal names and log lines and therefore must not contain a slash, a space or a control
// character.
func ValidKey(s string) bool {
	if s == "" || len(s) > maxKeyLength {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '_', c == ':', c == '-':
		default:
			return false
		}
	}
	return true
}
