// Package resulthttp reads HTTP request bodies with coded errors and writes coded errors as
// HTTP responses. It is separate from package result because packages without I/O return
// coded errors and must not import net/http.
package resulthttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Write writes err as the response. An error without a code is written as Internal, and one
// without a request id gets requestID.
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
	// The status is already sent. A caller that disconnects now loses only the body.
	_ = json.NewEncoder(w).Encode(&e)
}

// WriteJSON writes v as the response with status 200.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// On an error the client has disconnected; it will retry.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadBody reads the complete body of at most limit bytes. Its errors have the codes
// result.BodyTooLarge and result.MalformedBody.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge)
	case errors.Is(err, memory.ErrSpent):
		return nil, result.New(result.QueueFull).WithRetryAfter(bodyRetryAfter)
	case err != nil:
		return nil, result.Newf(result.MalformedBody, "the body ended early: %v", err)
	}
	return body, nil
}

// bodyRetryAfter is the Retry-After while other bodies take the memory for them.
const bodyRetryAfter = time.Second

// LimitBodies counts the bodies of requests while next serves them. A body for which there is no
// room is refused when it is read.
func LimitBodies(a *memory.Account, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := a.BeginRequest()
		defer held.Close()
		r.Body = struct {
			io.Reader
			io.Closer
		}{held.Reader(r.Body, 0), r.Body}
		next.ServeHTTP(w, r)
	})
}

// EndWrites makes the writes of an answer fail.
func EndWrites(w http.ResponseWriter) {
	// Only connections of tests do not support deadlines, and they do not need them.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
}
