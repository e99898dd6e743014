package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in for the platform: the list of engines.
type platform struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	entries []any
}

func startPlatform(_ *record) (*platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: l.Addr().String()}
	p.server = &http.Server{Handler: http.HandlerFunc(p.list), ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// set replaces the entries of the list.
func (p *platform) set(entries []any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.entries, "next_token": nil})
}

func (p *platform) close() { _ = p.server.Close() }
