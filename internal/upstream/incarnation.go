package upstream

import (
	"strconv"
	"strings"
)

// incarnationKey identifies an incarnation of a server, listed or not.
type incarnationKey struct {
	id     string
	bornMS int64 // see Backend.BornMS
}

func (b *Backend) incarnation() incarnationKey { return incarnationKey{b.ID, b.BornMS} }

// bornSeparator separates the id from the start in the name of an incarnation. Ids contain no
// control characters.
const bornSeparator = "\x00"

// Incarnation returns the name of this incarnation towards other VMs. It is the id if the list does
// not state when the incarnation started.
func (b *Backend) Incarnation() string {
	if b.BornMS == 0 {
		return b.ID
	}
	return b.ID + bornSeparator + strconv.FormatInt(b.BornMS, 10)
}

// parseIncarnation is the inverse of Backend.Incarnation. A name with another start is that of no
// server.
func parseIncarnation(name string) incarnationKey {
	id, born, stated := strings.Cut(name, bornSeparator)
	ms, err := strconv.ParseInt(born, 10, 64)
	if !stated || err != nil {
		return incarnationKey{id: name}
	}
	return incarnationKey{id, ms}
}
