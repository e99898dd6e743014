package readlimit

import (
	"io"
	"strings"
	"testing"
)

// Guards against a bound that lets more through, is used up by an earlier message, or cuts what
// follows the head.
func TestReader(t *testing.T) {
	l := New(strings.NewReader(strings.Repeat("a", 100)))
	for range 2 {
		l.Start(10)
		if n, err := io.Copy(io.Discard, l); n != 10 || err == nil {
			t.Errorf("read %d bytes, error %v, want 10 bytes and an error", n, err)
		}
	}
	l.Stop()
	if n, err := io.Copy(io.Discard, l); n != 80 || err != nil {
		t.Errorf("read %d bytes behind the head, error %v, want all 80", n, err)
	}
}

// Guards against a head of very many short lines, which takes far more memory parsed than it has
// bytes, and against lines of the body that count.
func TestLines(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 8)
	for _, tt := range []struct {
		name, text string
		whole      bool
	}{
		{"few lines", head + "\r\n", true},
		{"a body of many lines", head + "\r\n" + strings.Repeat("\n", 50), true},
		{"line ends without a carriage return", "a:\n\n" + strings.Repeat("\n", 50), true},
		{"many lines", head + head, false},
	} {
		for _, size := range []int{1, 3, 4096} {
			l := New(strings.NewReader(tt.text))
			l.Start(4096)
			l.LimitLines(10) // the empty line included
			n, err := io.CopyBuffer(io.Discard, struct{ io.Reader }{l}, make([]byte, size))
			if whole := n == int64(len(tt.text)) && err == nil; whole != tt.whole {
				t.Errorf("%s, %d bytes at a time: read %d of %d bytes, error %v", tt.name, size, n, len(tt.text), err)
			}
		}
	}
}
