package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

const testToken = "shared"

// pair is two VMs on the loopback interface; a calls b.
type pair struct {
	a, b   *peer.Network
	server *httptest.Server
	addr   string // address of b that a uses
}

func newPair(t *testing.T, tokenOfA string) *pair {
	t.Helper()
	p := &pair{}
	addr := func(string) (string, bool) { return p.addr, true }
	p.a = peer.NewNetwork("a", tokenOfA, addr, zerolog.Nop())
	p.b = peer.NewNetwork("b", testToken, addr, zerolog.Nop())
	p.server = httptest.NewServer(p.b)
	p.addr = p.server.Listener.Addr().String()
	t.Cleanup(func() {
		p.a.Close()
		p.b.Close()
		p.server.Close()
	})
	return p
}

func call(n *peer.Network, vm string, kind peer.Kind, body, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return n.Call(ctx, vm, kind, body, reply)
}

// The outcome of a handler must reach the caller in the same form from a remote and from
// the local VM. Outcomes are a value, an error with a result code, any other error, and a
// panic, which must fail only that call.
func TestHandlerOutcomes(t *testing.T) {
	p := newPair(t, testToken)
	for _, n := range []*peer.Network{p.a, p.b} {
		n.Handle(peer.KindFollow, func(_ context.Context, _ string, body []byte) (any, error) {
			var what string
			if err := codec.Unmarshal(body, &what); err != nil {
				return nil, err
			}
			switch what {
			case "coded":
				return nil, result.New(result.KeepersUnavail)
			case "plain":
				return nil, errors.New("plain")
			case "panic":
				panic("broken")
			}
			return what + "!", nil
		})
	}
	for _, vm := range []string{"b", "a"} {
		for what, code := range map[string]result.Code{
			"coded": result.KeepersUnavail, "plain": 0, "panic": result.InvariantBroken,
		} {
			var remote *peer.RemoteError
			if err := call(p.a, vm, peer.KindFollow, what, nil); !errors.As(err, &remote) || remote.Code != int(code) {
				t.Errorf("handler outcome %s on VM %s: got error %v, want a RemoteError with the code of the outcome", what, vm, err)
			}
		}
		var reply string
		if err := call(p.a, vm, peer.KindFollow, "fine", &reply); err != nil || reply != "fine!" {
			t.Errorf("call after the panic on VM %s: got reply %q, error %v; want \"fine!\"", vm, reply, err)
		}
	}
	if err := call(p.a, "b", peer.KindAdopt, 1, nil); err == nil {
		t.Error("call of a kind without a handler succeeded, want an error")
	}
}

// A client without the shared token and a VM with another protocol version must not reach a
// handler.
func TestUnauthorizedPeersAreRefused(t *testing.T) {
	p := newPair(t, "guess")
	p.b.Handle(peer.KindFollow, func(context.Context, string, []byte) (any, error) {
		t.Error("handler was called by an unauthorized peer")
		return nil, nil
	})
	if err := call(p.a, "b", peer.KindFollow, 1, nil); !errors.Is(err, peer.ErrUnreachable) {
		t.Errorf("call with a wrong token: got error %v, want ErrUnreachable", err)
	}
	ws, resp, err := websocket.DefaultDialer.Dial("ws://"+p.addr+peer.Path, map[string][]string{"Authorization": {"Bearer " + testToken}})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	defer ws.Close()
	hello, _ := codec.Marshal(map[int]any{1: peer.ProtocolVersion + 1, 2: "a"})
	if err := ws.WriteMessage(websocket.BinaryMessage, hello); err != nil {
		t.Fatal(err)
	}
	_ = ws.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, _, err := ws.ReadMessage(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("connection with another protocol version was not closed: %v", err)
	}
}

// A partition drops packets without a TCP reset while calls are in flight. The calls must
// fail in bounded time although their own deadlines are longer, and calls must succeed again
// after the partition ends.
func TestSilentLinkIsNoticed(t *testing.T) {
	p := newPair(t, testToken)
	p.b.Handle(peer.KindFollow, func(context.Context, string, []byte) (any, error) { return 1, nil })
	r := newTCPRelay(t, p.addr)
	p.addr = r.addr
	if err := call(p.a, "b", peer.KindFollow, 1, nil); err != nil {
		t.Fatal(err)
	}
	r.hold()
	start := time.Now()
	err := call(p.a, "b", peer.KindFollow, 1, nil)
	if took := time.Since(start); !errors.Is(err, peer.ErrUnreachable) || took > 5*time.Second {
		t.Errorf("call over a silent link failed after %v with %v, want ErrUnreachable within 5s", took, err)
	}
	r.release()
	for try := 0; ; try++ {
		if err = call(p.a, "b", peer.KindFollow, 1, nil); err == nil {
			break
		}
		if time.Since(start) > 9*time.Second {
			t.Fatalf("%d calls failed after the link was restored, last error: %v", try, err)
		}
	}
}

// A VM whose handlers block receives more calls than it serves concurrently. The excess
// calls must fail at once with ErrQueueFull instead of queueing without bound.
func TestCallsAreBounded(t *testing.T) {
	p := newPair(t, testToken)
	block := make(chan struct{})
	p.b.Handle(peer.KindFollow, func(ctx context.Context, _ string, _ []byte) (any, error) {
		select {
		case <-block:
		case <-ctx.Done():
		}
		return nil, nil
	})
	const calls = 2000
	var wg sync.WaitGroup
	failed := make(chan error, calls)
	for range calls {
		wg.Go(func() {
			if err := call(p.a, "b", peer.KindFollow, 1, nil); err != nil {
				failed <- err
			}
		})
	}
	select {
	case err := <-failed:
		if !strings.Contains(fmt.Sprint(err), peer.ErrQueueFull.Error()) {
			t.Errorf("got error %v, want ErrQueueFull", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("none of 2000 calls was refused within 5s")
	}
	close(block)
	wg.Wait()
}

// tcpRelay forwards connections to an address. While it is held, it discards all data and
// keeps the connections open, like a network partition.
type tcpRelay struct {
	addr string
	mu   sync.Mutex
	held bool
}

func newTCPRelay(t *testing.T, to string) *tcpRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &tcpRelay{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.Close()
				continue
			}
			go r.copy(up, c)
			go r.copy(c, up)
		}
	}()
	return r
}

func (r *tcpRelay) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		held := r.held
		r.mu.Unlock()
		if held {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *tcpRelay) hold()    { r.set(true) }
func (r *tcpRelay) release() { r.set(false) }

func (r *tcpRelay) set(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

// A value far larger than a fragment must arrive complete in the request and in the reply.
func TestLargeCall(t *testing.T) {
	p := newPair(t, testToken)
	p.b.Handle(peer.KindExplain, func(_ context.Context, _ string, body []byte) (any, error) {
		var text string
		err := codec.Unmarshal(body, &text)
		return text, err
	})
	text := strings.Repeat("0123456789", 500_000)
	var got string
	if err := call(p.a, "b", peer.KindExplain, text, &got); err != nil || got != text {
		t.Errorf("got a reply of %d bytes, want the text of %d bytes; error %v", len(got), len(text), err)
	}
}

// Guards against a VM that runs out of memory over an address at which something else listens
// now: it collected all that came before the end of a line.
func TestEndlessHandshake(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write(make([]byte, 8<<20))
		_, _ = c.Read(make([]byte, 1<<20)) // keeps the connection open until the dialer closes it
		_, _ = c.Read(make([]byte, 1))
	}()
	n := peer.NewNetwork("a", testToken, func(string) (string, bool) { return l.Addr().String(), true }, zerolog.Nop())
	defer n.Close()
	err = call(n, "b", peer.KindFollow, nil, nil)
	if !errors.Is(err, peer.ErrUnreachable) || !strings.Contains(err.Error(), "exceeds") {
		t.Errorf("got error %v, want an unreachable VM, since the response exceeds its limit", err)
	}
}
