package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// callerWriteTimeout ends a connection whose caller does not read. The answer stays in the
// journal for a reconnect, so the connection need not be held.
const callerWriteTimeout = 30 * time.Second

// stream writes an answer to one caller as Server-Sent Events. index and digest describe the
// tokens that the caller holds.
type stream struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	key      string
	index    int
	digest   uint64
	headSent bool
}

type eventBody struct {
	TokenIDs []int32           `json:"token_ids"`
	Text     string            `json:"text"`
	Index    int               `json:"index"`
	Finish   string            `json:"finish_reason,omitempty"`
	Usage    *generation.Usage `json:"usage,omitempty"`
}

var errWrite = errors.New("gateway: event could not be written to the caller")

// sendHead sets the headers before the first bytes are written.
func (s *stream) sendHead() {
	if s.headSent {
		return
	}
	s.headSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
}

// send writes a chunk as one event. A digest other than the caller's means that the caller
// holds tokens of another answer, and sending the chunk would mix the two answers.
func (s *stream) send(c relay.Chunk) error {
	if c.Span.From != s.index || c.Prefix != s.digest {
		return result.New(result.PrefixMismatch)
	}
	for _, t := range c.Span.Tokens {
		s.digest = generation.PrefixDigest(s.digest, t)
	}
	s.index += len(c.Span.Tokens)
	body := eventBody{TokenIDs: c.Span.Tokens, Text: strings.Join(c.Span.Texts, ""), Index: s.index, Finish: c.Finish}
	if body.TokenIDs == nil {
		body.TokenIDs = []int32{}
	}
	if c.Finish != "" {
		body.Usage = &c.Usage
	}
	id := EventID{s.key, s.index, s.digest}
	if err := s.event(id.String(), "", body); err != nil || c.Finish == "" {
		return err
	}
	return s.done()
}

func (s *stream) event(id, kind string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	m := &sse.Message{}
	if id != "" {
		m.ID = sse.ID(id)
	}
	if kind != "" {
		m.Type = sse.Type(kind)
	}
	m.AppendData(string(data))
	return s.write(m)
}

func (s *stream) done() error {
	m := &sse.Message{}
	m.AppendData("[DONE]")
	return s.write(m)
}

// heartbeat writes a comment. It prevents the caller's own timeout of a few seconds from
// firing while an answer is resumed.
func (s *stream) heartbeat() error {
	m := &sse.Message{}
	m.AppendComment("waiting")
	return s.write(m)
}

// reconnect writes a comment that asks the caller to reconnect, because its answer is resumed
// on another VM. To a caller that does not read comments, the end of a stream without
// finish_reason means the same.
func (s *stream) reconnect() error {
	m := &sse.Message{}
	m.AppendComment("reconnect")
	_ = s.write(m)
	return nil
}

func (s *stream) write(m *sse.Message) error {
	s.sendHead()
	_ = s.flush.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := m.WriteTo(s.w); err != nil {
		return errors.Join(errWrite, err)
	}
	if err := s.flush.Flush(); err != nil {
		return errors.Join(errWrite, err)
	}
	return nil
}

// fail reports err to the caller: as an HTTP answer if no bytes have been written, otherwise
// as an event.
func (s *stream) fail(err error) error {
	if errors.Is(err, errWrite) {
		return nil
	}
	if !s.headSent {
		return err
	}
	e := *result.From(err)
	e.RequestID = s.key
	if s.index > 0 && e.Ran == result.RanNo {
		e.Ran = result.RanYes // the caller has tokens of the answer
	}
	_ = s.event("", "error", &e)
	return nil
}
