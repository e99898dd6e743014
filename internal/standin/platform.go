package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/inventory"
)

// Platform is a stand-in for the platform's inventory, which lags behind changes. It is
// safe for concurrent use.
type Platform struct {
	URL string

	server *http.Server
	lag    time.Duration
	mu     sync.Mutex
	lists  []timedList // oldest first
}

type timedList struct {
	at   time.Time
	list inventory.List
}

// ServePlatform starts a platform on addr. Its list shows each change after lag.
func ServePlatform(addr string, lag time.Duration) (*Platform, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Platform{URL: "http://" + l.Addr().String(), lag: lag}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Set changes the list. The first list shows at once.
func (p *Platform) Set(list inventory.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, timedList{time.Now(), list})
}

// Close stops the server.
func (p *Platform) Close() { _ = p.server.Close() }

// ServeHTTP implements http.Handler. It serves the list as it was before the lag.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != inventory.Path {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	for len(p.lists) > 1 && time.Since(p.lists[1].at) >= p.lag {
		p.lists = p.lists[1:]
	}
	var list inventory.List
	if len(p.lists) > 0 {
		list = p.lists[0].list
	}
	p.mu.Unlock()
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
