package inventory

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against memory that grows with what the platform sends.
func TestResponsesAreBounded(t *testing.T) {
	tests := []struct {
		name               string
		headBytes, padding int
		ok                 bool
	}{
		{"usual", 0, 0, true},
		{"long", 32 << 10, 1 << 20, true},
		{"far too large a head", 1 << 20, 0, false},
		{"far too large a list", 0, maxListBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Padding", strings.Repeat("a", tt.headBytes))
				fmt.Fprint(w, strings.Repeat(" ", tt.padding), "{}")
			}))
			defer s.Close()
			if err := NewReader(s.URL, zerolog.Nop()).read(t.Context()); (err == nil) != tt.ok {
				t.Errorf("got error %v, want success: %t", err, tt.ok)
			}
		})
	}
}
