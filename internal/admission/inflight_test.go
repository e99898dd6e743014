package admission

import "testing"

func TestInFlight(t *testing.T) {
	f := NewInFlight(3, 100)
	leave, ok := f.Enter(90)
	if !ok {
		t.Fatal("the first was refused")
	}
	if _, ok := f.Enter(20); ok {
		t.Error("bodies beyond the bytes were taken")
	}
	for range 2 {
		if _, ok := f.Enter(0); !ok {
			t.Error("refused within the bounds: what was refused before still counts")
		}
	}
	if _, ok := f.Enter(0); ok {
		t.Error("more than the count were taken")
	}
	leave()
	if _, ok := f.Enter(50); !ok {
		t.Error("the place of one that has left was not given again")
	}
}
