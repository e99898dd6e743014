package call

import (
	"errors"
	"strings"
)

// IdempotencyRule overrides, for one service, whether a method is idempotent on some
// paths.
type IdempotencyRule struct {
	Method     string
	Path       string // a path, or a prefix followed by *
	Idempotent bool
}

// ErrIdempotencyRule is returned for text that is not an idempotency rule.
var ErrIdempotencyRule = errors.New(`an idempotency rule has the form "METHOD /path idempotent" or "METHOD /path once"; a path may end in *`)

// ParseIdempotencyRule parses a rule such as "POST /search idempotent" or
// "PUT /counter once".
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

func (r *IdempotencyRule) matches(method, path string) bool {
	if r.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}

// Idempotent reports whether a call may be repeated. The first matching rule
// decides; without one, RFC 9110 section 9.2.2 applies.
func Idempotent(rules []IdempotencyRule, method, path string) bool {
	for i := range rules {
		if rules[i].matches(method, path) {
			return rules[i].Idempotent
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
