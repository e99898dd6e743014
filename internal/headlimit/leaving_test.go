package headlimit

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// sender is a client's connection that always has the same bytes to read.
type sender struct {
	net.Conn
	text []byte
}

func (s sender) Read(p []byte) (int, error)  { return copy(p, s.text), nil }
func (s sender) Write(p []byte) (int, error) { return len(p), nil }
func (s sender) Close() error                { return nil }
func (s sender) SetDeadline(time.Time) error { return nil }

// senders returns connections of one account, each of which reads lines of heads without end.
func senders(a *Account, n int) []*conn {
	conns := newConns(a, n)
	for _, c := range conns {
		c.Conn, c.maxHead = sender{text: bytes.Repeat([]byte("a:\r\n"), 100)}, func() int { return 1 << 20 }
	}
	return conns
}

func read(c *conn) error {
	_, err := c.Read(make([]byte, 400))
	return err
}

// Guards against heads that are read into memory which a connection that gave way has not freed yet.
func TestReadsWaitForTheMemoryOfThoseThatGaveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAccount(1_100_000, 0) // 110,000 bytes of heads, four reads
		c := senders(a, 3)
		for range 4 {
			if err := read(c[0]); err != nil {
				t.Fatal(err)
			}
		}
		var errs [2]error
		var done [2]bool
		for i := range done {
			go func() {
				errs[i] = read(c[i+1])
				done[i] = true
			}()
		}
		synctest.Wait()
		if u := a.Usage(); u.Closed != 1 || done[0] || done[1] {
			t.Fatalf("got usage %+v and reads that have ended %v, want one connection that gives way and reads that wait", u, done)
		}
		if n, err := ordinary(a).Read(make([]byte, 400)); n == 0 || err != nil {
			t.Errorf("got %d bytes, error %v of an ordinary head, want it without a wait", n, err)
		}
		_ = c[0].Close()
		c[0].onState(http.StateClosed)
		synctest.Wait()
		if !done[0] || !done[1] || errors.Join(errs[:]...) != nil {
			t.Errorf("reads have ended: %v, errors %v, once the memory is free", done, errs)
		}
		if u := a.Usage(); u.Closed != 1 {
			t.Errorf("got usage %+v, want no other connection that gives way", u)
		}
	})
}

// ordinary returns a connection that reads a head as ordinary clients send it.
func ordinary(a *Account) *conn {
	c := senders(a, 1)[0]
	c.Conn = sender{text: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}
	return c
}

// Guards against bytes of a connection that gave way which the HTTP server still parses: they count no more.
func TestConnectionThatGaveWayReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAccount(200_000, 0) // 20,000 bytes of heads, one read
		c := senders(a, 3)
		if err := read(c[0]); err != nil {
			t.Fatal(err)
		}
		if err := read(c[0]); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v of the read that makes the connection give way, want %v", err, net.ErrClosed)
		}
		var waited error
		var wg sync.WaitGroup
		wg.Go(func() { waited = read(c[1]) })
		synctest.Wait()
		err := read(c[2])
		wg.Wait()
		if !errors.Is(err, net.ErrClosed) && !errors.Is(waited, net.ErrClosed) {
			t.Errorf("got %v and %v of two reads for one of which there is room, want %v", err, waited, net.ErrClosed)
		}
	})
}

// Guards against reads that wait forever for a request which does not end.
func TestReadsDoNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAccount(200_000, 0) // 20,000 bytes of heads, one read
		c := senders(a, 2)
		if err := read(c[0]); err != nil {
			t.Fatal(err)
		}
		_ = read(c[0]) // it gives way
		began := time.Now()
		if err := read(c[1]); err != nil || time.Since(began) != roomTimeout {
			t.Errorf("got %v after %v, want the bytes after %v", err, time.Since(began), roomTimeout)
		}
	})
}
