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

// askTimeout bounds a question to all VMs: a VM that is cut off is reported as
// such rather than waited for.
const askTimeout = 1 * time.Second

// VMStatus is what one VM says of itself.
type VMStatus struct {
	VM          string           `cbor:"1,keyasint" json:"vm"`
	Zone        string           `cbor:"2,keyasint" json:"zone"`
	Roles       []string         `cbor:"3,keyasint" json:"roles"`
	Incarnation string           `cbor:"4,keyasint" json:"incarnation"`
	Version     uint64           `cbor:"5,keyasint" json:"applied_version"`
	Fresh       bool             `cbor:"6,keyasint" json:"fresh"` // may admit new work
	Ready       bool             `cbor:"7,keyasint" json:"ready"`
	Leader      string           `cbor:"8,keyasint" json:"leader,omitempty"` // of the control group, as this VM knows
	Counters    map[string]int64 `cbor:"9,keyasint" json:"counters,omitempty"`
	Reachable   bool             `cbor:"10,keyasint" json:"reachable"`
}

// Status is the answer of GET /v1/status.
type Status struct {
	AskedVM string     `json:"asked_vm"`
	Leader  string     `json:"leader,omitempty"`
	Version uint64     `json:"version"` // of the lists, as known here
	VMs     []VMStatus `json:"vms"`
}

func (a *API) status(w http.ResponseWriter, r *http.Request) error {
	out := Status{AskedVM: a.VM, Version: a.Self().Version, VMs: askStatus(r.Context(), a.Transport, a.VMs())}
	out.Leader = leaderOf(out.VMs)
	return writeJSON(w, http.StatusOK, out)
}

// leaderOf believes a VM that says that it leads itself; else any that knows a
// leader, which may be out of date.
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

// askStatus asks VMs for their status. One that does not answer is listed as
// not reachable.
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

// ask sends one message to each VM at once and returns what f makes of the
// answers.
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

// Explainer gathers what was decided for a request over all VMs.
type Explainer struct {
	transport peer.Transport
	vms       func() []string
}

// NewExplainer returns an Explainer and answers other VMs from ring.
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

// Explanation is what was decided for a request, in order of time. VMs that did
// not answer are named: what they decided is missing.
type Explanation struct {
	Workspace string         `json:"workspace"`
	Request   string         `json:"request_id"`
	Notes     []explain.Note `json:"notes"`
	Missing   []string       `json:"unreachable_vms,omitempty"`
}

// Explain asks every VM. A request that none of them knows is NotFound.
func (x *Explainer) Explain(ctx context.Context, key explain.Key) (*Explanation, error) {
	out := &Explanation{Workspace: key.Workspace, Request: key.Request}
	type part struct {
		vm    string
		notes []explain.Note
		err   error
	}
	parts := callAll(ctx, x.transport, x.vms(), peer.KindExplain, key, func(vm string, n []explain.Note, err error) part {
		return part{vm, n, err}
	})
	for _, p := range parts {
		out.Notes = append(out.Notes, p.notes...)
		if p.err != nil {
			out.Missing = append(out.Missing, p.vm)
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

// CallerRoutes registers explain for callers, who see only their own workspace:
// to them a request of another one does not exist.
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
