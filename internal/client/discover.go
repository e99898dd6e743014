package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	discoverTimeout = 2 * time.Second
	maxEntryBytes   = 64 << 10
)

// discovery is shared by all callers of a process.
var discovery = newTransport(1)

// Entry is a response of the discovery endpoint: the addresses that a caller should use.
type Entry struct {
	Addresses []string      // ip:port, in order of preference
	TTL       time.Duration // how long the caller may use the addresses
	Version   uint64
}

// Discover requests the entry for a workspace key from the addresses in turn and returns the
// first one. If all fail, it returns the last error. zone and name may be empty; name
// distinguishes callers on the same host.
func Discover(ctx context.Context, addrs []string, key, zone, name string) (*Entry, error) {
	lastErr := errors.New("client: no address to discover from")
	for _, addr := range addrs {
		e, err := discoverAt(ctx, addr, key, zone, name)
		if err == nil {
			return e, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func discoverAt(ctx context.Context, addr, key, zone, name string) (*Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	q := url.Values{}
	if zone != "" {
		q.Set("zone", zone)
	}
	if name != "" {
		q.Set("caller", name)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entry?"+q.Encode(), http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := discovery.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, decodeError(resp)
	}
	var out struct {
		Addresses []string `json:"addresses"`
		TTLMS     int64    `json:"ttl_ms"`
		Version   uint64   `json:"version"`
	}
	if err := decode(resp.Body, maxEntryBytes, &out); err != nil {
		return nil, fmt.Errorf("client: entry response could not be decoded: %w", err)
	}
	if len(out.Addresses) == 0 {
		return nil, errors.New("client: entry response without addresses")
	}
	return &Entry{out.Addresses, time.Duration(out.TTLMS) * time.Millisecond, out.Version}, nil
}

// Locator caches an Entry for its TTL. It is safe for concurrent use.
type Locator struct {
	seeds           []string
	key, zone, name string

	mu      sync.Mutex
	entry   *Entry
	expires time.Time
}

// NewLocator returns a Locator that sends its first request to the seed addresses. The other
// arguments are those of Discover.
func NewLocator(seeds []string, key, zone, name string) *Locator {
	return &Locator{seeds: seeds, key: key, zone: zone, name: name}
}

// Addresses returns the addresses to use now, and refreshes the entry if it has expired. If no
// address answers, it returns the addresses of the expired entry, since they may still work.
func (l *Locator) Addresses(ctx context.Context) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entry != nil && time.Now().Before(l.expires) {
		return l.entry.Addresses, nil
	}
	candidates := l.seeds
	if l.entry != nil {
		candidates = append(append([]string{}, l.entry.Addresses...), l.seeds...)
	}
	e, err := Discover(ctx, candidates, l.key, l.zone, l.name)
	if err != nil {
		if l.entry != nil {
			return l.entry.Addresses, nil
		}
		return nil, err
	}
	l.entry, l.expires = e, time.Now().Add(e.TTL)
	return e.Addresses, nil
}
