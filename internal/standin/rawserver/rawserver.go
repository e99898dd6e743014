// Package rawserver is a stand-in for a server in trouble. It answers over TCP with the bytes that a
// test states, and ends its connections as the test states.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// End is how a server ends a connection behind its answer.
type End uint8

// Ends of connections.
const (
	// InOrder ends the answer, reads the rest of the request and closes the connection.
	InOrder End = iota
	// Unread ends the answer and closes the connection, so that the rest of the request is answered
	// with a reset.
	Unread
	// Reset resets the connection. What the server has not read of the request is still being
	// written then.
	Reset
)

// String implements fmt.Stringer.
func (e End) String() string { return [...]string{"in order", "unread", "reset"}[e] }

// Answer is the answer to one request, which carries the connection's last bytes.
type Answer struct {
	Text string // head and body
	End  End
}

// server answers each request on a connection of its own.
type server struct {
	listener net.Listener
	answer   func(*http.Request) Answer
	open     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start starts a server on a free loopback port until the test ends, and returns its address. The server
// reads the head of a request before its answer, and nothing of a body that does not come with it.
func Start(t testing.TB, answer func(*http.Request) Answer) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, answer: answer, conns: map[net.Conn]bool{}}
	s.open.Add(1)
	go s.accept()
	t.Cleanup(s.close)
	return l.Addr().String()
}

// StartSame is Start for a server that gives the same answer to each request.
func StartSame(t testing.TB, a Answer) (addr string) {
	t.Helper()
	return Start(t, func(*http.Request) Answer { return a })
}

// close ends the server and its connections.
func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
	s.mu.Unlock()
	s.open.Wait()
}

func (s *server) accept() {
	defer s.open.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.keep(c) {
			_ = c.Close()
			return
		}
		s.open.Add(1)
		go func() {
			defer s.open.Done()
			defer s.drop(c)
			s.serve(c.(*net.TCPConn))
		}()
	}
}

func (s *server) keep(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	return true
}

// drop closes a connection, unless close has done so.
func (s *server) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] {
		delete(s.conns, c)
		_ = c.Close()
	}
}

// receiveBufferBytes is little, so that short requests too are still being written when they are
// answered.
const receiveBufferBytes = 4 << 10

func (s *server) serve(c *net.TCPConn) {
	if err := c.SetReadBuffer(receiveBufferBytes); err != nil {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	a := s.answer(r)
	if _, err := io.WriteString(c, a.Text); err != nil {
		return
	}
	switch a.End {
	case InOrder:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case Unread:
		_ = c.CloseWrite() // the end goes out before the reset
	case Reset:
		_ = c.SetLinger(0)
	}
}
