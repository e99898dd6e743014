package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	discoverTimeout = 2 * time.Second
	maxEntryBytes   = 64 << 10
)

// Entry is the system's answer to which addresses a caller should use.
type Entry struct {
	Addresses []string // in order of use
	TTL       time.Duration
	Version   uint64
}

// Discover asks the addresses in turn for the entry of a workspace's key. zone
// and name may be empty; name tells callers on one host apart.
func Discover(ctx context.Context, addrs []string, key, zone, name string) (*Entry, error) {
	failure := errors.New("client: no address to ask")
	for _, addr := range addrs {
		e, err := discoverAt(ctx, addr, key, zone, name)
		if err == nil {
			return e, nil
		}
		failure = err
	}
	return nil, failure
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
	resp, err := http.DefaultTransport.RoundTrip(r)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntryBytes)).Decode(&out); err != nil {
		return nil, fmt.Errorf("client: entry answer: %w", err)
	}
	if len(out.Addresses) == 0 {
		return nil, errors.New("client: entry answer without addresses")
	}
	return &Entry{out.Addresses, time.Duration(out.TTLMS) * time.Millisecond, out.Version}, nil
}

// Locator keeps an entry answer for its time to live. Safe for concurrent use.
type Locator struct {
	known           []string
	key, zone, name string

	mu    sync.Mutex
	entry *Entry
	until time.Time
}

// NewLocator returns a Locator that first asks the known addresses.
func NewLocator(known []string, key, zone, name string) *Locator {
	return &Locator{known: known, key: key, zone: zone, name: name}
}

// Addresses returns the addresses to use now. Where nobody answers, the last
// ones are as good as any: a caller that is refused everywhere asks again.
func (l *Locator) Addresses(ctx context.Context) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entry != nil && time.Now().Before(l.until) {
		return l.entry.Addresses, nil
	}
	ask := l.known
	if l.entry != nil {
		ask = append(append([]string{}, l.entry.Addresses...), l.known...)
	}
	e, err := Discover(ctx, ask, l.key, l.zone, l.name)
	if err != nil {
		if l.entry != nil {
			return l.entry.Addresses, nil
		}
		return nil, err
	}
	l.entry, l.until = e, time.Now().Add(e.TTL)
	return e.Addresses, nil
}
