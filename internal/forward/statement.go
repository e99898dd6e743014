package forward

import (
	"math"
	"strconv"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
)

// readLimit reads the values of a header that states a server's rate limit in requests per
// second. Of several limits the lowest counts. A value that is no number from 0 up makes
// the statement unreadable.
func readLimit(values []string) backpressure.LimitStatement {
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
