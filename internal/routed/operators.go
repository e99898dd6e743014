package routed

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

// Bounds of an operator's call.
const (
	// MaxListText is the most bytes of a route list's text.
	MaxRouteListBytes = 16 << 20
	changeTimeout     = 5 * time.Second // covers a change of leader
)

// entryLimit is how many addresses an entry answer holds.
const entryLimit = 64

// OperatorRoutes serve operators, and callers who ask where to connect, in the
// project's own form. c is nil on a router, r on a control process.
func OperatorHandler(c ControlProcess, r *Router, token string, set *metrics.Set) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, r) })
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
	m.Handle("/debug/vars", expvar.Handler())
	if c != nil {
		m.HandleFunc("/v1/entry", func(w http.ResponseWriter, _ *http.Request) { writeEntry(w, c) }).Methods(http.MethodGet)
		m.Handle("/v1/routes", guard(token, func(w http.ResponseWriter, q *http.Request) error { return putRoutes(w, q, c) })).Methods(http.MethodPut)
		m.Handle("/v1/routes", guard(token, func(w http.ResponseWriter, q *http.Request) error { return getRoutes(w, q, c) })).Methods(http.MethodGet)
		m.Handle("/v1/rollouts", guard(token, func(w http.ResponseWriter, q *http.Request) error { return postRollout(w, q, c) })).Methods(http.MethodPost)
		m.Handle("/v1/rollouts/{service}", guard(token, func(w http.ResponseWriter, q *http.Request) error { return getRollout(w, q, c) })).Methods(http.MethodGet)
	}
	return m
}

func writeReady(w http.ResponseWriter, r *Router) {
	if r != nil && !r.Ready() {
		resulthttp.Write(w, "", result.New(result.NoRouteList))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeEntry(w http.ResponseWriter, c ControlProcess) {
	addrs := c.Endpoints(entryLimit)
	if len(addrs) == 0 {
		resulthttp.Write(w, "", result.New(result.NoBackendServer))
		return
	}
	resulthttp.WriteJSON(w, map[string]any{"addresses": addrs, "ttl_ms": EntryTTL.Milliseconds()})
}

// EntryTTL is how long a caller may keep an entry answer: a VM that leaves is
// forgotten within this time.
const EntryTTL = 1 * time.Second

// guard asks for the operators' token; an empty one is for loopback alone, which
// the settings see to.
func guard(token string, h func(http.ResponseWriter, *http.Request) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if token != "" && subtle.ConstantTimeCompare([]byte(got), []byte(token)) != 1 {
			resulthttp.Write(w, "", result.New(result.Unauthorized))
			return
		}
		if err := h(w, r); err != nil {
			resulthttp.Write(w, "", err)
		}
	})
}

func putRoutes(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	data, err := resulthttp.ReadBody(w, r, MaxRouteListBytes)
	if err != nil {
		return err
	}
	list, err := routes.Parse(data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	reply, err := c.PutRoutes(ctx, list)
	if err != nil {
		return err
	}
	resulthttp.WriteJSON(w, map[string]uint64{"version": list.Version, "in_force": reply.Version})
	return nil
}

func getRoutes(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	source, err := c.Routes(ctx)
	if err != nil {
		return result.New(result.ControlUnavail)
	}
	if source == nil {
		return result.New(result.NoRouteList)
	}
	w.Header().Set("Content-Type", "application/json")
	// The reader is gone if this fails; it asks again.
	_, _ = w.Write(source)
	return nil
}

// rolloutOrder is an operator's order, in JSON.
type rolloutOrder struct {
	Service    string `json:"service"`
	To         string `json:"to"`
	DurationMS int64  `json:"duration_ms"`
}

// rolloutAnswer is the state of a roll-out.
type rolloutAnswer struct {
	Service string             `json:"service"`
	To      string             `json:"to"`
	Number  uint64             `json:"number"`
	Phase   string             `json:"phase"` // trial, switching, moving, completed or reverted
	Over    bool               `json:"over"`
	Reason  string             `json:"reason,omitempty"` // of the last step
	Share   float64            `json:"share"`            // of all requests, in the trial
	Shares  map[string]float64 `json:"shares,omitempty"` // by route
}

func writeRollout(w http.ResponseWriter, r *rollout.Record) {
	resulthttp.WriteJSON(w, rolloutAnswer{
		Service: r.Service, To: r.To, Number: r.Number, Phase: r.Phase.String(), Over: r.Phase.Over(), Reason: r.Reason,
		Share: r.DefaultShare, Shares: r.Shares,
	})
}

// maxOrderText is the most bytes of an order.
const maxOrderText = 16 << 10

func postRollout(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	data, err := resulthttp.ReadBody(w, r, maxOrderText)
	if err != nil {
		return err
	}
	var o rolloutOrder
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return result.Newf(result.InvalidRollout, "not readable: %v", err)
	}
	order := rollout.Order{Service: o.Service, To: o.To, Duration: time.Duration(o.DurationMS) * time.Millisecond}
	if err := order.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	record, err := c.PutRollout(ctx, order)
	if err != nil {
		return err
	}
	writeRollout(w, &record)
	return nil
}

func getRollout(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	record, err := c.Rollout(ctx, mux.Vars(r)["service"])
	if err != nil {
		return err
	}
	writeRollout(w, &record)
	return nil
}
