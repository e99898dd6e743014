package codec

import (
	"bytes"
	"testing"
)

// Guards against a small message that decompresses to more data than the receiver has
// memory for.
func TestUnpackIsBounded(t *testing.T) {
	packed, err := Pack(make([]byte, 1000))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Unpack(packed, 1000); err != nil || !bytes.Equal(got, make([]byte, 1000)) {
		t.Errorf("within the limit: got %d bytes and error %v, want 1000 zero bytes", len(got), err)
	}
	if got, err := Unpack(packed, 999); err == nil {
		t.Errorf("beyond the limit: got %d bytes, want an error", len(got))
	}
	if _, err := Unpack(packed[:len(packed)/2], 1000); err == nil {
		t.Error("truncated data was accepted, want an error")
	}
}
