package gateway

import "testing"

// Whatever a caller sends as Last-Event-ID is refused or read back as it was.
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
			t.Fatalf("%q: %+v, then %+v, %v", s, id, again, err)
		}
	})
}
