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
