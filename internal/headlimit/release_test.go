package headlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
)

// halfClosable is a pipe whose writing side may be closed, as that of a TCP connection.
type halfClosable struct{ net.Conn }

func (halfClosable) CloseWrite() error { return nil }

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// closesBeforeItsClient sends text to a server, and expects that the server closes the connection, which
// counts without holding anything until the client has left.
func closesBeforeItsClient(t *testing.T, text string) {
	synctest.Test(t, func(t *testing.T) {
		a, l, states := NewAccount(0, 0), make(pipeListener), map[http.ConnState]int{}
		s := &http.Server{
			Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			ConnState: func(_ net.Conn, to http.ConnState) { states[to]++ },
		}
		guarded := a.Guard(s, l, func() int { return 1000 })
		go func() { _ = s.Serve(guarded) }() // it ends with the listener
		defer close(l)
		client, server := net.Pipe()
		l <- halfClosable{server}
		go func() { _, _ = io.Copy(io.Discard, client) }() // the answer; the pipe holds nothing
		_, _ = io.WriteString(client, text)
		synctest.Wait()
		if states[http.StateClosed] != 1 {
			t.Error("the HTTP server keeps the head of a client that stays")
		}
		if u := a.Usage(); u.Bytes != 0 || u.Connections != 1 {
			t.Errorf("got usage %+v, want a connection that holds nothing until it is closed", u)
		}
		_ = client.Close()
		synctest.Wait()
		if n := a.Usage().Connections; n != 0 {
			t.Errorf("%d connections count after the client has left", n)
		}
	})
}

// Guards against the parsed lines of a refused head that stay in memory, uncounted, while its client goes
// on sending.
func TestRefusedHeadIsFreedBeforeItsClientLeaves(t *testing.T) {
	closesBeforeItsClient(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 2000))
}

// Guards against connections that do not count while the rest of a request behind the last one is read.
func TestConnectionCountsUntilItIsClosed(t *testing.T) {
	closesBeforeItsClient(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\n")
}
