// Package resulthttp is where coded errors meet HTTP: what a body that cannot be
// read comes to, and answers. It stands apart so that the pure packages, which
// return such errors, need no HTTP.
package resulthttp

import (
	"encoding/json"
	"errors"
	"io"
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

// WriteJSON answers an HTTP request with v.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The asker is gone if this fails; it asks again.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody reads a whole body of at most limit bytes. Errors are coded.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge)
	}
	if err != nil {
		return nil, result.Newf(result.MalformedBody, "the body ended early: %v", err)
	}
	return body, nil
}
