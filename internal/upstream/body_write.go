package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// bodyWrite is the write of a request's body that runs beside the response.
type bodyWrite struct {
	conn net.Conn
	done chan struct{} // closed when err is set
	err  error
}

func startBodyWrite(conn net.Conn, body []byte) *bodyWrite {
	w := &bodyWrite{conn: conn, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, w.err = conn.Write(body)
	}()
	return w
}

// isWritten reports whether the whole body was written by now.
func (w *bodyWrite) isWritten() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// stop ends the write, and returns the error with which the connection broke; nil: it did not.
func (w *bodyWrite) stop() error {
	_ = w.conn.SetWriteDeadline(time.Now()) // the server may never read the rest
	<-w.done
	// The write fails with EPIPE if the server ended its side before the reset.
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) {
		return nil
	}
	return w.err
}

// connReader reads from a connection.
type connReader struct{ c *Conn }

// Read implements io.Reader. The kernel reports a reset once, to the read or the write that asks first,
// and the other one finds the regular end. It is the end only if the write has not met a reset.
func (r connReader) Read(p []byte) (int, error) {
	n, err := r.c.raw.Read(p)
	r.c.ended = err != nil
	if errors.Is(err, io.EOF) && r.c.upload != nil {
		if broke := r.c.upload.stop(); broke != nil {
			err = broke
		}
	}
	return n, err
}
