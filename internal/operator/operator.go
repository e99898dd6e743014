// Package operator is the HTTP API for operators. It serves the two lists, whose rows change
// by compare-and-swap, the version of the lists that each VM applies, and the decisions made
// for a request. Every VM answers; changes are committed by the control group.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// Bounds of a request.
const (
	maxBodyBytes  = 256 << 10
	commitTimeout = 8 * time.Second // long enough for a leader election
	waitTimeout   = 60 * time.Second
)

// Lists reads the lists from the control group's state. The state read is that at the time
// of the call or a later one.
type Lists interface {
	Ask(ctx context.Context, q plan.Query) (plan.Answer, error)
}

// InForce waits until a version of the lists is in force.
type InForce interface {
	// Wait returns once every VM applies the version or a later one, or its freshness lease
	// has expired.
	Wait(ctx context.Context, version uint64) error
}

// Deps are the dependencies of an API.
type Deps struct {
	Token     string // empty: only requests from loopback addresses are allowed
	VM        string
	Control   control.Client
	Lists     Lists
	InForce   InForce
	Transport peer.Transport
	VMs       func() []string // IDs of all VMs of the system
	Self      func() VMStatus
	Explain   *Explainer
	Group     Group
	Log       zerolog.Logger
}

// API handles the HTTP requests of operators.
type API struct{ Deps }

// New returns an API and registers its message handler with the transport.
func New(d Deps) *API {
	a := &API{d}
	d.Transport.Handle(peer.KindStatus, func(context.Context, string, []byte) (any, error) { return d.Self(), nil })
	return a
}

// Routes registers the paths for operators.
func (a *API) Routes(r *mux.Router) {
	handle := func(path string, h func(w http.ResponseWriter, r *http.Request) error, methods ...string) {
		r.HandleFunc(path, a.authorized(h)).Methods(methods...)
	}
	for _, l := range []list{customers, allowances} {
		handle(l.path, a.bind(l, a.listRows), http.MethodGet)
		handle(l.path+"/{name}", a.bind(l, a.readRow), http.MethodGet)
		handle(l.path+"/{name}/history", a.bind(l, a.history), http.MethodGet)
		handle(l.path+"/{name}", a.bind(l, a.change), http.MethodPut, http.MethodDelete)
	}
	handle("/v1/status", a.status, http.MethodGet)
	handle("/v1/explain/{request}", a.explain, http.MethodGet)
	handle("/v1/control", a.members, http.MethodGet)
	handle("/v1/control/{vm}", a.removeMember, http.MethodDelete)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		resulthttp.Write(w, "", result.New(result.NotFound))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		resulthttp.Write(w, "", result.New(result.MethodNotAllowed))
	})
}

func (a *API) authorized(h func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Idempotency-Key")
		err := a.authorize(r)
		if err == nil {
			err = h(w, r)
		}
		if err != nil {
			a.Log.Info().Err(err).Str("request_id", id).Str("path", r.URL.Path).Msg("operator request refused")
			resulthttp.Write(w, id, err)
		}
	}
}

// authorize compares the token in constant time. The time that a refusal takes must not
// reveal how many characters of the token were right.
func (a *API) authorize(r *http.Request) error {
	if a.Token == "" && loopback(r.RemoteAddr) {
		return nil
	}
	got, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || a.Token == "" || subtle.ConstantTimeCompare([]byte(got), []byte(a.Token)) != 1 {
		return result.New(result.Unauthorized)
	}
	return nil
}

func loopback(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	addr, err := netip.ParseAddr(host)
	return err == nil && addr.IsLoopback()
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status has been sent. A client that disconnects now loses only the body.
	_, _ = w.Write(append(data, '\n'))
	return nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// precondition reads If-Match or If-None-Match into the command. A change without either
// could overwrite a concurrent change of another operator.
func precondition(r *http.Request, c *plan.Command) error {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match == "" && none == "":
		return result.Newf(result.VersionRequired, `send If-Match with the row's ETag, or If-None-Match: * to create it`)
	case match != "" && none != "":
		return result.Newf(result.UnsupportedHeader, "If-Match and If-None-Match exclude each other")
	case none == "*":
		c.Create = true
		return nil
	case none != "":
		return result.Newf(result.UnsupportedHeader, "If-None-Match must be *")
	}
	text, quoted := strings.CutPrefix(match, `"`)
	version, err := strconv.ParseUint(strings.TrimSuffix(text, `"`), 10, 64)
	if err != nil || !quoted || version == 0 {
		return result.Newf(result.UnsupportedHeader, `If-Match must be one ETag as answered, such as "17"`)
	}
	c.IfMatch = version
	return nil
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge)
	case err != nil:
		return result.Newf(result.MalformedBody, "the body is not valid JSON of the documented form: %v", err)
	case dec.More():
		return result.Newf(result.MalformedBody, "the body holds more than one value")
	}
	return nil
}
