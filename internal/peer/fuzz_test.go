package peer

import (
	"bytes"
	"testing"
)

// FuzzFrame checks that bytes from another VM never make the decoder panic, and
// that what it accepts survives a round trip.
func FuzzFrame(f *testing.F) {
	seed, err := Marshal(&frame{Kind: KindJournal, Call: 7, Body: []byte{0xa0}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x9f})
	f.Add(bytes.Repeat([]byte{0x81}, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		var in frame
		if err := Unmarshal(data, &in); err != nil {
			return
		}
		again, err := Marshal(&in)
		if err != nil {
			t.Fatalf("%x: accepted but not encodable: %v", data, err)
		}
		var out frame
		if err := Unmarshal(again, &out); err != nil {
			t.Fatalf("%x: round trip: %v", data, err)
		}
		if out.Kind != in.Kind || out.Call != in.Call || out.Reply != in.Reply || !bytes.Equal(out.Body, in.Body) {
			t.Errorf("%x: %+v became %+v", data, in, out)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	body := bytes.Repeat([]byte{0x01}, 256)
	body[0] = 0x58
	body[1] = 254
	data, err := Marshal(&frame{Kind: KindJournal, Call: 7, Body: body})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var f frame
		if err := Unmarshal(data, &f); err != nil {
			b.Fatal(err)
		}
		if _, err := Marshal(&f); err != nil {
			b.Fatal(err)
		}
	}
}
