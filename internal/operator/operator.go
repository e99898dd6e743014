// Package operator serves operators over HTTP: the two lists with
// compare-and-swap, who applies which version, and what was decided for a
// request. Any VM answers; changes go to the control group.
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

// Limits of one request.
const (
	maxBodyBytes  = 256 << 10
	commitTimeout = 8 * time.Second // covers a change of leader
	waitTimeout   = 60 * time.Second
)

// Lists reads the group's state as it was at the call or later.
type Lists interface {
	Ask(ctx context.Context, q plan.Query) (plan.Answer, error)
}

// InForce waits until a version of the lists is in force.
type InForce interface {
	// Wait returns once every VM applies the version or a later one, or has let
	// its freshness lease lapse.
	Wait(ctx context.Context, version uint64) error
}

// Deps are what the API works with.
type Deps struct {
	Token     string // empty: loopback callers only
	VM        string
	Control   control.Client
	Lists     Lists
	InForce   InForce
	Transport peer.Transport
	VMs       func() []string // every VM of the system
	Self      func() VMStatus
	Explain   *Explainer
	Group     Group
	Log       zerolog.Logger
}

// API is the operators' HTTP handler.
type API struct{ Deps }

// New returns the API and registers its message handlers.
func New(d Deps) *API {
	a := &API{d}
	d.Transport.Handle(peer.KindStatus, func(context.Context, string, []byte) (any, error) { return d.Self(), nil })
	return a
}

// Routes registers the operators' paths.
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

// authorize compares the token in constant time: the time of a refusal must not
// tell how many characters were right.
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
	// The status is out: whoever hangs up now loses only this text.
	_, _ = w.Write(append(data, '\n'))
	return nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// precondition reads If-Match or If-None-Match. A change without either would
// overwrite what another operator did a moment ago.
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
