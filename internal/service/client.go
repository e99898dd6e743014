// Package service calls plain services: over HTTP/1.1 with no replay of its own
// for non-idempotent calls, and through the claims of the control group so that
// each of those runs at most once.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
)

// Timings and sizes of the client. Services are a few milliseconds away.
const (
	dialTimeout    = 500 * time.Millisecond
	idlePerHost    = 64
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// MaxAnswerBytes is the largest body that is relayed.
	MaxAnswerBytes = 4 << 20
)

// Errors of a call that brought no whole answer.
var (
	// ErrNotDelimited: neither a length nor chunks, so that a broken connection
	// would look like the answer's end.
	ErrNotDelimited = errors.New("service: answer without Content-Length or chunked encoding")
	ErrTooLarge     = errors.New("service: answer too large")
	errUpgrade      = errors.New("service: switched protocols")
)

// Request is a call as it goes to a backend server.
type Request struct {
	Method string
	Path   string // escaped, with the query
	Header http.Header
	Body   []byte
}

// Sender reaches backend servers by address.
type Sender interface {
	// Dial connects for one non-idempotent call.
	Dial(ctx context.Context, addr string) (Connection, error)
	// Relay sends an idempotent call; it may be repeated on its way.
	Relay(ctx context.Context, addr string, r *Request) (*call.Answer, error)
}

// Connection carries one call.
type Connection interface {
	// Send writes the request once. permit is asked immediately before the first
	// byte; its error stops the call with nothing written. wrote reports whether
	// any byte may have left: false is certain, now and later.
	Send(ctx context.Context, r *Request, permit func() error) (a *call.Answer, wrote bool, err error)
	Close()
}

// Client is the Sender over TCP. Safe for concurrent use.
type Client struct {
	pool *http.Transport
	dial net.Dialer
}

// NewClient returns a Client.
func NewClient() *Client {
	c := &Client{dial: net.Dialer{Timeout: dialTimeout}}
	c.pool = &http.Transport{
		DialContext: c.dial.DialContext, DisableCompression: true, MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return c
}

// Relay implements Sender over pooled connections.
func (c *Client) Relay(ctx context.Context, addr string, r *Request) (*call.Answer, error) {
	req, err := newRequest(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	resp, err := c.pool.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	return readAnswer(resp)
}

// newRequest leaves GetBody unset, so that no layer below can rewind the body
// and send it again.
func newRequest(ctx context.Context, addr string, r *Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	req.GetBody = nil
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // add none of our own
	}
	return req, nil
}

// readAnswer reads a whole answer, or fails.
func readAnswer(resp *http.Response) (*call.Answer, error) {
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errUpgrade
	}
	if !delimited(resp) {
		return nil, ErrNotDelimited
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("service: answer cut off: %w", err)
	}
	a := &call.Answer{Status: resp.StatusCode, Headers: headers(resp.Header), Body: body}
	if len(body) > MaxAnswerBytes {
		a.Body, a.NoBody = nil, true
	}
	return a, nil
}

func delimited(resp *http.Response) bool {
	bodyless := resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return bodyless || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// answerHeaders may be passed to the caller and kept with an answer. Redirects
// are the caller's to follow: Location is among them.
var answerHeaders = []string{
	"Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Type",
	"Etag", "Expires", "Last-Modified", "Link", "Location", "Retry-After", "Vary", "Warning", "X-Total-Count",
}

func headers(h http.Header) []call.Header {
	var out []call.Header
	for _, name := range answerHeaders {
		for _, v := range h[name] {
			out = append(out, call.Header{Name: name, Value: v})
		}
	}
	return out
}
