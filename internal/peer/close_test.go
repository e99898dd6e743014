package peer

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a deadlock at shutdown, which also blocks the calls of all peers: Close
// marks the network as closed while a dial is in progress, the other side accepts before the
// dial is cancelled, and the new connection is closed by a goroutine that holds the lock
// needed to remove it.
func TestCloseWhileDialing(t *testing.T) {
	b := NewNetwork("b", "shared", nil, zerolog.Nop())
	server := httptest.NewServer(b)
	defer server.Close()
	defer b.Close()
	a := NewNetwork("a", "shared", func(string) (string, bool) {
		return server.Listener.Addr().String(), true
	}, zerolog.Nop())
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()

	d := &dialAttempt{done: make(chan struct{})}
	go a.dial("b", d)
	select {
	case <-d.done:
	case <-time.After(10 * time.Second):
		t.Fatal("dial did not return within 10s after Close")
	}
	if !errors.Is(d.err, ErrClosed) {
		t.Errorf("got error %v from dial, want ErrClosed", d.err)
	}
	a.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.openConns) != 0 || len(a.conns) != 0 {
		t.Errorf("got %d open connections after Close, want 0", len(a.openConns))
	}
}
