package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

// defaultMaxBodyBytes bounds a request's body if the route list states no limit.
const defaultMaxBodyBytes = 4 << 20

func bodyLimit(table *routes.Table) int64 {
	if n := table.List.Limits.MaxBodyBytes; n > 0 {
		return n
	}
	return defaultMaxBodyBytes
}

// readBody reads a complete body. A retry needs all of it, and an engine must not
// receive a partial request. nil: the request has none.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, q *request) ([]byte, error) {
	if r.ContentLength == 0 {
		q.memory.body.Whole()
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			return nil, nil
		}
		return []byte{}, nil
	}
	rc := http.NewResponseController(w)
	// Only connections of tests do not support deadlines, and they do not need them.
	_ = rc.SetReadDeadline(q.expires)
	body, err := io.ReadAll(q.memory.body.Reader(http.MaxBytesReader(w, r.Body, limit), countedBytes(r)))
	if err == nil {
		// After an error the deadline stays. Without it the HTTP server would wait for
		// the rest of the body before it sends the refusal.
		_ = rc.SetReadDeadline(time.Time{})
	}
	q.memory.body.Whole()
	var tooLarge *http.MaxBytesError
	switch {
	case q.memory.body.Ended():
		return nil, errQueueFull()
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge)
	case errors.Is(err, memory.ErrSpent):
		return nil, errQueueFull()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.New(result.RequestTooSlow)
	}
	return nil, result.Newf(result.MalformedBody, "the body could not be read: %v", err)
}

// errQueueFull refuses a request that this VM has no room for. Another one may have some.
func errQueueFull() error {
	return result.New(result.QueueFull).WithRetryAfter(otherRouterRetryAfter)
}

// hopByHop lists the headers that concern a single connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization",
}

func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
