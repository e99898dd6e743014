package httphead

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a status that is none and counts as one, and against one of HTTP that does not.
func TestCheckStatus(t *testing.T) {
	for status := -99; status <= 1000; status++ {
		if err := CheckStatus(status); (err == nil) != (status >= 100 && status <= 599) {
			t.Errorf("got %v for status %d", err, status)
		}
	}
}

// Guards against a name that is none and counts as one, and against one of HTTP that does not.
func TestCheckNames(t *testing.T) {
	for c := range 256 {
		isName := c > ' ' && c < 0x7f && !strings.ContainsRune("\"(),/:;<=>?@[\\]{}", rune(c))
		for _, name := range []string{string([]byte{byte(c)}), string([]byte{'A', byte(c)}), string([]byte{byte(c), 'a'})} {
			if err := CheckNames(http.Header{"Date": nil, name: {"x"}}); (err == nil) != isName {
				t.Errorf("got %v for the name %q", err, name)
			}
		}
	}
	if CheckNames(http.Header{"": {"x"}}) == nil {
		t.Error("an empty name passes")
	}
}
