// Package client is a client of the system. It discovers the addresses to use, streams
// generations, and reconnects with Last-Event-ID when a connection breaks. The command line, the
// demo and the load tool use it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("client")

// Timeouts and limits of a Client.
const (
	dialTimeout       = 500 * time.Millisecond
	streamIdleTimeout = 3 * time.Second // the system sends an SSE comment each second
	reconnectPause    = 20 * time.Millisecond
	maxReconnects     = 200
	maxEventBytes     = 4 << 20
	maxHeadBytes      = 64 << 10
	maxErrorBytes     = 64 << 10
	idlePerAddress    = 256 // connections
)

// Completion is the body of a generation request.
type Completion struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Stream     bool   `json:"stream"`
}

// Progress describes one received event. Index is the number of tokens received so far.
type Progress struct {
	Index int
	Gap   time.Duration // since the previous event, or since the start
}

// Answer is the answer to a generation. It is incomplete if Complete returned an error.
type Answer struct {
	TokenIDs   []int32
	Text       string
	Finish     string
	Reconnects int
	FirstToken time.Duration
	LongestGap time.Duration // between events after the first
}

// Client calls the system with the key of a workspace. It uses the first address that has never
// failed, or else the address whose last failure is the oldest. It is safe for concurrent use.
type Client struct {
	addresses func(ctx context.Context) ([]string, error)
	key       string
	http      *http.Client

	mu     sync.Mutex
	failed map[string]time.Time
}

// New returns a Client that uses fixed addresses. key is the key of the workspace.
func New(addrs []string, key string) *Client {
	return newClient(func(context.Context) ([]string, error) { return addrs, nil }, key)
}

// NewLocated returns a Client that uses the addresses and the workspace key of a Locator.
func NewLocated(l *Locator) *Client { return newClient(l.Addresses, l.key) }

func newClient(addresses func(context.Context) ([]string, error), key string) *Client {
	return &Client{addresses: addresses, key: key, failed: map[string]time.Time{}, http: &http.Client{
		Transport: newTransport(idlePerAddress),
		// A redirect is the response of the service. Following it would be a second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// newTransport returns a Transport that keeps up to idle connections to each address.
func newTransport(idle int) httphead.Transport {
	return httphead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// next returns the address for the next attempt.
func (c *Client) next(ctx context.Context) (string, error) {
	addrs, err := c.addresses(ctx)
	if err != nil {
		return "", err
	}
	if len(addrs) == 0 {
		return "", Error.New("no addresses")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.MinFunc(addrs, func(a, b string) int { return c.failed[a].Compare(c.failed[b]) }), nil
}

func (c *Client) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[addr] = time.Now()
}

type event struct {
	TokenIDs []int32 `json:"token_ids"`
	Text     string  `json:"text"`
	Index    int     `json:"index"`
	Finish   string  `json:"finish_reason"`
}

type completionCall struct {
	c           *Client
	key         string
	body        []byte
	answer      Answer
	lastID      string
	lastEventAt time.Time
	started     time.Time
	progress    func(Progress)
}

// Complete runs a generation and returns its complete answer. key is the Idempotency-Key. When a
// connection breaks, Complete reconnects, at most maxReconnects times, and resumes after the last
// event. It calls progress after each event unless progress is nil. If the system refuses the
// request, the error is a *result.Error. With an error, the answer holds what has arrived.
func (c *Client) Complete(ctx context.Context, key string, body Completion, progress func(Progress)) (*Answer, error) {
	body.Stream = true
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	k := &completionCall{c: c, key: key, body: data, lastEventAt: now, started: now, progress: progress}
	for range maxReconnects {
		var addr string
		if addr, err = c.next(ctx); err == nil {
			err = k.attempt(ctx, addr)
		}
		if err == nil {
			return &k.answer, nil
		}
		if isFinal(err) || ctx.Err() != nil {
			return &k.answer, err
		}
		c.markFailed(addr)
		k.answer.Reconnects++
		_ = timer.Sleep(ctx, reconnectPause)
	}
	return &k.answer, err
}

// otherAddressCodes are the result codes of refusals that concern one VM only. Another VM may
// accept the request.
var otherAddressCodes = []result.Code{result.NotFresh, result.ShuttingDown, result.ControlUnavail, result.KeepersUnavail, result.NoBackendServer}

// isFinal reports whether err is a refusal by the system, as opposed to a broken connection or a
// refusal by one VM. A refusal that states when to retry is final too: the caller waits for that
// time, because retries on other addresses at once would cause a retry storm.
func isFinal(err error) bool {
	var coded *result.Error
	return errors.As(err, &coded) && !slices.Contains(otherAddressCodes, coded.Code)
}

var errDisconnected = Error.New("connection closed before the end of the answer")

func (k *completionCall) attempt(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(streamIdleTimeout, cancel)
	defer idleTimer.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", bytes.NewReader(k.body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+k.c.key)
	r.Header.Set("Idempotency-Key", k.key)
	if k.lastID != "" {
		r.Header.Set("Last-Event-ID", k.lastID)
	}
	resp, err := k.c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp)
	}
	body := &activityReader{resp.Body, func() { idleTimer.Reset(streamIdleTimeout) }}
	for e, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		done, err := k.handleEvent(e)
		if done || err != nil {
			return err
		}
	}
	return errDisconnected
}

func (k *completionCall) handleEvent(e sse.Event) (bool, error) {
	if e.Data == "[DONE]" {
		return true, nil
	}
	if e.Type == "error" {
		var coded result.Error
		if err := json.Unmarshal([]byte(e.Data), &coded); err != nil {
			return false, err
		}
		return false, &coded
	}
	var body event
	if err := json.Unmarshal([]byte(e.Data), &body); err != nil {
		return false, err
	}
	return k.appendEvent(e.LastEventID, body)
}

func (k *completionCall) appendEvent(id string, e event) (bool, error) {
	if e.Index != len(k.answer.TokenIDs)+len(e.TokenIDs) {
		return false, Error.New("event ends at index %d, which does not match the %d tokens received before", e.Index, len(k.answer.TokenIDs))
	}
	now := time.Now()
	gap := now.Sub(k.lastEventAt)
	k.lastEventAt = now
	if len(k.answer.TokenIDs) == 0 {
		k.answer.FirstToken = now.Sub(k.started)
	} else {
		k.answer.LongestGap = max(k.answer.LongestGap, gap)
	}
	k.answer.TokenIDs = append(k.answer.TokenIDs, e.TokenIDs...)
	k.answer.Text += e.Text
	k.answer.Finish = e.Finish
	k.lastID = id
	if k.progress != nil {
		k.progress(Progress{Index: e.Index, Gap: gap})
	}
	return e.Finish != "", nil
}

func decodeError(resp *http.Response) error {
	var coded result.Error
	if err := decode(resp.Body, maxErrorBytes, &coded); err != nil {
		return Error.New("status %d without a result code", resp.StatusCode)
	}
	return &coded
}

// activityReader calls onRead whenever data arrives, SSE comments included.
type activityReader struct {
	r interface {
		Read(p []byte) (int, error)
	}
	onRead func()
}

// Read implements io.Reader.
func (t *activityReader) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	if n > 0 {
		t.onRead()
	}
	return n, err
}

// ServiceResponse is the response of a service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxCallBodyBytes bounds the body of a ServiceResponse.
const maxCallBodyBytes = 8 << 20

// Call sends a request to a service. key is the Idempotency-Key. If a connection breaks, Call
// retries at the next address under the same key, so the system runs the request only once. A
// response with status 4xx or 5xx is returned as an error.
func (c *Client) Call(ctx context.Context, method, service, path, key string) (*ServiceResponse, error) {
	var err error
	for range maxReconnects {
		var addr string
		var answer *ServiceResponse
		if addr, err = c.next(ctx); err == nil {
			answer, err = c.callOnce(ctx, method, addr, "/v1/services/"+service+path, key)
		}
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return answer, err
		}
		c.markFailed(addr)
		_ = timer.Sleep(ctx, reconnectPause)
	}
	return nil, err
}

func (c *Client) callOnce(ctx context.Context, method, addr, path, key string) (*ServiceResponse, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Idempotency-Key", key)
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 4 || resp.StatusCode/100 == 5 {
		return nil, decodeError(resp)
	}
	if !httphead.Delimited(resp) { // the system states the length, or sends chunks
		return nil, errDisconnected
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxCallBodyBytes {
		return nil, Error.New("response exceeds %d bytes", maxCallBodyBytes)
	}
	return &ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// decode decodes a JSON value of at most limit bytes.
func decode(r io.Reader, limit int64, out any) error {
	return json.NewDecoder(io.LimitReader(r, limit)).Decode(out)
}
