package peer

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// A frame from a broken or hostile sender is refused or decoded, without a panic
// and without building more than the frame holds.
func FuzzFrame(f *testing.F) {
	good, _ := codec.Marshal(&frame{Kind: KindJournal, Call: 1, Body: []byte{0xa0}})
	f.Add(good)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var fr frame
		if err := codec.Unmarshal(data, &fr); err != nil {
			return
		}
		again, err := codec.Marshal(&fr)
		if err != nil {
			t.Fatalf("a decoded frame can't be encoded: %v", err)
		}
		var second frame
		if err := codec.Unmarshal(again, &second); err != nil || second.Kind != fr.Kind || second.Call != fr.Call {
			t.Fatalf("round trip: %+v, %+v, %v", fr, second, err)
		}
	})
}
