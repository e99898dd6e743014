package admission

import "testing"

func TestInFlight(t *testing.T) {
	f := NewInFlight(3, 100)
	leave, ok := f.Enter(90)
	if !ok {
		t.Fatal("the first request was refused, want it accepted")
	}
	if _, ok := f.Enter(20); ok {
		t.Error("a body beyond the byte limit was accepted, want it refused")
	}
	for range 2 {
		if _, ok := f.Enter(0); !ok {
			t.Error("a request within the limits was refused: a refused one still counts")
		}
	}
	if _, ok := f.Enter(0); ok {
		t.Error("a request beyond the count limit was accepted, want it refused")
	}
	leave()
	if _, ok := f.Enter(50); !ok {
		t.Error("the room of a released request was not reused")
	}
}
