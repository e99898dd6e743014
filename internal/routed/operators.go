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

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
)

// Bounds of an operator's request.
const (
	// MaxRouteListBytes is the maximum size of a route list's text.
	MaxRouteListBytes   = 16 << 20
	operatorCallTimeout = 5 * time.Second // includes a change of the control group's leader
)

// maxEntryAddresses is the maximum number of router addresses in an entry answer, the
// answer to GET /v1/entry. Callers ask there which routers they can send requests to.
const maxEntryAddresses = 64

// OperatorHandler serves operators, and callers that look up router addresses, with
// this project's own HTTP API. c is nil on a router, and r is nil on a control process.
func OperatorHandler(c ControlProcess, r *Router, token string, set *metrics.Set) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, r) })
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
	m.Handle("/debug/vars", expvar.Handler())
	if c != nil {
		m.HandleFunc("/v1/entry", func(w http.ResponseWriter, q *http.Request) { writeEntry(w, q, c) }).Methods(http.MethodGet)
		m.Handle("/v1/routes", requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return putRoutes(w, q, c) })).Methods(http.MethodPut)
		m.Handle("/v1/routes", requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return getRoutes(w, q, c) })).Methods(http.MethodGet)
		cordonRoutes(m, token, c)
		m.Handle("/v1/room/{service}", requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return getRoom(w, q, c) })).Methods(http.MethodGet)
		m.Handle("/v1/rollouts", requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return postRollout(w, q, c) })).Methods(http.MethodPost)
		m.Handle("/v1/rollouts/{service}", requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return getRollout(w, q, c) })).Methods(http.MethodGet)
	}
	return LimitBodies(m)
}

func writeReady(w http.ResponseWriter, r *Router) {
	if r != nil && !r.Ready() {
		resulthttp.Write(w, "", result.New(result.NoRouteList))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeEntry(w http.ResponseWriter, r *http.Request, c ControlProcess) {
	addrs := c.Endpoints(r.URL.Query().Get("zone"), maxEntryAddresses)
	if len(addrs) == 0 {
		resulthttp.Write(w, "", result.New(result.NoBackendServer))
		return
	}
	resulthttp.WriteJSON(w, map[string]any{"addresses": addrs, "ttl_ms": EntryTTL.Milliseconds()})
}

// EntryTTL is how long a caller may keep an entry answer. A VM that leaves gets no new
// callers after this time.
const EntryTTL = 1 * time.Second

// LimitBodies bounds the bodies of operators' requests that are held at once to the largest one.
func LimitBodies(h http.Handler) http.Handler {
	const share = 2 // requests have half of an account
	return resulthttp.LimitBodies(memory.NewAccountOf(share*MaxRouteListBytes), h)
}

// requireToken rejects requests without the operators' token. An empty token admits every
// request; the settings allow it on a loopback address only.
func requireToken(token string, h func(http.ResponseWriter, *http.Request) error) http.Handler {
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
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	reply, err := c.PutRoutes(ctx, list)
	if err != nil {
		return err
	}
	resulthttp.WriteJSON(w, map[string]uint64{"version": list.Version, "in_force": reply.Version})
	return nil
}

func getRoutes(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	source, err := c.Routes(ctx)
	if err != nil {
		return result.New(result.ControlUnavail)
	}
	if source == nil {
		return result.New(result.NoRouteList)
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails if the client has disconnected; it repeats the request.
	_, _ = w.Write(source)
	return nil
}

// rolloutOrder is the JSON body of an operator's order.
type rolloutOrder struct {
	Service    string `json:"service"`
	To         string `json:"to"`
	DurationMS int64  `json:"duration_ms"`
}

// rolloutAnswer is the JSON form of the state of a roll-out.
type rolloutAnswer struct {
	Service string             `json:"service"`
	To      string             `json:"to"`
	Number  uint64             `json:"number"`
	Phase   string             `json:"phase"` // trial, switching, moving, completed or reverted
	Over    bool               `json:"over"`
	Reason  string             `json:"reason,omitempty"` // of the latest step
	Share   float64            `json:"share"`            // fraction of all requests during the trial
	Shares  map[string]float64 `json:"shares,omitempty"` // the same by route
}

func writeRollout(w http.ResponseWriter, r *rollout.Record) {
	resulthttp.WriteJSON(w, rolloutAnswer{
		Service: r.Service, To: r.To, Number: r.Number, Phase: r.Phase.String(), Over: r.Phase.Over(), Reason: r.Reason,
		Share: r.DefaultShare, Shares: r.Shares,
	})
}

// maxOrderBytes is the maximum size of an order's body.
const maxOrderBytes = 16 << 10

// readOrder decodes the JSON body of an order. If it is not readable, the error has the given
// code.
func readOrder(w http.ResponseWriter, r *http.Request, order any, invalid result.Code) error {
	data, err := resulthttp.ReadBody(w, r, maxOrderBytes)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(order); err != nil {
		return result.Newf(invalid, "not readable: %v", err)
	}
	return nil
}

func postRollout(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	var o rolloutOrder
	if err := readOrder(w, r, &o, result.InvalidRollout); err != nil {
		return err
	}
	order := rollout.Order{Service: o.Service, To: o.To, Duration: time.Duration(o.DurationMS) * time.Millisecond}
	if err := order.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	record, err := c.PutRollout(ctx, order)
	if err != nil {
		return err
	}
	writeRollout(w, &record)
	return nil
}

func getRollout(w http.ResponseWriter, r *http.Request, c ControlProcess) error {
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	record, err := c.Rollout(ctx, mux.Vars(r)["service"])
	if err != nil {
		return err
	}
	writeRollout(w, &record)
	return nil
}
