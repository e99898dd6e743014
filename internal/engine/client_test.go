package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against memory that grows with what a faulty engine sends.
func TestResponsesAreBounded(t *testing.T) {
	tests := []struct {
		name               string
		headBytes, padding int
		ok                 bool
	}{
		{"usual", 0, 0, true},
		{"long", 32 << 10, 1 << 20, true},
		{"far too large a head", 1 << 20, 0, false},
		{"far too large a body", 0, maxResponseBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Padding", strings.Repeat("a", tt.headBytes))
				fmt.Fprint(w, strings.Repeat(" ", tt.padding), "{}")
			}))
			defer s.Close()
			var out struct{}
			err := NewClient().do(context.Background(), http.MethodGet, strings.TrimPrefix(s.URL, "http://"), "/", nil, &out)
			if (err == nil) != tt.ok {
				t.Errorf("got error %v, want success: %t", err, tt.ok)
			}
		})
	}
}

// Guards against an event without an end, which would be collected until memory runs out.
func TestEndlessEvent(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "data: ", strings.Repeat("a", 8<<20))
	}))
	defer s.Close()
	err := NewClient().Attach(context.Background(), strings.TrimPrefix(s.URL, "http://"), "a", 0, func(Event) error { return nil })
	if err == nil {
		t.Error("got no error from an event without an end")
	}
}
