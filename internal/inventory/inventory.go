// Package inventory reads the platform's list of VMs and backend servers: HTTP
// with JSON, GET /v1/inventory. The list lags behind the truth by seconds and is
// an input among others, never the only proof that something is gone.
package inventory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Path is where the platform serves its list.
const Path = "/v1/inventory"

// Timings and sizes of the reader.
const (
	readEvery    = 1 * time.Second
	readTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// VM is one VM in the platform's list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`    // ip:port
	Callers string `json:"callers"` // ip:port
	Leaving bool   `json:"leaving"`
}

// Backend is one backend server in the platform's list. One that the settings
// name needs its name and Leaving only.
type Backend struct {
	Name    string   `json:"name"`
	Leaving bool     `json:"leaving"`
	Kind    string   `json:"kind,omitempty"`    // "engine" or "service"
	Address string   `json:"address,omitempty"` // ip:port
	Zone    string   `json:"zone,omitempty"`
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	Fences  bool     `json:"fences,omitempty"`
}

// List is the platform's list.
type List struct {
	VMs      []VM      `json:"vms"`
	Backends []Backend `json:"backends"`
}

// Reader keeps the latest list. Safe for concurrent use.
type Reader struct {
	url  string
	log  zerolog.Logger
	http *http.Client

	mu   sync.Mutex
	list List
	etag string
	at   time.Time
}

// NewReader returns a Reader of the platform at a base URL; an empty URL has no
// list.
func NewReader(url string, log zerolog.Logger) *Reader {
	return &Reader{url: url, log: log, http: &http.Client{
		Timeout:   readTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: readTimeout}).DialContext},
	}}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	if r.url == "" {
		return
	}
	tick := time.NewTicker(readEvery)
	defer tick.Stop()
	for {
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("platform list")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reader) read(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+Path, http.NoBody)
	if err != nil {
		return err
	}
	// Unchanged lists are not sent again where the platform supports it: 330 VMs
	// that read a list of a thousand rows each second would be the largest part
	// of all control traffic.
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.at = time.Now()
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("inventory: status %d", resp.StatusCode)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.etag, r.at = list, resp.Header.Get("ETag"), time.Now()
	return nil
}

// List returns the latest list and its age. ok is false before the first.
func (r *Reader) List() (list List, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, time.Since(r.at), !r.at.IsZero()
}

// VM returns a VM of the latest list.
func (r *Reader) VM(id string) (VM, bool) {
	list, _, _ := r.List()
	for _, vm := range list.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}

// Lists reports whether the latest list is recent and names a VM; known is false
// where there is no recent list, and nothing can be said.
func (r *Reader) IsListed(id string) (listed, known bool) {
	_, age, ok := r.List()
	if !ok || age > 10*readEvery {
		return false, false
	}
	_, listed = r.VM(id)
	return listed, true
}
