package plan

import (
	"regexp"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Bounds of a row. They limit a row to a few KB, with which a list of some thousand
// rows fits into one snapshot, and keep sums of tokens within an int64.
const (
	maxKeys          = 16
	maxNames         = 64
	maxTokens        = 1_000_000_000_000_000
	maxRequests      = 1_000_000_000_000_000
	maxConcurrent    = 1_000_000
	minWindowSeconds = 1
	maxWindowSeconds = 31 * 24 * 60 * 60
	maxShare         = 1000
	maxPriority      = 100
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameRule = "1 to 64 characters of A-Z a-z 0-9 . _ - and begin with a letter or a digit"

func invalid(format string, args ...any) error {
	return result.Newf(result.InvalidPlan, format, args...)
}

// Validate checks the fields of a customer, without reference to other rows. The
// error has code result.InvalidPlan.
func (c *Customer) Validate() error {
	switch {
	case !namePattern.MatchString(c.Workspace):
		return invalid("workspace %q must have %s", c.Workspace, nameRule)
	case !namePattern.MatchString(c.Plan):
		return invalid("plan %q must have %s", c.Plan, nameRule)
	case len(c.KeyHashes) > maxKeys:
		return invalid("key_hashes has %d entries; at most %d are allowed", len(c.KeyHashes), maxKeys)
	}
	for i, h := range c.KeyHashes {
		if !hashPattern.MatchString(h) {
			return invalid("key_hashes[%d] must be a SHA-256 in 64 characters of 0-9 a-f", i)
		}
		if slices.Contains(c.KeyHashes[:i], h) {
			return invalid("key_hashes[%d] stands twice", i)
		}
	}
	return nil
}

// Validate checks the fields of an allowance. The error has code result.InvalidPlan.
// No value of a field means unlimited. Unlimited use is at the operator's expense,
// so a missing field is refused rather than interpreted as intended.
func (a *Allowance) Validate() error {
	if !namePattern.MatchString(a.Plan) {
		return invalid("plan %q must have %s", a.Plan, nameRule)
	}
	for _, n := range []struct {
		field     string
		value     int64
		low, high int64
	}{
		{"tokens_per_window", a.TokensPerWindow, 1, maxTokens},
		{"requests_per_window", a.RequestsPerWindow, 1, maxRequests},
		{"window_seconds", a.WindowSeconds, minWindowSeconds, maxWindowSeconds},
		{"concurrent", int64(a.Concurrent), 1, maxConcurrent},
		{"share", int64(a.Share), 1, maxShare},
		{"priority_ceiling", int64(a.PriorityCeiling), 0, maxPriority},
	} {
		if n.value < n.low || n.value > n.high {
			return invalid("%s is %d; it must be %d to %d", n.field, n.value, n.low, n.high)
		}
	}
	if err := validateNames("models", a.Models); err != nil {
		return err
	}
	return validateNames("services", a.Services)
}

func validateNames(field string, names []string) error {
	if len(names) > maxNames {
		return invalid("%s has %d entries; at most %d are allowed", field, len(names), maxNames)
	}
	for i, name := range names {
		if !namePattern.MatchString(name) {
			return invalid("%s[%d] %q must have %s", field, i, name, nameRule)
		}
		if slices.Contains(names[:i], name) {
			return invalid("%s[%d] %q stands twice", field, i, name)
		}
	}
	return nil
}
