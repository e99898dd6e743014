// Package backpressurehttp reads what servers state about themselves from HTTP headers.
package backpressurehttp

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
)

// ReadLimit reads the values of a header that states a server's rate limit in requests per
// second. Of several limits the lowest counts. A value that is no number from 0 up makes
// the statement unreadable.
func ReadLimit(values []string) backpressure.LimitStatement {
	out := backpressure.LimitStatement{}
	for _, v := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return backpressure.LimitStatement{Kind: backpressure.LimitUnreadable}
		}
		if out.Kind == backpressure.LimitAbsent || rate < out.Rate {
			out = backpressure.LimitStatement{Kind: backpressure.LimitStated, Rate: rate}
		}
	}
	return out
}

// maxPause bounds a pause that a server states. It outlasts every incarnation.
const maxPause = 10 * 365 * 24 * time.Hour

// ReadPause reads the Retry-After of an answer: seconds, which may have a fraction, or a
// date. Of several the longest counts. A date counts from the Date of the answer, since the
// clock of this VM may be wrong.
func ReadPause(status int, h http.Header) backpressure.PauseStatement {
	out := backpressure.PauseStatement{}
	if status != http.StatusServiceUnavailable {
		return out
	}
	for _, v := range h.Values("Retry-After") {
		pause, ok := readRetryAfter(strings.TrimSpace(v), h.Get("Date"))
		if !ok {
			return backpressure.PauseStatement{Unreadable: true}
		}
		out.For = max(out.For, pause)
	}
	return out
}

func readRetryAfter(value, date string) (time.Duration, bool) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	answered, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return min(max(until.Sub(answered), 0), maxPause), true
}

// ReadLeaving reports whether a header states that the server leaves.
func ReadLeaving(values []string) bool {
	for _, v := range values {
		if leaving, err := strconv.ParseBool(strings.TrimSpace(v)); err == nil && leaving {
			return true
		}
	}
	return false
}
