package peer

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// FuzzFrame guards against frames from a faulty or hostile sender that cause a panic or
// allocate far more memory than their size.
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
			t.Fatalf("got error %v while encoding a decoded frame", err)
		}
		var second frame
		if err := codec.Unmarshal(again, &second); err != nil || second.Kind != fr.Kind || second.Call != fr.Call {
			t.Fatalf("decoded frame %+v differs after a round trip: %+v, error %v", fr, second, err)
		}
	})
}
