package peer

import (
	"bytes"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// encodedFrame returns an encoded frame with a body of size bytes.
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

// Guards against a heartbeat that waits for all fragments of a large frame.
func TestControlFrameOvertakesALargeOne(t *testing.T) {
	for _, large := range []Kind{KindJournal, KindExplain} {
		q, in := newSendQueue(), reassembler{}
		var order []Kind
		q.enqueue(large, encodedFrame(t, large, 10*maxFragmentBytes))
		for written := 0; len(order) < 2 && written < 20; written++ {
			data, ok, err := q.next(nil, nil)
			if !ok || err != nil {
				t.Fatal(ok, err)
			}
			if len(data) > 2*maxFragmentBytes {
				t.Errorf("got a frame of %d bytes, want at most 2*maxFragmentBytes", len(data))
			}
			var f frame
			if err := codec.Unmarshal(data, &f); err != nil {
				t.Fatal(err)
			}
			complete := f.Kind != kindFragment
			if !complete {
				if f, complete, err = in.add(f.Body); err != nil {
					t.Fatal(err)
				}
			}
			if complete {
				order = append(order, f.Kind)
			}
			if written == 0 {
				q.enqueue(KindRaft, encodedFrame(t, KindRaft, 100))
			}
		}
		if len(order) != 2 || order[0] != KindRaft || order[1] != large {
			t.Errorf("got frames of kinds %v, want the heartbeat before kind %d", order, large)
		}
	}
}

// Guards against interleaved fragments of several large frames, and against large frames
// that starve behind a constant load of token frames.
func TestLargeFramesAreReassembled(t *testing.T) {
	q, in := newSendQueue(), reassembler{}
	sizes := []int{maxFragmentBytes + 1, 5 * maxFragmentBytes, 100 * maxFragmentBytes}
	for _, size := range sizes {
		q.enqueue(KindJournal, encodedFrame(t, KindJournal, size))
	}
	var got []int
	for range 1000 {
		q.enqueue(KindFollow, encodedFrame(t, KindFollow, 10))
		data, _, err := q.next(nil, nil)
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
		f, complete, err := in.add(f.Body)
		if err != nil {
			t.Fatal(err)
		}
		if complete {
			var body []byte
			if err := codec.Unmarshal(f.Body, &body); err != nil || f.Kind != KindJournal {
				t.Fatal(f.Kind, err)
			}
			got = append(got, len(body))
		}
	}
	if len(got) != len(sizes) || got[0] != sizes[0] || got[1] != sizes[1] || got[2] != sizes[2] {
		t.Errorf("got frames of %v bytes, want %v", got, sizes)
	}
}

// Guards against unbounded memory for a VM that never sends the last fragment.
func TestFragmentsAreBounded(t *testing.T) {
	var in reassembler
	body, err := codec.Marshal(&fragment{Data: make([]byte, maxFrameBytes/4+1), More: true})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if _, _, err := in.add(body); (err != nil) != (i >= 3) {
			t.Errorf("fragment %d: got error %v, want one from fragment 3 on", i, err)
		}
	}
}
