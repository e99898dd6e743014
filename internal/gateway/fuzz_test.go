package gateway

import "testing"

// A caller may send any bytes as Last-Event-ID. They are refused, or parsed into an id whose
// wire form parses into the same id.
func FuzzParseEventID(f *testing.F) {
	f.Add("diag-1/3/00000000000000ff")
	f.Add("a/99999999999999999999/0123456789abcdef")
	f.Add("a/-1/0123456789abcdef/")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseEventID(s)
		if err != nil {
			return
		}
		again, err := ParseEventID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q: parsed as %+v, want the same from its wire form, got %+v, %v", s, id, again, err)
		}
	})
}
