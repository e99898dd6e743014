package gateway

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// EventID is the id of a streamed event: the request, the index of its last
// token from 1, and the digest of the tokens up to it.
type EventID struct {
	Request string
	Index   int
	Digest  uint64
}

// String gives the wire form.
func (e EventID) String() string {
	return fmt.Sprintf("%s/%d/%016x", e.Request, e.Index, e.Digest)
}

// ParseEventID reads the wire form; any other text is BadLastEventID.
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

// ValidKey reports whether s may be an Idempotency-Key: it goes into event ids,
// journal names and logs, so it holds no slash, space or control character.
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
