package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// askTimeout bounds the wait for the answers of all VMs. A VM that does not answer by then is
// reported as unreachable.
const askTimeout = 1 * time.Second

// VMStatus is the status that a VM reports of itself.
type VMStatus struct {
	VM          string           `cbor:"1,keyasint" json:"vm"`
	Zone        string           `cbor:"2,keyasint" json:"zone"`
	Roles       []string         `cbor:"3,keyasint" json:"roles"`
	Incarnation string           `cbor:"4,keyasint" json:"incarnation"`
	Version     uint64           `cbor:"5,keyasint" json:"applied_version"`
	Fresh       bool             `cbor:"6,keyasint" json:"fresh"` // whether the VM may admit new work
	Ready       bool             `cbor:"7,keyasint" json:"ready"`
	Leader      string           `cbor:"8,keyasint" json:"leader,omitempty"` // of the control group, as known to this VM
	Counters    map[string]int64 `cbor:"9,keyasint" json:"counters,omitempty"`
	Reachable   bool             `cbor:"10,keyasint" json:"reachable"`
}

// Status is the answer of GET /v1/status.
type Status struct {
	AskedVM string     `json:"asked_vm"`
	Leader  string     `json:"leader,omitempty"`
	Version uint64     `json:"version"` // of the lists, as known to the asked VM
	VMs     []VMStatus `json:"vms"`
}

func (a *API) status(w http.ResponseWriter, r *http.Request) error {
	out := Status{AskedVM: a.VM, Version: a.Self().Version, VMs: askStatus(r.Context(), a.Transport, a.VMs())}
	out.Leader = leaderOf(out.VMs)
	return writeJSON(w, http.StatusOK, out)
}

// leaderOf returns a VM that reports itself as leader. If there is none, it returns the
// leader that the first VM with a leader reports, which may be out of date.
func leaderOf(vms []VMStatus) string {
	leader := ""
	for _, vm := range vms {
		if vm.Leader == vm.VM {
			return vm.VM
		}
		leader = cmp.Or(leader, vm.Leader)
	}
	return leader
}

// askStatus returns the status of the VMs, sorted by VM. A VM that does not answer is listed
// with Reachable false.
func askStatus(ctx context.Context, t peer.Transport, vms []string) []VMStatus {
	out := callAll(ctx, t, vms, peer.KindStatus, struct{}{}, func(vm string, s VMStatus, err error) VMStatus {
		if err != nil {
			return VMStatus{VM: vm}
		}
		s.Reachable = true
		return s
	})
	slices.SortFunc(out, func(x, y VMStatus) int { return strings.Compare(x.VM, y.VM) })
	return out
}

// callAll sends the message to all VMs concurrently and returns the result of f for each
// answer, in the order of vms.
func callAll[A, B any](ctx context.Context, t peer.Transport, vms []string, kind peer.Kind, body any, f func(string, A, error) B) []B {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := make([]B, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() {
			var reply A
			err := t.Call(ctx, vm, kind, body, &reply)
			out[i] = f(vm, reply, err)
		})
	}
	wg.Wait()
	return out
}

// Explainer collects the decisions made for a request from all VMs.
type Explainer struct {
	transport peer.Transport
	vms       func() []string
}

// NewExplainer returns an Explainer and registers a handler that answers other VMs from ring.
func NewExplainer(t peer.Transport, vms func() []string, ring *explain.Ring) *Explainer {
	t.Handle(peer.KindExplain, func(_ context.Context, _ string, body []byte) (any, error) {
		var key explain.Key
		if err := codec.Unmarshal(body, &key); err != nil {
			return nil, err
		}
		return ring.Notes(key), nil
	})
	return &Explainer{transport: t, vms: vms}
}

// Explanation holds the decisions made for a request, sorted by time. Missing lists the VMs
// that did not answer, whose decisions are missing.
type Explanation struct {
	Workspace string         `json:"workspace"`
	Request   string         `json:"request_id"`
	Notes     []explain.Note `json:"notes"`
	Missing   []string       `json:"unreachable_vms,omitempty"`
}

// Explain collects the decisions made for a request from every VM. The error is NotFound if
// no VM that answers knows the request.
func (x *Explainer) Explain(ctx context.Context, key explain.Key) (*Explanation, error) {
	out := &Explanation{Workspace: key.Workspace, Request: key.Request}
	type answer struct {
		vm    string
		notes []explain.Note
		err   error
	}
	answers := callAll(ctx, x.transport, x.vms(), peer.KindExplain, key, func(vm string, n []explain.Note, err error) answer {
		return answer{vm, n, err}
	})
	for _, a := range answers {
		out.Notes = append(out.Notes, a.notes...)
		if a.err != nil {
			out.Missing = append(out.Missing, a.vm)
		}
	}
	slices.Sort(out.Missing)
	if len(out.Notes) == 0 {
		return nil, result.Newf(result.NotFound, "no VM that answers has decided anything for this request of late")
	}
	slices.SortStableFunc(out.Notes, func(a, b explain.Note) int { return a.At.Compare(b.At) })
	return out, nil
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) error {
	workspace := r.URL.Query().Get("workspace")
	if workspace == "" {
		return result.Newf(result.InvalidField, "workspace is missing in the query: request ids belong to a workspace")
	}
	return a.Explain.answer(w, r, workspace)
}

func (x *Explainer) answer(w http.ResponseWriter, r *http.Request, workspace string) error {
	out, err := x.Explain(r.Context(), explain.Key{Workspace: workspace, Request: mux.Vars(r)["request"]})
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, out)
}

// CallerRoutes registers the explain path for callers. They see only requests of their own
// workspace; a request of another workspace is answered as one that does not exist.
func (x *Explainer) CallerRoutes(r *mux.Router, directory func() (*plan.Directory, error)) {
	r.HandleFunc("/v1/explain/{request}", func(w http.ResponseWriter, r *http.Request) {
		err := x.callerExplain(w, r, directory)
		if err != nil {
			resulthttp.Write(w, "", err)
		}
	}).Methods(http.MethodGet)
}

func (x *Explainer) callerExplain(w http.ResponseWriter, r *http.Request, directory func() (*plan.Directory, error)) error {
	dir, err := directory()
	if err != nil {
		return err
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	customer, _, ok := dir.Lookup(key)
	if !ok {
		return result.New(result.Unauthorized)
	}
	return x.answer(w, r, customer.Workspace)
}
