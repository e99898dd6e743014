package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A stream whose path contains shortStream has shortEvents events.
const (
	shortStream = "/short-"
	shortEvents = 8
)

// engine is a stand-in for a server of a service. Its exported fields must be set before it is
// started.
type engine struct {
	ID, Service, Version, Zone string
	Slots                      int
	Events                     int           // of a stream; 0: the service takes calls
	Prefill, Step              time.Duration // of a stream
	Call                       time.Duration // work of a call
	// Answer, if set, answers a call that has begun to run.
	Answer func(e *engine, w http.ResponseWriter, r *http.Request)

	record *recorder
	fleet  *engines

	mu      sync.Mutex
	addr    string
	server  *http.Server
	born    int64
	leaving bool
	active  int
	made    map[string]int    // events of the streams that run here, by attempt
	copies  map[string]string // the attempt whose memory a copy holds, by "address/attempt"
}

// engines are all engines by address.
type engines struct {
	mu  sync.Mutex
	all []*engine
	ran map[string]bool // attempts that have begun to run
}

func (f *engines) noteRun(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ran == nil {
		f.ran = map[string]bool{}
	}
	f.ran[attempt] = true
}

// hasRun reports whether an engine has begun to run an attempt.
func (f *engines) hasRun(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[attempt]
}

func (f *engines) at(addr string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.all {
		if e.address() == addr {
			return e
		}
	}
	return nil
}

// rows returns the entries of the engines that are up.
func (f *engines) rows() []instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []instance{}
	for _, e := range f.all {
		e.mu.Lock()
		if e.server != nil {
			state := "ready"
			if e.leaving {
				state = "draining"
			}
			out = append(out, instance{ID: e.ID, Service: e.Service, Addr: e.addr, Zone: e.Zone, Version: e.Version, Slots: e.Slots, State: state, Born: e.born})
		}
		e.mu.Unlock()
	}
	return out
}

// add starts an engine.
func (f *engines) add(rec *recorder, e *engine) error {
	e.record, e.fleet = rec, f
	f.mu.Lock()
	f.all = append(f.all, e)
	f.mu.Unlock()
	return e.start()
}

func (e *engine) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// start starts the engine, at its former address if it has one. It holds nothing of before.
func (e *engine) start() error {
	addr := e.address()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.addr, e.server, e.born, e.leaving = l.Addr().String(), server, time.Now().UnixMilli(), false
	e.active, e.made, e.copies = 0, map[string]int{}, map[string]string{}
	e.mu.Unlock()
	e.record.note(e.ID, "started at %s", l.Addr())
	go func() { _ = server.Serve(l) }()
	return nil
}

// upgrade changes the software with which the engine starts again.
func (e *engine) upgrade(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Version = version
}

// leave makes the engine say that it leaves.
func (e *engine) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.record.note(e.ID, "leaves")
}

// end ends the engine's process: its connections close.
func (e *engine) end() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	_ = server.Close()
	e.record.note(e.ID, "ended")
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.leaving {
		w.Header().Set(headerLeaving, "1")
	}
	w.Header().Set(headerThis, e.ID)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", e.active, e.Slots))
	e.mu.Unlock()
	attempt := r.Header.Get(headerAttempt)
	if attempt != "" {
		w.Header().Set(headerAttempt, attempt)
	}
	if want := r.Header.Get(headerInstance); want != "" && want != e.ID {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		return
	case r.URL.Path == "/v1/report":
		e.report(w)
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		w.WriteHeader(http.StatusNotFound)
	case attempt == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
	case e.Events > 0:
		e.stream(w, r, attempt)
	default:
		e.call(w, r, attempt)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for id, n := range e.made {
		runs = append(runs, []any{id, 1000, n, 5})
	}
	out := map[string]any{
		"phase": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0, "born": e.born,
		"active": e.active, "kv_used": 1000 * e.active, "kv_total": 88000, "handles": len(e.copies), "state": "ready", "next_token": 0, "runs": runs,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (e *engine) begin(attempt string) (end func()) {
	e.fleet.noteRun(attempt)
	e.mu.Lock()
	e.active++
	e.made[attempt] = 0
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
		delete(e.made, attempt)
	}
}

func (e *engine) sign(w http.ResponseWriter) { w.Header().Set(headerSignature, "sig."+e.ID) }

// call runs a call.
func (e *engine) call(w http.ResponseWriter, r *http.Request, attempt string) {
	defer e.begin(attempt)()
	e.record.note(e.ID, "runs %s, deadline %s ms", attempt, r.Header.Get(headerDeadline))
	if e.Answer != nil {
		e.Answer(e, w, r)
		return
	}
	select {
	case <-time.After(e.Call):
	case <-r.Context().Done():
		e.record.note(e.ID, "%s: connection closed while at work", attempt)
		return
	}
	e.sign(w)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", e.ID, attempt)
	e.record.note(e.ID, "answered %s", attempt)
}

// stream runs a stream. Each event names the attempt whose memory the run goes on from: its own, or
// that of a copy.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	memory, from := attempt, r.Header.Get(headerFrom)
	if from != "" {
		e.mu.Lock()
		held, ok := e.copies[from]
		delete(e.copies, from)
		e.mu.Unlock()
		if !ok {
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		memory = held
	}
	defer e.begin(attempt)()
	after, _ := strconv.Atoi(r.Header.Get(headerLast))
	e.record.note(e.ID, "runs %s after event %d, copy to %q, from %q", attempt, after, r.Header.Get(headerBackup), from)
	if from == "" && !pause(r, e.Prefill) {
		return
	}
	backup := e.fleet.at(r.Header.Get(headerBackup))
	e.mu.Lock()
	version := e.Version
	e.mu.Unlock()
	e.sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	events := e.Events
	if strings.Contains(r.URL.Path, shortStream) {
		events = shortEvents
	}
	for n := after + 1; n <= events; n++ {
		if !pause(r, e.Step) {
			e.record.note(e.ID, "%s: connection closed after event %d", attempt, n-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d memory of %s at %s\n\n", n, n, memory, version)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		e.mu.Lock()
		e.made[attempt]++
		name := e.addr + "/" + attempt
		e.mu.Unlock()
		if backup != nil {
			backup.keep(name, memory)
		}
	}
	if backup != nil {
		backup.drop(e.address() + "/" + attempt)
	}
	e.record.note(e.ID, "ended %s", attempt)
}

// keep holds a copy of a run of another engine. It is named by this engine's address.
func (e *engine) keep(name, memory string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, attempt, _ := strings.Cut(name, "/")
	e.copies[e.addr+"/"+attempt] = memory
}

func (e *engine) drop(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, attempt, _ := strings.Cut(name, "/")
	delete(e.copies, e.addr+"/"+attempt)
}

func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
