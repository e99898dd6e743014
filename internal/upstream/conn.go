// Package upstream connects to backend servers. It keeps HTTP/1.1 connections, checks them
// before reuse, and records what this VM knows of the health and load of each backend
// server.
//
// It does not use the Transport of net/http, which replays a request whose reused
// connection breaks and does not report whether any byte of it was sent.
package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
	"github.com/amaranthshelf/amaranthshelf/internal/readlimit"
)

// Sizes and timeouts of a connection.
const (
	// DialTimeout bounds the time to connect. VMs and backend servers are milliseconds
	// apart, and an unresponsive server must not use up a caller's objective.
	DialTimeout     = 200 * time.Millisecond
	readBufferBytes = 4 << 10
	// inlineBodyBytes is a body size that fits the socket buffers. Writing such a body
	// before reading cannot block on a server that answers before it has read the whole
	// request.
	inlineBodyBytes = 16 << 10
	// writeTimeout bounds the write of a request to a server that does not read.
	writeTimeout = 2 * time.Second
	// keepAliveShare is the fraction of a server's stated idle time that is used. The
	// server's clock starts before this VM's, and a request must not coincide with the
	// server's close.
	keepAliveShare = 0.6
	// defaultIdle is the idle time for servers that state none.
	defaultIdle = 2 * time.Second
	// maxInterimResponses bounds the 1xx responses before the final response.
	maxInterimResponses = 8
	// maxHeadBytes bounds what is read for the head of a response, interim responses and
	// what was read ahead included. A faulty server may send bytes without a line end, and
	// a line is collected in memory until it ends.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head: parsed, each takes far more than its bytes.
	maxHeadLines = 512
)

// Errors of an exchange. ErrDial means that no connection was established, ErrBroken that
// an established connection failed or its response was invalid. ErrInvalid comes with ErrBroken: the
// connection stands, and what the server sends on it is no response.
var (
	ErrDial    = errors.New("upstream: could not connect")
	ErrBroken  = errors.New("upstream: connection broken")
	ErrInvalid = errors.New("invalid response")
)

// Request is one request as it is sent to a backend server.
type Request struct {
	Method string
	URI    string // raw path and query, as sent by the caller
	Host   string
	Header http.Header
	Body   []byte // nil: none
}

// Conn is one connection. It carries one request at a time.
type Conn struct {
	raw       net.Conn
	in        *readlimit.Reader
	br        *bufio.Reader
	key       string
	reused    bool
	idleUntil time.Time  // after it the connection is not reused
	upload    *bodyWrite // runs beside the response; nil: none
	ended     bool       // a read has failed, or found the end
}

func newConn(raw net.Conn, key string) *Conn {
	c := &Conn{raw: raw, key: key}
	c.in = readlimit.New(connReader{c})
	c.br = bufio.NewReaderSize(c.in, readBufferBytes)
	return c
}

// Reused reports whether the connection carried an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection. The server drops what it runs for it.
func (c *Conn) Close() { _ = c.raw.Close() }

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// errLineEnd means that a name in the head of a request would end its line.
var errLineEnd = errors.New("upstream: line end in the head of a request")

// Send writes a request. sent is false only if certainly no byte of it was sent.
func (c *Conn) Send(r *Request) (sent bool, err error) {
	head, err := r.head()
	if err != nil {
		return false, err
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(r.Body) <= inlineBodyBytes {
		n, err := c.raw.Write(append(head, r.Body...))
		return n > 0 || err == nil, err
	}
	n, err := c.raw.Write(head)
	if err != nil {
		return n > 0, err
	}
	c.upload = startBodyWrite(c.raw, r.Body)
	return true, nil
}

// head returns the request without its body. Ids of servers, copies and workspaces come from
// elsewhere, and one with a line end could smuggle a second request.
func (r *Request) head() ([]byte, error) {
	b := make([]byte, 0, 1024+len(r.Body))
	b = append(append(append(append(b, r.Method...), ' '), r.URI...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	lines := 3 // the request line, the host and the blank line
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	if r.Body != nil {
		lines++
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if bytes.Count(b, []byte{'\r'}) != lines || bytes.Count(b, []byte{'\n'}) != lines {
		return nil, errLineEnd
	}
	return b, nil
}

// ReadHead reads the head of the final response and skips interim responses. All of them
// together may have maxHeadBytes.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	c.in.Start(maxHeadBytes)
	defer c.in.Stop()
	req := &http.Request{Method: method}
	for range maxInterimResponses {
		c.in.LimitLines(maxHeadLines)
		resp, err := c.readHead(req)
		if err != nil {
			return nil, c.headError(err)
		}
		if resp.StatusCode >= http.StatusOK {
			resp.Body = httphead.CheckTrailer(resp)
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: server switched protocols", ErrBroken)
		}
	}
	return nil, fmt.Errorf("%w: too many interim responses", ErrBroken)
}

// readHead reads the next head.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	if err := c.checkOldHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		return nil, err
	}
	return resp, httphead.CheckResponse(resp)
}

// headError returns the error of a head that could not be read.
func (c *Conn) headError(err error) error {
	if c.ended {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w: %w", ErrBroken, ErrInvalid, err)
}

// Framed reports whether the end of a response can be told from a broken connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// reusable decides, after a complete response, whether the connection may carry another
// request, and sets until when.
//
// A server may send bytes after its response, or continue to read a request body that was
// cut short. The next request on that connection would then get the wrong response.
func (c *Conn) reusable(resp *http.Response, now time.Time) bool {
	if resp.Close || !resp.ProtoAtLeast(1, 1) || !Framed(resp) || c.br.Buffered() > 0 {
		return false
	}
	if c.upload != nil {
		if !c.upload.isWritten() {
			return false // answered before the body was written
		}
		c.upload = nil
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

// isReusable reports whether an idle connection can carry another request: it is open and
// has nothing to read. A connection that the server closed, or that holds an unexpected
// response, must not be used again.
func (c *Conn) isReusable() bool {
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
