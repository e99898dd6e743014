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

// callerWriteTimeout ends a connection whose caller reads nothing: its answer
// stays in the journal for a reconnect, so the connection need not be held.
const callerWriteTimeout = 30 * time.Second

type stream struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	key    string
	index  int
	digest uint64
	headSent  bool
}

type eventBody struct {
	TokenIDs []int32           `json:"token_ids"`
	Text     string            `json:"text"`
	Index    int               `json:"index"`
	Finish   string            `json:"finish_reason,omitempty"`
	Usage    *generation.Usage `json:"usage,omitempty"`
}

var errWrite = errors.New("gateway: caller does not read")

// begin sends the headers before the first bytes.
func (s *stream) sendHead() {
	if s.headSent {
		return
	}
	s.headSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
}

// send writes a chunk as one event. A digest other than the caller's means that
// the caller holds tokens of another answer: going on would splice the two.
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

// heartbeat writes a comment, so that the caller's own timeout of a few seconds
// does not fire while an answer is resumed.
func (s *stream) heartbeat() error {
	m := &sse.Message{}
	m.AppendComment("waiting")
	return s.write(m)
}

// reconnect tells the caller in a comment that its connection ends here while
// its answer goes on elsewhere. The end of a stream without finish_reason means
// the same to a caller that does not read comments.
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

// fail reports err: as the HTTP answer before it has begun, as an event after.
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
		e.Ran = result.RanYes // the caller holds tokens
	}
	_ = s.event("", "error", &e)
	return nil
}
