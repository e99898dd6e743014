package codec

import (
	"bytes"
	"testing"
)

// Guards against a small message that unpacks to more than the receiver has room for.
func TestUnpackIsBounded(t *testing.T) {
	packed, err := Pack(make([]byte, 1000))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Unpack(packed, 1000); err != nil || !bytes.Equal(got, make([]byte, 1000)) {
		t.Errorf("within the limit: %d bytes, %v", len(got), err)
	}
	if got, err := Unpack(packed, 999); err == nil {
		t.Errorf("beyond the limit: %d bytes", len(got))
	}
	if _, err := Unpack(packed[:len(packed)/2], 1000); err == nil {
		t.Error("half of it is taken for the whole")
	}
}
