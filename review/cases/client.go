package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// httpClient opens a connection for each request and follows no redirects.
func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// Names of the deployment's route list.
const (
	hostName   = "shelf.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
)

// Kinds of requests, by path.
const (
	pathSummary = "/summary/"
	pathBook    = "/book/"
	pathLookup  = "/lookup/"
)

// Services of the deployment.
const (
	serviceModel    = "diag-model"
	serviceDispatch = "dispatch-app"
	serviceLookup   = "lookup-app"
)

// configuration returns a configuration as an operator sends it.
func configuration(version int) []byte {
	route := func(name, path, kind, service string, timeoutMS, targetMS int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, names.Prefix: path, names.Kind: kind, "timeout_ms": timeoutMS, "latency_target_ms": targetMS,
			"priority": 1, "service": service, "max_attempts": 1, "public": false,
		}
	}
	summary := route("summary", pathSummary, "streaming", serviceModel, 25000, 4500)
	summary["resumable"], summary["sticky"], summary["itl_target_ms"], summary["max_attempts"] = true, true, 700, 5
	lookup := route("lookup", pathLookup, "idempotent", serviceLookup, 1500, 300)
	lookup["max_attempts"] = 2
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{summary, route("book", pathBook, "non_idempotent", serviceDispatch, 1500, 300), lookup},
		"services": []any{
			map[string]any{"name": serviceModel, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 88000, "kv_token_bytes": 18432, "link_mbps": 280000.0, "moves": false, "backups": false,
				"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": serviceDispatch, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": serviceLookup, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, names.Keys: []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err) // cannot happen: maps of strings and numbers always encode
	}
	return text
}

// put sends a configuration to one machine and returns the status; 0: no answer.
func (m *machine) put(text []byte) int {
	req, err := http.NewRequest(http.MethodPut, "http://"+m.control()+names.Config, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient(time.Second).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// putAnywhere sends a configuration to the machines in turn until one acknowledges it, at most for
// a time.
func (s *system) putAnywhere(version int, to []*machine, within time.Duration) bool {
	text := configuration(version)
	s.rec.note("the operator sends configuration %d", version)
	for until, i := time.Now().Add(within), 0; time.Now().Before(until); i++ {
		m := to[i%len(to)]
		status := m.put(text)
		if status == http.StatusOK {
			s.rec.note("%s acknowledges configuration %d", m, version)
			return true
		}
		if i < 6 {
			s.rec.note("%s answers configuration %d with %s", m, version, statusText(status))
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.rec.note("configuration %d is not acknowledged within %v", version, within)
	return false
}

func statusText(status int) string {
	if status == 0 {
		return "nothing"
	}
	return strconv.Itoa(status)
}

// readBack reads the configuration from one machine. It returns the version if the answer is 200.
func (m *machine) readBack() (version, status int) {
	resp, err := httpClient(time.Second).Get("http://" + m.control() + names.Config)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0
	}
	var c struct {
		Version int `json:"version"`
	}
	if resp.StatusCode == http.StatusOK && json.Unmarshal(body, &c) != nil {
		return 0, 0
	}
	return c.Version, resp.StatusCode
}

// resolve asks a machine where to connect.
func (m *machine) resolve(zone string) (addrs []string, ttl time.Duration) {
	query := url.Values{"name": {hostName}, "region": {"region"}, "zone": {zone}}
	resp, err := httpClient(time.Second).Get("http://" + m.directory() + names.Resolve + "?" + query.Encode())
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var out struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil, 0
	}
	return out.Addrs, min(time.Duration(out.TTL*float64(time.Second)), ttlMax)
}

// isReady asks the machine's router as the platform does.
func (m *machine) isReady() bool {
	resp, err := httpClient(time.Second).Get("http://" + m.ready() + names.Ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until the routers of machines are ready.
func (s *system) waitReady(machines []*machine, within time.Duration) error {
	for until := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(machines) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d routers are ready after %v", ready, len(machines), within)
		}
	}
}

// answer is what a client got for one attempt.
type answer struct {
	attempt   string
	via       *machine
	status    int // 0: none
	signature string
	echoed    string // attempt id in the answer
	body      string
	complete  bool // the answer is framed as complete
	took      time.Duration
	err       error
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one client attempt to a router and reads the answer.
func (s *system) send(via *machine, method, path, attempt string, deadline time.Duration) answer {
	a := answer{attempt: attempt, via: via}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + attempt)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+via.front()+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set(names.Attempt, attempt)
	req.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+apiKey)
	if strings.HasPrefix(path, pathSummary) {
		req.Header.Set(names.Model, "m")
		req.Header.Set(names.TokenCounts, "1000,1000")
		req.Header.Set(names.PrefixHash, fmt.Sprintf("5c1e07a2:200,%s:800", attempt[:8]))
	}
	s.rec.note("client sends request %s to %s: %s %s", attempt, via, method, path)
	resp, err := httpClient(0).Do(req)
	if err == nil {
		defer resp.Body.Close()
		a.status, a.signature, a.echoed = resp.StatusCode, resp.Header.Get(names.Signature), resp.Header.Get(names.Attempt)
		var text []byte
		text, err = io.ReadAll(resp.Body)
		a.body, a.complete = string(text), err == nil
	}
	a.err, a.took = err, time.Since(began)
	s.rec.note("%s", a.describe())
	return a
}

func (a *answer) describe() string {
	frame := "framed as complete"
	if !a.complete {
		frame = fmt.Sprintf("not complete (%v)", errors.Unwrap(a.err))
		if errors.Unwrap(a.err) == nil {
			frame = fmt.Sprintf("not complete (%v)", a.err)
		}
	}
	return fmt.Sprintf("client gets for request %s via %s: status %s, signature %q, %d bytes, %s", a.attempt, a.via, statusText(a.status), a.signature, len(a.body), frame)
}
