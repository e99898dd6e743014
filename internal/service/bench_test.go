package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/service"
)

// BenchmarkRelay sends idempotent calls over kept connections.
func BenchmarkRelay(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"votes":7}`))
	}))
	defer server.Close()
	c, addr := service.NewClient(), strings.TrimPrefix(server.URL, "http://")
	for b.Loop() {
		a, err := c.Relay(b.Context(), addr, &service.Request{Method: http.MethodGet, Path: "/tally", Header: http.Header{}})
		if err != nil || a.Status != http.StatusOK {
			b.Fatal(a, err)
		}
	}
}
