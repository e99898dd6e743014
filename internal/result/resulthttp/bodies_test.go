package resulthttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
)

// Guards against a process that runs out of memory over several large bodies that come at once: each
// is within its limit, and their sum is not.
func TestBodiesAtOnceAreBounded(t *testing.T) {
	const limit = 1 << 20
	account := memory.NewAccountOf(2 * limit) // requests have half of it
	var serve func(n int) int
	h := LimitBodies(account, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, limit); err != nil {
			Write(w, "", err)
			return
		}
		if r.URL.Path == "/outer" {
			w.WriteHeader(serve(limit * 3 / 4)) // while its own body is held
		}
	}))
	send := func(path string, n int) int {
		r := httptest.NewRequest(http.MethodPut, path, io.NopCloser(strings.NewReader(strings.Repeat("x", n))))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	serve = func(n int) int { return send("/inner", n) }
	if got := send("/outer", limit/2); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the second body, want 503", got)
	}
	if got := send("/inner", limit); got != http.StatusOK {
		t.Errorf("got status %d for a body that comes alone, want 200", got)
	}
	if held := account.Usage().Bytes; held != 0 {
		t.Errorf("%d bytes are held after the requests, want none", held)
	}
}
