package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
)

// Answers to an upload that is still being written.
const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nConnection: close\r\n\r\n"
	framedHead   = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 16\r\n\r\n"
	unframedBody = "the whole answer"
	uploadBytes  = 8 << 20 // more than the sockets hold
	uploadTries  = 40
)

// upload sends a request and reads the complete response.
func upload(t testing.TB, p *Pool, addr string, body []byte) (string, error) {
	t.Helper()
	c, err := p.Get(t.Context(), "i1", addr, true)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Send(&Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body}); err != nil {
		return "", err
	}
	resp, err := c.ReadHead(http.MethodPost)
	if err != nil {
		return "", err
	}
	got, err := ReadBody(resp, 1<<20)
	return string(got), err
}

// Guards against a part of an answer that passes for the whole, since the write of the request has
// taken the error of the reset, and against a whole one that is lost since it ended before the request.
func TestAnswersThatEndDuringAnUpload(t *testing.T) {
	p := NewPool()
	for _, end := range []rawserver.End{rawserver.InOrder, rawserver.Unread, rawserver.Reset} {
		for _, framing := range []string{unframedHead, framedHead} {
			for _, size := range []int{20 << 10, 300 << 10, uploadBytes} {
				t.Run(fmt.Sprintf("%s, framed %t, %d bytes", end, framing == framedHead, size), func(t *testing.T) {
					addr := rawserver.StartSame(t, rawserver.Answer{Text: framing + unframedBody, End: end})
					body, whole := make([]byte, size), 0
					for range uploadTries {
						if got, err := upload(t, p, addr, body); err == nil && got == unframedBody {
							whole++
						}
					}
					want := uploadTries
					if end == rawserver.Reset && framing == unframedHead {
						want = 0
					}
					if whole != want {
						t.Errorf("%d of %d answers passed for whole ones, want %d", whole, uploadTries, want)
					}
				})
			}
		}
	}
}

// uploadConn is a connection whose server has ended its side. Its write is blocked, and fails once
// its deadline has passed.
type uploadConn struct {
	net.Conn
	text    io.Reader
	stopped chan struct{}
	failure error // of the write
}

func (c *uploadConn) Read(p []byte) (int, error) { return c.text.Read(p) }

func (c *uploadConn) Write([]byte) (int, error) {
	<-c.stopped
	return 0, c.failure
}

func (c *uploadConn) SetWriteDeadline(time.Time) error {
	close(c.stopped)
	return nil
}

// Guards against a reset that the write has met and not yet told when the read finds the end.
func TestEndOfAnAnswerWaitsForTheWrite(t *testing.T) {
	for failure, isEnd := range map[error]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EPIPE: true, os.ErrDeadlineExceeded: true,
	} {
		raw := &uploadConn{text: strings.NewReader(unframedHead + unframedBody), stopped: make(chan struct{}), failure: &net.OpError{Op: "write", Err: failure}}
		c := newConn(raw, "i1")
		c.upload = startBodyWrite(raw, nil)
		resp, err := c.ReadHead(http.MethodPost)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := ReadBody(resp, 100); (err == nil) != isEnd {
			t.Errorf("got %q, error %v, beside a write that fails with %v; want no error: %t", body, err, failure, isEnd)
		}
	}
}
