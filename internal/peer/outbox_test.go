package peer

import (
	"bytes"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// encodedFrame is a frame of a kind with so many bytes of content.
func encodedFrame(t *testing.T, kind Kind, size int) []byte {
	t.Helper()
	body, err := codec.Marshal(bytes.Repeat([]byte{byte(kind)}, size))
	if err != nil {
		t.Fatal(err)
	}
	data, err := codec.Marshal(&frame{Kind: kind, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a heartbeat that waits behind a large frame.
func TestControlFrameOvertakesALargeOne(t *testing.T) {
	for _, large := range []Kind{KindJournal, KindExplain} {
		o, in := newOutbox(), inbox{}
		var order []Kind
		o.put(large, encodedFrame(t, large, 10*fragmentBytes))
		for written := 0; len(order) < 2 && written < 20; written++ {
			data, ok, err := o.next(nil, nil)
			if !ok || err != nil {
				t.Fatal(ok, err)
			}
			if len(data) > 2*fragmentBytes {
				t.Errorf("%d bytes leave at once", len(data))
			}
			var f frame
			if err := codec.Unmarshal(data, &f); err != nil {
				t.Fatal(err)
			}
			whole := f.Kind != kindFragment
			if !whole {
				if f, whole, err = in.take(f.Body); err != nil {
					t.Fatal(err)
				}
			}
			if whole {
				order = append(order, f.Kind)
			}
			if written == 0 {
				o.put(KindRaft, encodedFrame(t, KindRaft, 100))
			}
		}
		if len(order) != 2 || order[0] != KindRaft || order[1] != large {
			t.Errorf("frames come as %v, want the heartbeat before kind %d", order, large)
		}
	}
}

// Guards against large frames whose fragments mix, and against one that is held up by
// tokens for ever.
func TestLargeFramesAreReassembled(t *testing.T) {
	o, in := newOutbox(), inbox{}
	sizes := []int{fragmentBytes + 1, 5 * fragmentBytes, 100 * fragmentBytes}
	for _, size := range sizes {
		o.put(KindJournal, encodedFrame(t, KindJournal, size))
	}
	var got []int
	for range 1000 {
		o.put(KindFollow, encodedFrame(t, KindFollow, 10))
		data, _, err := o.next(nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		var f frame
		if err := codec.Unmarshal(data, &f); err != nil {
			t.Fatal(err)
		}
		if f.Kind != kindFragment {
			continue
		}
		f, whole, err := in.take(f.Body)
		if err != nil {
			t.Fatal(err)
		}
		if whole {
			var body []byte
			if err := codec.Unmarshal(f.Body, &body); err != nil || f.Kind != KindJournal {
				t.Fatal(f.Kind, err)
			}
			got = append(got, len(body))
		}
	}
	if len(got) != len(sizes) || got[0] != sizes[0] || got[1] != sizes[1] || got[2] != sizes[2] {
		t.Errorf("frames of %v bytes, want %v", got, sizes)
	}
}

// Guards against a VM that sends fragments without end.
func TestFragmentsAreBounded(t *testing.T) {
	var in inbox
	body, err := codec.Marshal(&fragment{Data: make([]byte, maxFrameBytes/4+1), More: true})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if _, _, err := in.take(body); (err != nil) != (i >= 3) {
			t.Errorf("fragment %d: %v", i, err)
		}
	}
}
