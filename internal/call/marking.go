package call

import (
	"errors"
	"strings"
)

// Marking overrides for one service whether a method of some paths is
// idempotent.
type IdempotencyRule struct {
	Method     string
	Path       string // a path, or a prefix that ends in *
	Idempotent bool
}

// ErrMarking describes the allowed form.
var ErrIdempotencyRule = errors.New(`a marking is "METHOD /path idempotent" or "METHOD /path once"; a path may end in *`)

// ParseMarking reads "POST /search idempotent" or "PUT /counter once".
func ParseIdempotencyRule(s string) (IdempotencyRule, error) {
	f := strings.Fields(s)
	if len(f) != 3 || !strings.HasPrefix(f[1], "/") || f[0] != strings.ToUpper(f[0]) {
		return IdempotencyRule{}, ErrIdempotencyRule
	}
	if f[2] != "idempotent" && f[2] != "once" {
		return IdempotencyRule{}, ErrIdempotencyRule
	}
	return IdempotencyRule{Method: f[0], Path: f[1], Idempotent: f[2] == "idempotent"}, nil
}

func (m *IdempotencyRule) matches(method, path string) bool {
	if m.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(m.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return m.Path == path
}

// Idempotent reports whether a call may be repeated: the first marking that
// matches decides, then RFC 9110 section 9.2.2.
func Idempotent(markings []IdempotencyRule, method, path string) bool {
	for i := range markings {
		if markings[i].matches(method, path) {
			return markings[i].Idempotent
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
