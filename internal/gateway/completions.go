package gateway

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Bounds of the fields of a request.
const (
	maxTokensLimit  = 1 << 20
	deadlineLimitMS = 24 * 60 * 60 * 1000
)

type completionBody struct {
	Model      string  `json:"model"`
	Prompt     string  `json:"prompt"`
	PromptIDs  []int32 `json:"prompt_token_ids"`
	MaxTokens  int     `json:"max_tokens"`
	Stream     bool    `json:"stream"`
	Priority   int     `json:"priority"`
	DeadlineMS int64   `json:"deadline_ms"`
	Adapter    string  `json:"adapter"`
}

func (g *Gateway) completions(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = rand.Text()
	}
	ctx, span := g.tracer.Start(traceContext(r, key), "entry", key)
	defer span.End()
	ctx, cancel := g.untilEnding(ctx)
	defer cancel()
	if err := g.serveCompletion(ctx, w, r, key); err != nil {
		err = g.orEnding(err)
		g.log.Info().Str("request_id", key).Int("code", int(result.CodeOf(err))).Msg("request refused or failed")
		resulthttp.Write(w, key, err)
	}
}

// traceContext returns the request's context with the caller's trace. Without a trace of the
// caller it uses one derived from the request's key, which all connections of the request
// share.
func traceContext(r *http.Request, key string) context.Context {
	if parent := r.Header.Get("Traceparent"); parent != "" {
		return telemetry.Extract(r.Context(), parent)
	}
	return telemetry.ForRequest(r.Context(), r.Header.Get("Authorization")+"/"+key)
}

// serveCompletion returns an error only if nothing of the answer has been written.
func (g *Gateway) serveCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request, key string) error {
	if !ValidKey(key) {
		return result.New(result.InvalidKey)
	}
	caller, err := g.authenticate(r)
	if err != nil {
		return err
	}
	last, err := lastEvent(r, key)
	if err != nil {
		return err
	}
	reader, streamed, err := g.open(ctx, w, r, caller, key, last != nil)
	if err != nil {
		return err
	}
	defer reader.Release()
	w.Header().Set("X-Request-Id", key)
	if !streamed {
		return g.answerComplete(ctx, w, key, reader)
	}
	return g.answerStream(ctx, w, key, reader, last)
}

// open reads the body and opens the generation. The bodies that are being read are bounded
// here, because admission counts a request's bytes only once they have been read.
func (g *Gateway) open(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller, key string, resuming bool) (*relay.Reader, bool, error) {
	release, ok := g.opening.Enter(g.maxBodyBytes(r))
	if !ok {
		return nil, false, result.New(result.QueueFull).WithRetryAfter(fullRetryAfter)
	}
	defer release()
	body, err := readCompletion(http.MaxBytesReader(w, r.Body, g.cfg.MaxBodyBytes))
	if err != nil {
		return nil, false, err
	}
	req, err := g.request(ctx, caller, key, body)
	if err != nil {
		return nil, false, err
	}
	reader, err := g.generations.Open(ctx, req, resuming)
	return reader, body.Stream, err
}

func readCompletion(r io.Reader) (completionBody, error) {
	var body completionBody
	data, err := io.ReadAll(r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return body, result.New(result.BodyTooLarge)
	}
	if err != nil {
		return body, result.New(result.MalformedBody)
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return body, result.Newf(result.MalformedBody, "the body is not valid JSON of the documented form: %v", err)
	}
	return body, body.check()
}

func (b *completionBody) check() error {
	switch {
	case b.Model == "":
		return result.Newf(result.InvalidField, "model is missing")
	case b.Prompt == "" && len(b.PromptIDs) == 0:
		return result.Newf(result.InvalidField, "prompt or prompt_token_ids is missing")
	case b.Prompt != "" && len(b.PromptIDs) > 0:
		return result.Newf(result.InvalidField, "prompt and prompt_token_ids exclude each other")
	case len(b.PromptIDs) > maxTokensLimit:
		return result.Newf(result.InvalidField, "prompt_token_ids may have at most %d", maxTokensLimit)
	case b.MaxTokens < 1 || b.MaxTokens > maxTokensLimit:
		return result.Newf(result.InvalidField, "max_tokens must be 1 to %d", maxTokensLimit)
	case b.Priority < 0:
		return result.Newf(result.InvalidField, "priority must not be negative")
	case b.DeadlineMS < 0 || b.DeadlineMS > deadlineLimitMS:
		return result.Newf(result.InvalidField, "deadline_ms must be 0 to %d", deadlineLimitMS)
	}
	for _, t := range b.PromptIDs {
		if t < 0 {
			return result.Newf(result.InvalidField, "prompt_token_ids must not be negative")
		}
	}
	return nil
}

func lastEvent(r *http.Request, key string) (*EventID, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return nil, nil
	}
	id, err := ParseEventID(text)
	if err != nil {
		return nil, err
	}
	if id.Request != key {
		return nil, result.New(result.BadLastEventID)
	}
	return &id, nil
}

func (g *Gateway) request(ctx context.Context, caller Caller, key string, b completionBody) (generation.Request, error) {
	if !g.models.HasModel(b.Model) {
		return generation.Request{}, result.New(result.UnknownModel)
	}
	if !caller.Allowance.AllowsModel(b.Model) {
		return generation.Request{}, result.New(result.ModelNotInPlan)
	}
	return generation.Request{
		ID:    generation.RequestID{Workspace: caller.Customer.Workspace, Key: key},
		Model: b.Model, Adapter: b.Adapter, Prompt: b.Prompt, PromptIDs: b.PromptIDs, MaxTokens: b.MaxTokens,
		Priority: min(b.Priority, caller.Allowance.PriorityCeiling), DeadlineMS: b.DeadlineMS,
		Plan: caller.Customer.Plan, TraceID: telemetry.Inject(ctx),
	}, nil
}

type completionAnswer struct {
	RequestID string           `json:"request_id"`
	TokenIDs  []int32          `json:"token_ids"`
	Text      string           `json:"text"`
	Finish    string           `json:"finish_reason"`
	Usage     generation.Usage `json:"usage"`
}

func (g *Gateway) answerComplete(ctx context.Context, w http.ResponseWriter, key string, reader *relay.Reader) error {
	answer := completionAnswer{RequestID: key, TokenIDs: []int32{}}
	var text []byte
	for answer.Finish == "" {
		chunk, err := reader.Wait(ctx, len(answer.TokenIDs))
		if err != nil {
			return err
		}
		answer.TokenIDs = append(answer.TokenIDs, chunk.Span.Tokens...)
		for _, t := range chunk.Span.Texts {
			text = append(text, t...)
		}
		answer.Finish, answer.Usage = chunk.Finish, chunk.Usage
	}
	answer.Text = string(text)
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(&answer)
}

// maxFirstTokenWait is how long the HTTP status waits for the first token. An error until
// then is answered as an HTTP error, a later one as an event.
const maxFirstTokenWait = 1 * time.Second

func (g *Gateway) answerStream(ctx context.Context, w http.ResponseWriter, key string, reader *relay.Reader, last *EventID) error {
	s := &stream{w: w, key: key, flush: http.NewResponseController(w)}
	if last != nil {
		s.index, s.digest = last.Index, last.Digest
	}
	wait := maxFirstTokenWait
	for {
		chunk, err := g.waitForTokens(ctx, reader, s.index, wait)
		switch {
		case errors.Is(err, context.Canceled) && g.draining():
			return s.reconnect()
		case ctx.Err() != nil:
			return nil // the caller disconnected; the answer is kept for a reconnect
		case errors.Is(err, context.DeadlineExceeded):
			err = s.heartbeat()
		case err == nil:
			err = s.send(chunk)
		}
		if err != nil {
			return s.fail(err)
		}
		if chunk.Finish != "" {
			return nil
		}
		if g.draining() {
			return s.reconnect()
		}
		wait = g.cfg.Heartbeat
	}
}

// waitForTokens waits for tokens from index from on, until limit has passed or this VM has handed over
// its streams.
func (g *Gateway) waitForTokens(ctx context.Context, reader *relay.Reader, from int, limit time.Duration) (relay.Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if g.cfg.Draining != nil {
		defer context.AfterFunc(g.cfg.Draining, cancel)()
	}
	return reader.Wait(ctx, from)
}

// untilEnding returns a context that ends shortly before the process does.
func (g *Gateway) untilEnding(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if g.cfg.Ending == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(g.cfg.Ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// orEnding returns err, or what its caller is told if the end of the process is the cause.
func (g *Gateway) orEnding(err error) error {
	if g.cfg.Ending == nil || g.cfg.Ending.Err() == nil || !errors.Is(err, context.Canceled) {
		return err
	}
	return result.New(result.ShuttingDown).WithRan(result.RanUnknown)
}

func (g *Gateway) draining() bool {
	return g.cfg.Draining != nil && g.cfg.Draining.Err() != nil
}
