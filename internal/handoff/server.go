package handoff

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// Bounds of the requests that a VM serves for others.
const (
	// maxTaken bounds the requests in progress for other VMs.
	maxTaken = 256
	// maxWaiting bounds the bytes of an answer that wait to be read.
	maxWaiting = 64 << 10
	// readWait is how long a read waits for the next bytes.
	readWait = 250 * time.Millisecond
	// offerLease is how long a request is kept that is not read at all.
	offerLease = 1500 * time.Millisecond
	// readLease is how long a request is kept at most without a further read: as long as its reader
	// would wait for this VM.
	readLease = lostAfter
	// endPollInterval is how often EndAll checks whether the other VMs know of the end.
	endPollInterval = 5 * time.Millisecond
)

// ErrReaderLost is the cause of the end of a request whose reader is gone. Its caller comes back to
// another VM.
var ErrReaderLost = errors.New("handoff: the VM that reads the answer is gone")

// errNoMemory means that the memory of an answer was needed for others.
var errNoMemory = errors.New("handoff: no memory for the answer")

type relayedKey struct{}

// Reader is the VM that reads the answer to a request which this VM serves for it.
type Reader struct {
	VM  string
	End func() // ends the request with ErrReaderLost
}

// ReaderOf returns the reader of a request that came from another VM.
func ReaderOf(ctx context.Context) (r Reader, ok bool) {
	r, ok = ctx.Value(relayedKey{}).(Reader)
	return r, ok
}

// IsRelayed reports whether a request came from another VM. It must not be handed off again.
func IsRelayed(ctx context.Context) bool { return ctx.Value(relayedKey{}) != nil }

// Server serves requests that other VMs hand off. It is safe for concurrent use.
type Server struct {
	ctx   context.Context
	serve http.Handler
	takes func(service string) bool
	log   zerolog.Logger
	// account holds the requests that were taken, and what waits to be read of their answers.
	account *memory.Account

	mu    sync.Mutex
	taken map[takenKey]*exchange
	ended bool // no more requests are taken
}

type takenKey struct {
	vm string
	id uint64
}

// NewServer returns a Server that passes requests to serve until ctx ends, and registers it
// with t. takes reports whether this VM can serve a service.
func NewServer(ctx context.Context, t peer.Transport, serve http.Handler, takes func(service string) bool, account *memory.Account, log zerolog.Logger) *Server {
	s := &Server{ctx: ctx, serve: serve, takes: takes, log: log, account: account, taken: map[takenKey]*exchange{}}
	t.Handle(peer.KindOffer, s.handleOffer)
	t.Handle(peer.KindReadAnswer, s.handleRead)
	t.Handle(peer.KindReleaseOffer, s.handleRelease)
	return s
}

func (s *Server) handleOffer(_ context.Context, from string, body []byte) (any, error) {
	q := &Request{}
	if err := codec.Unmarshal(body, q); err != nil {
		return nil, err
	}
	if !s.takes(q.Service) {
		return OfferReply{}, nil
	}
	key := takenKey{from, q.ID}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.taken[key] != nil || len(s.taken) >= maxTaken {
		return OfferReply{}, nil
	}
	held := s.account.BeginRequest()
	if !held.Add(len(q.Body)) {
		return OfferReply{}, nil
	}
	s.taken[key] = s.newExchange(key, q, held)
	return OfferReply{Taken: true, StatesEnd: true}, nil
}

func (s *Server) newExchange(key takenKey, q *Request, held *memory.Request) *exchange {
	ctx, cancel := context.WithCancelCause(s.ctx)
	e := &exchange{request: q, held: held, header: http.Header{}, changed: make(chan struct{})}
	e.cancel = func() { cancel(nil) }
	e.memory = s.account.BeginAnswer(false, e.cancel)
	e.ctx = context.WithValue(ctx, relayedKey{}, Reader{VM: key.vm, End: func() {
		cancel(ErrReaderLost)
		s.drop(key, e)
	}})
	e.lease = time.AfterFunc(offerLease, func() {
		s.log.Info().Str("from", key.vm).Uint64("offer", key.id).Msg("a request of another VM is not read any more; dropped")
		s.drop(key, e)
	})
	return e
}

// drop ends a request that is not read any more.
func (s *Server) drop(key takenKey, e *exchange) {
	s.mu.Lock()
	if s.taken[key] == e {
		delete(s.taken, key)
	}
	s.mu.Unlock()
	e.lease.Stop()
	e.cancel()
	e.held.Close()
	e.memory.Close()
}

// EndAll ends all requests that this VM serves for others, and takes no more. Their VMs go on with
// them. It returns once these know it, or when ctx ends.
func (s *Server) EndAll(ctx context.Context) {
	s.mu.Lock()
	s.ended = true
	for _, e := range s.taken {
		e.cancel()
	}
	s.mu.Unlock()
	for s.InProgress() > 0 && timer.Sleep(ctx, endPollInterval) == nil {
	}
}

// InProgress returns the number of requests that this VM serves for others and whose answers these have
// not read whole.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.taken)
}

func (s *Server) lookup(key takenKey) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken[key]
}

func (s *Server) handleRead(ctx context.Context, from string, body []byte) (any, error) {
	var r ReadRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	e := s.lookup(takenKey{from, r.ID})
	if e == nil || !e.lease.Reset(r.lease()) {
		return Piece{}, nil
	}
	e.start.Do(func() {
		s.log.Info().Str("from", from).Str("service", e.request.Service).Uint64("offer", r.ID).Msg("serving a request for another VM")
		go e.run(s.serve, s.log)
	})
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	return e.read(ctx, &r), nil
}

// lease returns how long a request is kept after a read.
func (r *ReadRequest) lease() time.Duration {
	if r.KeepMS <= 0 {
		return readLease
	}
	return min(readLease, time.Duration(r.KeepMS)*time.Millisecond)
}

func (s *Server) handleRelease(_ context.Context, from string, body []byte) (any, error) {
	var r ReleaseRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	key := takenKey{from, r.ID}
	if e := s.lookup(key); e != nil {
		s.drop(key, e)
	}
	return nil, nil
}

// exchange is one request for another VM, and the part of its answer that waits to be read.
// It implements http.ResponseWriter.
type exchange struct {
	request *Request
	held    *memory.Request // of request
	memory  *memory.Answer  // of waiting
	ctx     context.Context
	cancel  context.CancelFunc
	lease   *time.Timer
	start   sync.Once
	header  http.Header // of the handler, until the head is written

	mu      sync.Mutex
	changed chan struct{} // closed with each change
	status  int           // 0: there is no head yet
	head    http.Header
	offset  int64  // of waiting
	waiting []byte // the bytes that were not acknowledged by a read
	ended   bool
	// complete is set with ended if the whole answer was written.
	complete bool
}

// run passes the request to the handler and ends the answer.
func (e *exchange) run(serve http.Handler, log zerolog.Logger) {
	defer e.cancel()
	returned := false
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("a request of another VM ended in a panic")
		}
		e.end(returned)
	}()
	e.serve(serve)
	returned = true
}

func (e *exchange) serve(serve http.Handler) {
	r, err := http.NewRequestWithContext(e.ctx, e.request.Method, "http://"+e.request.Host+e.request.URI, bytes.NewReader(e.request.Body))
	if err != nil {
		http.Error(e, err.Error(), http.StatusBadRequest)
		return
	}
	r.RequestURI, r.Header = e.request.URI, e.request.Header
	serve.ServeHTTP(e, r)
}

// end ends the answer. returned reports that the handler returned without a panic.
func (e *exchange) end(returned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended, e.complete = true, returned && e.isWhole()
	e.signal()
}

// isWhole reports whether a handler that returned has written its whole answer. One whose
// context was cancelled may have returned because of that. It needs e.mu.
func (e *exchange) isWhole() bool {
	if e.status == 0 {
		return false
	}
	if length, stated := bodyLength(e.request.Method, e.head); stated {
		return e.offset+int64(len(e.waiting)) == length
	}
	return e.ctx.Err() == nil
}

// bodyLength returns the length of an answer's body if its head states it.
func bodyLength(method string, head http.Header) (length int64, stated bool) {
	if method == http.MethodHead {
		return 0, false
	}
	length, err := strconv.ParseInt(head.Get("Content-Length"), 10, 64)
	return length, err == nil
}

// signal wakes whoever waits for a change. It needs e.mu.
func (e *exchange) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHead(status)
}

func (e *exchange) writeHead(status int) {
	if e.status == 0 {
		e.status, e.head = status, e.header.Clone()
		e.signal()
	}
}

// Write implements http.ResponseWriter. It blocks while maxWaiting bytes wait, and adds a part
// of that size at most at a time.
func (e *exchange) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.ctx.Err(); err != nil {
		return 0, err
	}
	e.writeHead(http.StatusOK)
	for rest := p; len(rest) > 0; {
		n := min(len(rest), maxWaiting)
		for len(e.waiting) > 0 && len(e.waiting)+n > maxWaiting {
			if err := e.wait(e.ctx); err != nil {
				return len(p) - len(rest), err
			}
		}
		if !e.memory.Add(n) {
			return len(p) - len(rest), errNoMemory
		}
		e.waiting = append(e.waiting, rest[:n]...)
		rest = rest[n:]
		e.signal()
	}
	return len(p), nil
}

// wait waits for a change. It needs e.mu and releases it meanwhile.
func (e *exchange) wait(ctx context.Context) error {
	changed := e.changed
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Flush implements http.Flusher: what is written can be read at once.
func (e *exchange) Flush() {}

// SetWriteDeadline ends writes that wait if the deadline has passed. It implements the method
// that http.ResponseController looks for.
func (e *exchange) SetWriteDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		e.cancel()
	}
	return nil
}

// read returns what the reader lacks of the answer. It waits for more until ctx ends.
func (e *exchange) read(ctx context.Context, r *ReadRequest) Piece {
	e.mu.Lock()
	defer e.mu.Unlock()
	if acknowledged := r.Offset - e.offset; acknowledged > 0 && acknowledged <= int64(len(e.waiting)) {
		e.waiting = append([]byte(nil), e.waiting[acknowledged:]...)
		e.offset = r.Offset
		e.memory.Add(-int(acknowledged))
		e.signal()
	}
	for !e.hasNews(r.HasHead) {
		if e.wait(ctx) != nil {
			break
		}
	}
	out := Piece{Known: true, Status: e.status, Data: append([]byte(nil), e.waiting...), End: e.ended, Aborted: e.ended && !e.complete, Complete: e.complete}
	if !r.HasHead {
		out.Header = e.head
	}
	return out
}

func (e *exchange) hasNews(hasHead bool) bool {
	return e.ended || len(e.waiting) > 0 || e.status != 0 && !hasHead
}
