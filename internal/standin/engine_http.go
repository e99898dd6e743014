package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/tmaxmax/go-sse"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

const maxEngineBody = 8 << 20

// EngineServer serves an Engine on a loopback port. If the engine dies, its listener and
// connections close. Revive restarts it on the same address.
type EngineServer struct {
	*Engine
	Addr string

	mu     sync.Mutex
	server *http.Server
}

// ServeEngine starts an engine on addr. "127.0.0.1:0" uses a port that the kernel picks.
func ServeEngine(cfg EngineConfig, addr string) (*EngineServer, error) {
	s := &EngineServer{Engine: NewEngine(cfg), Addr: addr}
	s.onDeath = s.closeServer
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *EngineServer) listen() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.Addr = l.Addr().String()
	s.mu.Lock()
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *EngineServer) closeServer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
}

// Revive restarts a dead engine without runs and with an empty cache.
func (s *EngineServer) Revive() error {
	s.Engine.mu.Lock()
	s.dead = false
	s.Engine.mu.Unlock()
	return s.listen()
}

// Close stops the engine and its server.
func (s *EngineServer) Close() {
	s.Stop()
	s.closeServer()
}

func (s *EngineServer) routes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/completions", s.completions).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{attempt}", s.attach).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{attempt}", s.cancelStream).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", s.getCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", s.postOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/state", s.getState).Methods(http.MethodGet)
	r.Use(s.waitWhilePaused)
	return r
}

// waitWhilePaused delays every answer while the engine is paused.
func (s *EngineServer) waitWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Engine.mu.Lock()
		wait := time.Until(s.faults.pausedUntil)
		s.Engine.mu.Unlock()
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (s *EngineServer) completions(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineBody)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.stream(w, func(on func(engine.Event) error) error {
		return s.Generate(r.Context(), "", c, on)
	})
}

func (s *EngineServer) attach(w http.ResponseWriter, r *http.Request) {
	id, _ := url.PathUnescape(mux.Vars(r)["attempt"])
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from: a number", http.StatusBadRequest)
		return
	}
	s.stream(w, func(on func(engine.Event) error) error {
		return s.Attach(r.Context(), "", id, from, on)
	})
}

// stream writes events until run returns. An error before the first event becomes an
// HTTP status. A later one aborts the connection, like the death of an engine.
func (s *EngineServer) stream(w http.ResponseWriter, run func(on func(engine.Event) error) error) {
	started := false
	flush := http.NewResponseController(w)
	err := run(func(e engine.Event) error {
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			started = true
		}
		data, err := json.Marshal(e)
		if err != nil {
			return err
		}
		m := &sse.Message{ID: sse.ID(strconv.Itoa(e.Index))}
		m.AppendData(string(data))
		if _, err := m.WriteTo(w); err != nil {
			return err
		}
		return flush.Flush()
	})
	switch {
	case err == nil:
		done := &sse.Message{}
		done.AppendData("[DONE]")
		_, _ = done.WriteTo(w)
	case started, errors.Is(err, errDead), errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errNotServed), errors.Is(err, errNoRun):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (s *EngineServer) cancelStream(w http.ResponseWriter, r *http.Request) {
	id, _ := url.PathUnescape(mux.Vars(r)["attempt"])
	if !s.cancel(id) {
		http.Error(w, errNoRun.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *EngineServer) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.load())
}

func (s *EngineServer) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.State())
}

func (s *EngineServer) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, s.cacheEvents(since))
}

func (s *EngineServer) postOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state, err := s.Order(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, state)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
