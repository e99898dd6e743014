// Package upstream reaches backend servers: HTTP/1.1 connections that are kept
// and checked before reuse, and what this VM knows of each backend server.
//
// net/http's Transport is not used: it replays a request whose reused connection
// breaks, and does not say whether a byte of it has left.
package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Sizes and timings of a connection.
const (
	// DialTimeout: VMs and backend servers are milliseconds apart. A dark server
	// must not use up a caller's objective.
	DialTimeout = 200 * time.Millisecond
	readBufferBytes  = 4 << 10
	// inlineBody is a body that fits the socket buffers, so that writing it whole
	// before reading cannot block on a server that answers before it reads on.
	inlineBodyBytes = 16 << 10
	// writeTimeout bounds the write of a request to a server that does not read.
	writeTimeout = 2 * time.Second
	// statedShare of the idle time that a server states is used: its clock starts
	// before ours, and a request must not cross its close.
	keepAliveShare = 0.6
	// unstatedIdle is for servers that state none.
	defaultIdle = 2 * time.Second
	// maxInterim bounds the 1xx answers before an answer.
	maxInterimResponses = 8
)

// Errors of an exchange.
var (
	ErrDial   = errors.New("upstream: no connection")
	ErrBroken = errors.New("upstream: connection broke")
)

// Request is one request as it goes to a backend server.
type Request struct {
	Method string
	URI    string // raw path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte // nil: none
}

// Conn is one connection; it carries one request at a time.
type Conn struct {
	raw     net.Conn
	br      *bufio.Reader
	key     string
	reused  bool
	idleUntil  time.Time
	bodyWritten chan error // of a body written beside the answer; nil: none
}

func newConn(raw net.Conn, key string) *Conn {
	return &Conn{raw: raw, br: bufio.NewReaderSize(raw, readBufferBytes), key: key}
}

// Reused reports whether the connection carried an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// Close ends the connection; the server drops what it runs for it.
func (c *Conn) Close() { _ = c.raw.Close() }

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// Send writes a request. left is false where certainly no byte has left.
func (c *Conn) Send(r *Request) (left bool, err error) {
	head := r.head()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(r.Body) <= inlineBodyBytes {
		n, err := c.raw.Write(append(head, r.Body...))
		return n > 0 || err == nil, err
	}
	n, err := c.raw.Write(head)
	if err != nil {
		return n > 0, err
	}
	done := make(chan error, 1)
	c.bodyWritten = done
	go func() {
		_, err := c.raw.Write(r.Body)
		done <- err
	}()
	return true, nil
}

func (r *Request) head() []byte {
	b := make([]byte, 0, 1024+len(r.Body))
	b = append(append(append(append(b, r.Method...), ' '), r.URI...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	if r.Body != nil {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// ReadHead reads the head of the answer, past interim answers.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: protocol switched", ErrBroken)
		}
	}
	return nil, fmt.Errorf("%w: interim answers without end", ErrBroken)
}

// Framed reports whether an answer's end can be told from a broken connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// ReadBody reads a whole body of at most limit bytes. An answer without length
// ends with its connection; a reset is an error there.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= limit {
		buf.Grow(int(resp.ContentLength))
	}
	n, err := io.Copy(&buf, io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	case n > limit:
		return nil, fmt.Errorf("%w: answer over %d bytes", ErrBroken, limit)
	}
	return buf.Bytes(), nil
}

// reusable decides, once an answer is read whole, whether the connection may
// carry another request, and until when.
//
// A server may send bytes behind its answer, or read on in a body that was cut
// short: the next request on that connection would get another's answer.
func (c *Conn) reusable(resp *http.Response, now time.Time) bool {
	if resp.Close || !resp.ProtoAtLeast(1, 1) || !Framed(resp) || c.br.Buffered() > 0 {
		return false
	}
	if c.bodyWritten != nil {
		select {
		case err := <-c.bodyWritten:
			if err != nil {
				return false
			}
			c.bodyWritten = nil
		default:
			return false // answered before the body was in
		}
	}
	keep := idleTime(resp.Header.Get("Keep-Alive"))
	c.idleUntil = now.Add(keep)
	return keep > 0
}

func idleTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0
		}
		return time.Duration(keepAliveShare * float64(seconds) * float64(time.Second))
	}
	return defaultIdle
}

// quiet reports whether an idle connection is open with nothing to read. A
// closed one, or one with an answer nobody waits for, must not carry a request.
func (c *Conn) isIdle() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
