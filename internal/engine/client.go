package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/zeebo/errs"

	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// Timeouts and size limits of the client.
const (
	dialTimeout         = 1 * time.Second // the latency to engines is a few milliseconds
	maxEventBytes       = 1 << 20
	maxResponseBytes    = 4 << 20
	maxHeadBytes        = 64 << 10
	maxIdleConnsPerHost = 64
)

// ErrTruncated is returned when a stream ends before its finish event, because the engine died
// or the connection was lost.
var ErrTruncated = Error.New("stream ended before its finish event")

// StatusError is a response with an unexpected HTTP status. Body holds at most the first 4 KiB
// of the response.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d: %s", e.Status, e.Body)
}

// Client calls engines by their address, ip:port. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client whose transport is set up for long streams from nearby engines.
// It limits the time to connect to dialTimeout; only the context limits the time of a request.
// It keeps up to maxIdleConnsPerHost idle connections to each engine for reuse. It requests
// no compression and uses no proxy.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: httphead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	})}}
}

// Generate runs a completion and calls onEvent for each event, the finish event included. It
// returns nil after the finish event, ErrTruncated if the stream ended early, or the error that
// onEvent returned.
func (c *Client) Generate(ctx context.Context, addr string, req Completion, onEvent func(Event) error) error {
	data, err := json.Marshal(req)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	return c.stream(r, onEvent)
}

// Attach resumes reading a run that outlived its connection. The first event is the one after
// token index from. The errors are those of Generate.
func (c *Client) Attach(ctx context.Context, addr string, attempt Attempt, from int, onEvent func(Event) error) error {
	u := "http://" + addr + "/v1/streams/" + url.PathEscape(attempt) + "?from=" + strconv.Itoa(from)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return err
	}
	return c.stream(r, onEvent)
}

func (c *Client) stream(r *http.Request, onEvent func(Event) error) error {
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		finished, err := deliver(event.Data, onEvent)
		if err != nil || finished {
			return err
		}
	}
	return ErrTruncated
}

func deliver(data string, onEvent func(Event) error) (bool, error) {
	if data == "[DONE]" {
		return false, nil
	}
	var e Event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return false, Error.New("event could not be decoded: %w", err)
	}
	if len(e.Texts) != len(e.TokenIDs) {
		return false, Error.New("event has %d tokens but %d texts", len(e.TokenIDs), len(e.Texts))
	}
	if err := onEvent(e); err != nil {
		return false, err
	}
	return e.Finish != "", nil
}

// Cancel ends a run. It returns nil if the engine does not know the run.
func (c *Client) Cancel(ctx context.Context, addr string, attempt Attempt) error {
	err := c.do(ctx, http.MethodDelete, addr, "/v1/streams/"+url.PathEscape(attempt), nil, nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Load returns the latest load report of the engine.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var out Load
	err := c.do(ctx, http.MethodGet, addr, "/v1/load", nil, &out)
	return out, err
}

// CacheEvents returns a page of cache events after the sequence number since.
func (c *Client) CacheEvents(ctx context.Context, addr string, since uint64) (CacheEvents, error) {
	var out CacheEvents
	err := c.do(ctx, http.MethodGet, addr, "/v1/cache-events?since="+strconv.FormatUint(since, 10), nil, &out)
	return out, err
}

// Order sends an order to an engine and returns the engine's state after it.
func (c *Client) Order(ctx context.Context, addr string, o Order) (State, error) {
	var out State
	err := c.do(ctx, http.MethodPost, addr, "/v1/orders", o, &out)
	return out, err
}

// State returns the role and the loaded models of an engine.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var out State
	err := c.do(ctx, http.MethodGet, addr, "/v1/state", nil, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, method, addr, path string, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	return &StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(text))}
}
