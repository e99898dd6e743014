// Package client is a caller of the system: it asks which addresses to use,
// streams generations, and reconnects with Last-Event-ID when a connection
// breaks. The command line, the demo and the load tool use it.
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

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("client")

// Timings of a caller.
const (
	dialTimeout    = 500 * time.Millisecond
	silenceLimit   = 3 * time.Second // the system sends a comment each second
	reconnectPause = 20 * time.Millisecond
	maxReconnects  = 200
	maxEventBytes  = 4 << 20
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

// Progress is told after each event.
type Progress struct {
	Index int
	Gap   time.Duration // since the event before, or the start
}

// Answer is a whole answer.
type Answer struct {
	TokenIDs   []int32
	Text       string
	Finish     string
	Reconnects int
	FirstToken time.Duration
	LongestGap time.Duration // between events after the first
}

// Client calls the system. Addresses are tried in order, each failure moving on
// to the next; the one that failed last is asked last from then on.
type Client struct {
	source func(ctx context.Context) ([]string, error)
	key    string
	http   *http.Client

	mu     sync.Mutex
	failed map[string]time.Time
}

// New returns a Client of fixed addresses for a workspace key.
func New(addrs []string, key string) *Client {
	return newClient(func(context.Context) ([]string, error) { return addrs, nil }, key)
}

// NewLocated returns a Client that uses the addresses of a Locator.
func NewLocated(l *Locator) *Client { return newClient(l.Addresses, l.key) }

func newClient(source func(context.Context) ([]string, error), key string) *Client {
	return &Client{source: source, key: key, failed: map[string]time.Time{}, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 256,
		},
		// A service's redirect is its answer: following it would call again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// next returns the address to use now.
func (c *Client) next(ctx context.Context) (string, error) {
	addrs, err := c.source(ctx)
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

func (c *Client) fail(addr string) {
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

type call struct {
	c        *Client
	key      string
	body     []byte
	answer   Answer
	lastID   string
	lastAt   time.Time
	started  time.Time
	progress func(Progress)
}

// Complete runs a generation under an Idempotency-Key and returns its whole
// answer, reconnecting as often as needed. A refusal is a *result.Error.
func (c *Client) Complete(ctx context.Context, key string, body Completion, progress func(Progress)) (*Answer, error) {
	body.Stream = true
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	k := &call{c: c, key: key, body: data, lastAt: now, started: now, progress: progress}
	for range maxReconnects {
		var addr string
		if addr, err = c.next(ctx); err == nil {
			err = k.once(ctx, addr)
		}
		if err == nil {
			return &k.answer, nil
		}
		if final(err) || ctx.Err() != nil {
			return &k.answer, err
		}
		c.fail(addr)
		k.answer.Reconnects++
		_ = timer.Sleep(ctx, reconnectPause)
	}
	return &k.answer, err
}

// elsewhere are the refusals of one VM that another VM may not share.
var elsewhere = []result.Code{result.NotFresh, result.ShuttingDown, result.ControlUnavail, result.KeepersUnavail, result.NoBackendServer}

// final reports whether err is an answer of the system, rather than a broken
// connection or the refusal of one VM. A refusal that says when to come back is
// the caller's to obey: trying other addresses at once would make a retry storm.
func final(err error) bool {
	var coded *result.Error
	return errors.As(err, &coded) && !slices.Contains(elsewhere, coded.Code)
}

var errCut = Error.New("connection ended before the answer")

func (k *call) once(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
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
	body := &touchReader{resp.Body, func() { silence.Reset(silenceLimit) }}
	for e, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		done, err := k.on(e)
		if done || err != nil {
			return err
		}
	}
	return errCut
}

func (k *call) on(e sse.Event) (bool, error) {
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
	return k.take(e.LastEventID, body)
}

func (k *call) take(id string, e event) (bool, error) {
	if e.Index != len(k.answer.TokenIDs)+len(e.TokenIDs) {
		return false, Error.New("event ends at %d behind %d tokens", e.Index, len(k.answer.TokenIDs))
	}
	now := time.Now()
	gap := now.Sub(k.lastAt)
	k.lastAt = now
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
	if err := json.NewDecoder(resp.Body).Decode(&coded); err != nil {
		return Error.New("status %d without a coded error", resp.StatusCode)
	}
	return &coded
}

// touchReader calls touch whenever bytes arrive, comments included.
type touchReader struct {
	r interface {
		Read(p []byte) (int, error)
	}
	touch func()
}

// Read implements io.Reader.
func (t *touchReader) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	if n > 0 {
		t.touch()
	}
	return n, err
}

// CallAnswer is a plain service's answer.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

const maxCallAnswer = 8 << 20

// Call sends a call to a plain service. A connection that breaks is tried again
// at the next address under the same Idempotency-Key: the system runs it once.
func (c *Client) Call(ctx context.Context, method, service, path, key string) (*ServiceResponse, error) {
	var err error
	for range maxReconnects {
		var addr string
		var answer *ServiceResponse
		if addr, err = c.next(ctx); err == nil {
			answer, err = c.callOnce(ctx, method, addr, "/v1/services/"+service+path, key)
		}
		if err == nil || final(err) || ctx.Err() != nil {
			return answer, err
		}
		c.fail(addr)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCallAnswer))
	if err != nil {
		return nil, err
	}
	return &ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
