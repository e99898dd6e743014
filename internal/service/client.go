// Package service calls plain services over HTTP/1.1. It sends a non-idempotent call
// without transparent replay and under a claim of the control group, so each of
// these calls runs at most once.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/call"
	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
)

// Timeouts and size limits of the client. The latency to services is a few
// milliseconds.
const (
	dialTimeout    = 500 * time.Millisecond
	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// MaxAnswerBytes is the size of the largest answer body that is relayed.
	MaxAnswerBytes = 4 << 20
)

// Errors of a call without a complete answer.
var (
	// ErrNotDelimited is returned for an answer with neither a length nor chunks. A
	// broken connection could not be distinguished from its end.
	ErrNotDelimited = errors.New("service: answer without Content-Length or chunked encoding")
	// ErrTooLarge is returned for an answer above the size limit.
	ErrTooLarge = errors.New("service: answer too large")
	errUpgrade  = errors.New("service: backend server switched protocols")
)

// Request is a call in the form that is sent to a backend server.
type Request struct {
	Method string
	Path   string // escaped, with the query
	Header http.Header
	Body   []byte
}

// Sender sends calls to backend servers by address.
type Sender interface {
	// Dial opens a connection for one non-idempotent call.
	Dial(ctx context.Context, addr string) (Connection, error)
	// Relay sends an idempotent call, which lower layers may repeat.
	Relay(ctx context.Context, addr string, r *Request) (*call.Answer, error)
}

// Connection carries one call.
type Connection interface {
	// Send writes the request once. It calls permit immediately before the first
	// byte; an error from permit stops the call with nothing written. wrote reports
	// whether any byte may have been sent. If it is false, none was sent and none
	// will be.
	Send(ctx context.Context, r *Request, permit func() error) (a *call.Answer, wrote bool, err error)
	Close()
}

// Client implements Sender over TCP. It is safe for concurrent use.
type Client struct {
	pool httphead.Transport
	dial net.Dialer
}

// NewClient returns a Client.
func NewClient() *Client {
	c := &Client{dial: net.Dialer{Timeout: dialTimeout}}
	c.pool = httphead.NewTransport(&http.Transport{
		DialContext: c.dialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	})
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

// newRequest leaves GetBody unset. No lower layer can then rewind the body and send
// it again.
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
		req.Header["User-Agent"] = []string{""} // prevents net/http from adding its default
	}
	return req, nil
}

// readAnswer reads a complete answer. A body above MaxAnswerBytes is dropped.
func readAnswer(resp *http.Response) (*call.Answer, error) {
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errUpgrade
	}
	if !httphead.Delimited(resp) {
		return nil, ErrNotDelimited
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("service: answer is incomplete: %w", err)
	}
	a := &call.Answer{Status: resp.StatusCode, Headers: headers(resp.Header), Body: body}
	if len(body) > MaxAnswerBytes {
		a.Body, a.NoBody = nil, true
	}
	return a, nil
}

// answerHeaders are the headers that may be forwarded to the caller and kept with an
// answer. Location is among them because the caller follows redirects itself.
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
