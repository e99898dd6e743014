package httphead

import "testing"

// Guards against a status that is none and counts as one, and against one of HTTP that does not.
func TestCheckStatus(t *testing.T) {
	for status := -99; status <= 1000; status++ {
		if err := CheckStatus(status); (err == nil) != (status >= 100 && status <= 599) {
			t.Errorf("got %v for status %d", err, status)
		}
	}
}
