package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/headlimit"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

// stopCheckInterval is how often a server that stops checks whether requests are unanswered.
const stopCheckInterval = 5 * time.Millisecond

// server serves one address. http.Server drops a request whose head it reads once it shuts down; this one
// answers it.
type server struct {
	*http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]http.ConnState // of the open connections
}

func newServer(l net.Listener, h http.Handler, heads *headlimit.Account) *server {
	s := &server{conns: map[net.Conn]http.ConnState{}}
	s.Server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.onState}
	s.listener = &onceListener{Listener: heads.Guard(s.Server, l, func() int { return maxHeaderBytes })}
	return s
}

// onceListener may be closed more than once.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

func (s *server) onState(c net.Conn, to http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to == http.StateClosed || to == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = to
}

// stop serves until no request is unanswered, but takes no new connection once listening ends, and then
// closes all connections. It ends with ctx at the latest.
func (s *server) stop(ctx, listening context.Context) error {
	s.awaitAnswers(listening)
	err := s.listener.Close()
	s.awaitAnswers(ctx) // of requests on connections that were accepted meanwhile
	return errors.Join(err, s.Shutdown(ctx))
}

// awaitAnswers waits until no request is unanswered, or ctx ends.
func (s *server) awaitAnswers(ctx context.Context) {
	for s.awaitsRequests() {
		if timer.Sleep(ctx, stopCheckInterval) != nil {
			return
		}
	}
}

// awaitsRequests reports whether a connection is new, or has a request that is not answered. New ones
// turn idle or are closed within headerTimeout.
func (s *server) awaitsRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state != http.StateIdle || headlimit.Unanswered(c) {
			return true
		}
	}
	return false
}
