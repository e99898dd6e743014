// Package gateway serves callers over HTTP: generations as Server-Sent Events or one JSON
// answer, with resume by Last-Event-ID, calls of plain services, and the addresses that
// callers should use.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/admission"
	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
	"github.com/amaranthshelf/amaranthshelf/internal/shutdown"
	"github.com/amaranthshelf/amaranthshelf/internal/telemetry"
)

// Generations opens generations for reading, new ones and, with resuming, existing ones.
// *relay.Hub implements it.
type Generations interface {
	Open(ctx context.Context, req generation.Request, resuming bool) (*relay.Reader, error)
}

// Plans provides the lists in force.
type Plans interface {
	// Directory returns the lists, or an error if they may be out of date.
	Directory() (*plan.Directory, error)
}

// Models reports which models exist.
type Models interface {
	HasModel(model string) bool
}

// Config holds the settings of a Gateway.
type Config struct {
	MaxBodyBytes int64
	Heartbeat    time.Duration // interval of comments while there is no new token

	// Draining ends once this VM has handed over its streams. Each stream then ends after
	// its current event with a comment that asks the caller to reconnect. Nil: never.
	Draining context.Context

	// Ending ends shortly before the process does. Who still waits for an answer in one piece is then
	// told to ask again. Nil: never.
	Ending context.Context

	// CannotFinish reports that this VM shuts down before it could finish a call. Nil: it never
	// does.
	CannotFinish func(w shutdown.Work) bool
}

// Gateway is the callers' HTTP handler.
type Gateway struct {
	cfg         Config
	generations Generations
	plans       Plans
	models      Models
	tracer      *telemetry.Tracer
	log         zerolog.Logger
	opening     *admission.InFlight
}

// New returns a Gateway.
func New(cfg Config, g Generations, p Plans, m Models, t *telemetry.Tracer, log zerolog.Logger) *Gateway {
	return &Gateway{cfg: cfg, generations: g, plans: p, models: m, tracer: t, log: log, opening: newInFlight()}
}

// Routes registers the callers' paths.
func (g *Gateway) Routes(r *mux.Router) {
	r.HandleFunc("/v1/completions", g.completions).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		resulthttp.Write(w, "", result.New(result.NotFound))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		resulthttp.Write(w, "", result.New(result.MethodNotAllowed))
	})
}

// Caller is an authenticated workspace with the allowance of its plan.
type Caller struct {
	Customer  plan.Customer
	Allowance plan.Allowance
}

func (g *Gateway) authenticate(r *http.Request) (Caller, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return Caller{}, result.New(result.Unauthorized)
	}
	dir, err := g.plans.Directory()
	if err != nil {
		return Caller{}, err
	}
	customer, allowance, ok := dir.Lookup(key)
	if !ok {
		return Caller{}, result.New(result.Unauthorized)
	}
	return Caller{customer, allowance}, nil
}
