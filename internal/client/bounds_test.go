package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a caller whose memory grows with what an address sends.
func TestResponsesAreBounded(t *testing.T) {
	padding := strings.Repeat(" ", 1<<20)
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    string // in the error; empty: none
	}{
		{"usual", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, ""},
		{"refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusForbidden)
			fmt.Fprint(w, `{"code":1005,"message":"no key"}`)
		}, "no key"},
		{"far too large a refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusForbidden)
			fmt.Fprint(w, padding, `{"code":1005,"message":"no key"}`)
		}, "status 403 without a result code"},
		{"far too large a head", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Padding", strings.Repeat("a", 1<<20)) }, "exceeded"},
		{"far too large a body", func(w http.ResponseWriter, _ *http.Request) {
			for range maxCallBodyBytes>>20 + 1 {
				fmt.Fprint(w, padding)
			}
		}, "exceeds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(tt.handler)
			defer s.Close()
			c := New([]string{strings.TrimPrefix(s.URL, "http://")}, "key")
			_, err := c.callOnce(t.Context(), http.MethodGet, strings.TrimPrefix(s.URL, "http://"), "/", "k")
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want %q", err, tt.want)
			}
		})
	}
}

// Guards against a response to an operator that is collected without a bound.
func TestDecodeIsBounded(t *testing.T) {
	var out json.RawMessage
	if err := decode(strings.NewReader(`"12345678"`), 10, &out); err != nil || string(out) != `"12345678"` {
		t.Errorf("got %s, error %v; want the value within the bound", out, err)
	}
	if err := decode(strings.NewReader(`"123456789"`), 10, &out); err == nil {
		t.Error("got no error from a value over the bound")
	}
}
