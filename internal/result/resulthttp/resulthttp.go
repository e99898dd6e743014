// Package resulthttp writes coded errors as HTTP answers. It stands apart so that
// the pure packages, which return such errors, need no HTTP.
package resulthttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Write answers an HTTP request with err.
func Write(w http.ResponseWriter, requestID string, err error) {
	e := *result.From(err)
	if e.RequestID == "" {
		e.RequestID = requestID
	}
	w.Header().Set("Content-Type", "application/json")
	if e.RequestID != "" {
		w.Header().Set("X-Request-Id", e.RequestID)
	}
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(result.Lookup(e.Code).Status)
	// The status is out: a caller that hangs up now loses only this text.
	_ = json.NewEncoder(w).Encode(&e)
}
