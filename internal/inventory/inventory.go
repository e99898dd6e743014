// Package inventory polls the platform's list of VMs and backend servers, a JSON document at
// GET /v1/inventory. The list lags behind the actual state by seconds. It is one input among
// others and never the only evidence that a VM or backend server is gone.
package inventory

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Path is the HTTP path of the platform's list.
const Path = "/v1/inventory"

// Intervals and size limits of the reader.
const (
	pollInterval = 1 * time.Second
	readTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
	maxHeadBytes = 64 << 10
)

// VM is one VM in the platform's list.
type VM struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Peer     string `json:"peer"`    // ip:port for other VMs
	Endpoint string `json:"callers"` // ip:port for callers
	Leaving  bool   `json:"leaving"`
}

// Backend is one backend server in the platform's list. For a server that the settings define,
// only Name and Leaving are needed.
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

// List is the platform's list of VMs and backend servers.
type List struct {
	VMs      []VM      `json:"vms"`
	Backends []Backend `json:"backends"`
}

// Reader polls the list and keeps the latest one. It is safe for concurrent use.
type Reader struct {
	url  string
	log  zerolog.Logger
	http *http.Client

	mu     sync.Mutex
	list   List
	etag   string
	readAt time.Time
}

// NewReader returns a Reader of the platform's list at a base URL. With an empty URL there is
// never a list.
func NewReader(url string, log zerolog.Logger) *Reader {
	return &Reader{url: url, log: log, http: &http.Client{
		Timeout:   readTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: readTimeout}).DialContext, MaxResponseHeaderBytes: maxHeadBytes},
	}}
}

// Run polls the list until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	if r.url == "" {
		return
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("platform list could not be read; keeping the last one")
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
	// The platform may answer 304 if the list has not changed. Without this, 330 VMs that
	// read a list of a thousand rows each second would cause the largest part of all
	// control traffic.
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
		r.readAt = time.Now()
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("inventory: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	list, skipped, err := decode(body)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	if skipped > 0 {
		r.log.Warn().Int("skipped", skipped).Msg("platform list has rows that cannot be used")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.etag, r.readAt = list, resp.Header.Get("ETag"), time.Now()
	return nil
}

// List returns the latest list and the time since the platform last confirmed it. ok is false
// until a list has been read. The caller must not modify the list.
func (r *Reader) List() (list List, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, time.Since(r.readAt), !r.readAt.IsZero()
}

// VM returns a VM by its ID, or false if the latest list does not name it.
func (r *Reader) VM(id string) (VM, bool) {
	list, _, _ := r.List()
	for _, vm := range list.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}

// IsListed reports whether the latest list names a VM. known is false if the list is older than
// ten polls or none has been read; listed then means nothing.
func (r *Reader) IsListed(id string) (listed, known bool) {
	_, age, ok := r.List()
	if !ok || age > 10*pollInterval {
		return false, false
	}
	_, listed = r.VM(id)
	return listed, true
}
