package peer

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// A VM that stops hangs for ever, and all its peers' calls with it. In order: a
// connection is being opened; Close marks the network as closed; the other side
// accepts before the opening is called off. The connection is ended by one that
// holds the lock which forgetting it takes.
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

	d := &dial{done: make(chan struct{})}
	go a.dial("b", d)
	select {
	case <-d.done:
	case <-time.After(10 * time.Second):
		t.Fatal("the opening of a connection never ends")
	}
	if !errors.Is(d.err, ErrClosed) {
		t.Errorf("err %v", d.err)
	}
	a.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.all) != 0 || len(a.conns) != 0 {
		t.Errorf("%d connections are left open", len(a.all))
	}
}
