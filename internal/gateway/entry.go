package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/membership"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// Entrances names the addresses that callers should use.
type Endpoints interface {
	// Entry returns addresses in order of use, and the version of the list that
	// they come from.
	Entry(q membership.EndpointQuery) (addresses []string, version uint64)
}

type entryAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMS     int64    `json:"ttl_ms"`
	Version   uint64   `json:"version"`
}

// EntryRoutes registers GET /v1/entry. Callers keep an answer for ttl.
func (g *Gateway) EntryRoutes(r *mux.Router, e Endpoints, ttl time.Duration) {
	r.HandleFunc("/v1/entry", func(w http.ResponseWriter, r *http.Request) {
		caller, err := g.authenticate(r)
		if err != nil {
			resulthttp.Write(w, "", err)
			return
		}
		q := membership.EndpointQuery{Workspace: caller.Customer.Workspace, Zone: r.URL.Query().Get("zone"), Caller: callerName(r)}
		out := entryAnswer{TTLMS: ttl.Milliseconds()}
		out.Addresses, out.Version = e.Entry(q)
		w.Header().Set("Content-Type", "application/json")
		// A caller that hangs up now asks again.
		_ = json.NewEncoder(w).Encode(out)
	}).Methods(http.MethodGet)
}

// callerName tells the callers of a workspace apart: by ?caller= where many
// share a host, else by host.
func callerName(r *http.Request) string {
	if name := r.URL.Query().Get("caller"); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
