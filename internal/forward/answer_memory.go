package forward

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/readlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is forwarded.
	maxAnswerBytes = 16 << 20
	// maxFailureBytes bounds a server's own failure that another server may replace.
	maxFailureBytes = 64 << 10
	// maxRefusalBytes and maxStrayBytes bound what is read and dropped to reach the next answer
	// on a connection, behind a refusal and behind an answer to another request.
	maxRefusalBytes = 64 << 10
	maxStrayBytes   = 1 << 20
	// spoiledTime is how long a server that sent without end is suspect. It may spoil a part of
	// its answers only.
	spoiledTime = 10 * time.Second
)

// requestMemory is the memory that a request and the answers to it take.
type requestMemory struct {
	body *memory.Request // nil: none is counted

	mu      sync.Mutex
	answers []*memory.Answer
}

// release ends the counts of a request and of all answers to it.
func (q *request) release() {
	if q.leave != nil {
		q.leave()
	}
	m := &q.memory
	if m.body != nil {
		m.body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.answers {
		a.Close()
	}
}

// beginAnswer adds the answer of a server. end is called if its memory is needed for others.
func (q *request) beginAnswer(h *Handler, s *upstream.Server, end func()) *memory.Answer {
	a := h.opts.Memory.BeginAnswer(h.spoilers.has(s.ID), end)
	m := &q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers = append(m.answers, a)
	return a
}

// answerLimits bound the body of an answer in bytes.
type answerLimits struct {
	body    int64
	failure int64 // of a server's own failure
}

// answerLimits returns the limits of the next answer to a request.
func (h *Handler) answerLimits(q *request) answerLimits {
	l := answerLimits{body: min(maxAnswerBytes, h.opts.Memory.LargestAnswer())}
	l.failure = l.body
	if q.history.MayRunAgain() {
		l.failure = min(l.body, maxFailureBytes)
	}
	return l
}

// readAnswerBody reads the body of an answer into the memory of m.
func readAnswerBody(r *reply, l answerLimits, m *memory.Answer) error {
	limit := l.body
	if r.resp.StatusCode >= http.StatusInternalServerError {
		limit = l.failure
	}
	body, err := upstream.ReadPieces(r.resp, limit, m.Add)
	if err != nil {
		return endedFor(m, err)
	}
	r.body, r.memory = body, m
	return nil
}

// endedFor closes the memory of an answer that could not be read, and returns why: its memory was
// needed for others, or err. A request that has ended takes no memory either.
func endedFor(m *memory.Answer, err error) error {
	switch {
	case m.Close():
		return upstream.ErrNoMemory
	case errors.Is(err, upstream.ErrNoMemory):
		return upstream.ErrBroken
	}
	return err
}

// spoilers are the servers that have lately sent more than an answer may have. It is safe for
// concurrent use.
type spoilers struct {
	mu    sync.Mutex
	until map[string]time.Time // by server
}

func newSpoilers() *spoilers { return &spoilers{until: map[string]time.Time{}} }

func (s *spoilers) add(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[server] = time.Now().Add(spoiledTime)
}

func (s *spoilers) has(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[server]
	if ok && time.Now().After(until) {
		delete(s.until, server)
		return false
	}
	return ok
}

// noteSpoiled records that a server has sent more than an answer may have, if that is why an
// answer could not be read. It reports whether it is.
func (h *Handler) noteSpoiled(s *upstream.Server, err error) bool {
	isSpoiled := errors.Is(err, upstream.ErrTooLarge) || errors.Is(err, upstream.ErrNoMemory) || errors.Is(err, readlimit.ErrExceeded)
	if isSpoiled {
		h.Stats.SpoiledAnswers.Inc()
		h.spoilers.add(s.ID)
	}
	return isSpoiled
}

// noteBroken is noteSpoiled for a run, which counts as a failure of its server.
func (h *Handler) noteBroken(s *upstream.Server, err error) {
	if h.noteSpoiled(s, err) {
		h.opts.Fleet.Failed(s)
	}
}
