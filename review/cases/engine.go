package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const headerLastEvent = "Last-Event-Id"

// engine is a stand-in for a sound engine. A proxy stands before it, in which the paths of single
// processes can be cut.
type engine struct {
	rec     *record
	id      string
	service string
	zone    string
	address string // of the proxy
	slots   int
	// pieces is the number of events of a stream, one each interval, after first; 0: it answers calls.
	pieces          int
	first, interval time.Duration

	server *http.Server
	proxy  *proxy
	active atomic.Int64
	// garbage makes the engine spoil a part of its answers with bytes that are not a response.
	garbage atomic.Bool

	mu   sync.Mutex
	runs []engineRun
}

// engineRun is a request that an engine began to work on.
type engineRun struct {
	attempt, method, uri string
	at                   time.Time
	pid                  int // of the process that sent it; 0: not known
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	e.proxy, err = startProxy(l.Addr().String())
	if err != nil {
		return err
	}
	e.address = e.proxy.address
	return nil
}

// entry is the engine's entry in the platform's list.
func (e *engine) entry() map[string]any {
	out := map[string]any{
		"id": e.id, "service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": "ready", "cold_left_ms": 0, "born": born,
	}
	if e.pieces > 0 {
		out["phase"] = "unified"
		out["models"] = models
	}
	return out
}

var (
	born   = time.Now().UnixMilli()
	models = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
)

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d", e.active.Load(), e.slots))
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		w.Header().Set(names.Instance, e.id)
		return
	case r.Method == http.MethodGet && r.URL.Path == "/v1/report":
		e.report(w)
		return
	}
	attempt := r.Header.Get(names.Attempt)
	w.Header().Set(names.Attempt, attempt)
	expect := r.Header.Get(names.Expect)
	switch {
	case expect != "" && expect != e.id:
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, engineRun{attempt, r.Method, r.RequestURI, time.Now(), e.proxy.owner(r.RemoteAddr)})
	e.mu.Unlock()
	e.active.Add(1)
	defer e.active.Add(-1)
	e.rec.note("engine %s (%s) runs request %s, %s %s", e.id, e.service, attempt, r.Method, r.RequestURI)
	if e.garbage.Load() && rand.Float64() < garbledPart {
		e.rec.note("engine %s spoils its answer to request %s: %d zero bytes", e.id, attempt, sendGarbage(w))
		return
	}
	w.Header().Set(names.Signature, e.id+"."+attempt)
	if e.pieces > 0 {
		e.stream(w, r, attempt)
		return
	}
	if !pause(r, 20*time.Millisecond) {
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", e.service, attempt)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	if !pause(r, e.first) {
		e.rec.note("engine %s: the connection of request %s ended before the first piece", e.id, attempt)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= e.pieces; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %d for %s\n\n", n, n, e.pieces, attempt)
		if http.NewResponseController(w).Flush() != nil || !pause(r, e.interval) {
			e.rec.note("engine %s: the connection of request %s ended after piece %d of %d", e.id, attempt, n, e.pieces)
			return
		}
	}
	e.rec.note("engine %s: request %s is complete", e.id, attempt)
}

// pause waits. It returns false if the connection of the request ends.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *engine) report(w http.ResponseWriter) {
	active := e.active.Load()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "unified", "models": models, "busy": false, "seq": 0, "queued": 0, "active": active,
		"kv_used": 0, "kv_total": 88000, "handles": 0, "born": born,
	})
}

// ran returns the runs of a request.
func (e *engine) ran(attempt string) []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []engineRun
	for _, r := range e.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}
