package httphead

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/textproto"
	"strings"
	"sync"
)

// conn is a connection that notes what the heads of responses state and the parser of net/http does not
// tell.
type conn struct {
	net.Conn

	mu    sync.Mutex
	heads *heads // of the current response
	used  bool   // a request was sent
}

// heads are those of one response: interim ones and the final one.
type heads struct {
	mu     sync.Mutex
	read   []byte // what has been read of the current head
	passed bool   // the final head has been read
	coding bool   // a head of HTTP/1.0 states a transfer coding, which the parser drops
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// noteHeads has a dial function return connections that note what heads state.
func noteHeads(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw, heads: &heads{}}, nil
	}
}

// expect returns the heads of the response to the next request.
func (c *conn) expect() *heads {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used {
		c.heads = &heads{}
	}
	c.used = true
	return c.heads
}

func (c *conn) current() *heads {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.current().note(p[:n])
	return n, err
}

// checkCoding returns an error if a head of HTTP/1.0 stated a transfer coding.
func (h *heads) checkCoding() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.coding {
		return ErrCoding
	}
	return nil
}

// note adds what was read, until the final head has passed.
func (h *heads) note(read []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.passed {
		return
	}
	h.read = append(h.read, read...)
	for !h.passed && h.next() {
	}
	if h.passed {
		h.read = nil
	}
}

// next notes what the first head states, once enough of it is read to tell. It needs h.mu.
func (h *heads) next() bool {
	version, status, ok := statusLine(h.read)
	if !ok {
		return false
	}
	isOld, final := version == "HTTP/1.0", !isInterim(status)
	if final && !isOld {
		h.passed = true
		return true
	}
	head, rest := cutHead(h.read)
	if head == nil {
		return false
	}
	h.coding = h.coding || isOld && statesCoding(head)
	h.read, h.passed = rest, final
	return true
}

func isInterim(status string) bool {
	return strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
}

// statusLine returns the version and the status with which a head begins, if its first line is whole.
func statusLine(head []byte) (version, status string, ok bool) {
	line, _, ok := bytes.Cut(head, []byte("\n"))
	version, status, _ = strings.Cut(string(line), " ")
	return version, strings.TrimLeft(status, " "), ok
}

// cutHead returns the first head, its empty line included, and what follows; nil: it is not whole.
func cutHead(b []byte) (head, rest []byte) {
	for at := 0; ; {
		end := bytes.IndexByte(b[at:], '\n')
		if end < 0 {
			return nil, b
		}
		line := b[at : at+end]
		at += end + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return b[:at], b[at:]
		}
	}
}

// statesCoding reports whether a head has the field Transfer-Encoding. net/http itself refuses one that
// cannot be parsed.
func statesCoding(head []byte) bool {
	text := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := text.ReadLine(); err != nil {
		return false
	}
	header, err := text.ReadMIMEHeader()
	return err == nil && len(header["Transfer-Encoding"]) > 0
}
