package plan

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Delta is the difference between two versions of the lists: the current state of
// the rows written in between, and the names of the removed rows. A Full delta
// holds all rows and replaces the receiver's lists.
type Delta struct {
	From              uint64         `cbor:"1,keyasint"`
	To                uint64         `cbor:"2,keyasint"`
	Full              bool           `cbor:"3,keyasint,omitempty"`
	Customers         []CustomerRow  `cbor:"4,keyasint,omitempty"`
	Allowances        []AllowanceRow `cbor:"5,keyasint,omitempty"`
	RemovedCustomers  []string       `cbor:"6,keyasint,omitempty"`
	RemovedAllowances []string       `cbor:"7,keyasint,omitempty"`
}

// Version implements control.StateMachine. It is the number of changes so far.
func (r *Registry) Version() uint64 { return r.version }

// Changes implements control.StateMachine. It returns an encoded Delta. The history
// tells which rows changed; if it does not reach back to since, the delta is full.
func (r *Registry) Changes(since uint64) []byte {
	if since > r.version || r.version-since > uint64(len(r.history)) {
		return encode(r.fullDelta(since))
	}
	d := Delta{From: since, To: r.version}
	type rowName struct {
		customer bool
		name     string
	}
	seen := map[rowName]bool{}
	for _, c := range r.history[len(r.history)-int(r.version-since):] {
		customer := c.Action == SetCustomer || c.Action == RemoveCustomer
		row := rowName{customer, c.Name}
		if seen[row] {
			continue
		}
		seen[row] = true
		if customer {
			d.addCustomer(r, c.Name)
		} else {
			d.addAllowance(r, c.Name)
		}
	}
	return encode(d)
}

func (d *Delta) addCustomer(r *Registry, name string) {
	if row, ok := r.customers[name]; ok {
		d.Customers = append(d.Customers, row)
		return
	}
	d.RemovedCustomers = append(d.RemovedCustomers, name)
}

func (d *Delta) addAllowance(r *Registry, name string) {
	if row, ok := r.allowances[name]; ok {
		d.Allowances = append(d.Allowances, row)
		return
	}
	d.RemovedAllowances = append(d.RemovedAllowances, name)
}

func (r *Registry) fullDelta(since uint64) Delta {
	return Delta{From: since, To: r.version, Full: true, Customers: r.Customers(), Allowances: r.Allowances()}
}

// Customers returns the customers in order of workspace.
func (r *Registry) Customers() []CustomerRow {
	return slices.SortedFunc(maps.Values(r.customers), func(x, y CustomerRow) int { return cmp.Compare(x.Workspace, y.Workspace) })
}

// Allowances returns the allowances in order of plan.
func (r *Registry) Allowances() []AllowanceRow {
	return slices.SortedFunc(maps.Values(r.allowances), func(x, y AllowanceRow) int { return cmp.Compare(x.Plan, y.Plan) })
}

// Customer returns the row of a workspace.
func (r *Registry) Customer(workspace string) (CustomerRow, bool) {
	row, ok := r.customers[workspace]
	return row, ok
}

// Allowance returns the row of a plan.
func (r *Registry) Allowance(plan string) (AllowanceRow, bool) {
	row, ok := r.allowances[plan]
	return row, ok
}

// History returns the stored changes of one customer or allowance, newest first.
func (r *Registry) History(customers bool, name string) []Change {
	out := []Change{}
	for _, c := range slices.Backward(r.history) {
		ofCustomers := c.Action == SetCustomer || c.Action == RemoveCustomer
		if c.Name == name && ofCustomers == customers {
			out = append(out, c)
		}
	}
	return out
}

type registrySnapshot struct {
	Version    uint64         `cbor:"1,keyasint"`
	Customers  []CustomerRow  `cbor:"2,keyasint"`
	Allowances []AllowanceRow `cbor:"3,keyasint"`
	Replies    []storedReply  `cbor:"4,keyasint"`
	History    []Change       `cbor:"5,keyasint"`
}

// Snapshot implements control.StateMachine.
func (r *Registry) Snapshot() ([]byte, error) {
	s := registrySnapshot{Version: r.version, Customers: r.Customers(), Allowances: r.Allowances(), History: r.history}
	for _, k := range r.replyKeys {
		s.Replies = append(s.Replies, r.replies[k])
	}
	return cbor.Marshal(s)
}

// Restore implements control.StateMachine.
func (r *Registry) Restore(data []byte) error {
	var s registrySnapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return err
	}
	next := NewRegistry()
	next.version, next.history = s.Version, s.History
	for _, row := range s.Customers {
		next.putCustomer(row)
	}
	for _, row := range s.Allowances {
		next.allowances[row.Plan] = row
	}
	for _, a := range s.Replies {
		next.storeReply(a)
	}
	*r = *next
	return nil
}

// View is a VM's copy of the lists, kept up to date by Deltas. It is not safe for
// concurrent use.
type View struct {
	version    uint64
	customers  map[string]Customer
	allowances map[string]Allowance
}

// NewView returns an empty copy.
func NewView() *View {
	return &View{customers: map[string]Customer{}, allowances: map[string]Allowance{}}
}

// Version returns the version of the lists that the copy holds.
func (v *View) Version() uint64 { return v.version }

// ErrGap is returned for a Delta that starts after the copy's version.
var ErrGap = errors.New("plan: delta does not follow this copy")

// Apply applies an encoded Delta. A Delta that ends at or before the copy's version
// is ignored: it is delayed or comes from a VM that lags, and would restore old
// rows. The error is ErrGap or a decoding error.
func (v *View) Apply(data []byte) error {
	var d Delta
	if err := cbor.Unmarshal(data, &d); err != nil {
		return err
	}
	switch {
	case d.To <= v.version:
		return nil
	case d.Full:
		clear(v.customers)
		clear(v.allowances)
	case d.From > v.version:
		return ErrGap
	}
	for _, row := range d.Customers {
		v.customers[row.Workspace] = row.Customer
	}
	for _, row := range d.Allowances {
		v.allowances[row.Plan] = row.Allowance
	}
	for _, name := range d.RemovedCustomers {
		delete(v.customers, name)
	}
	for _, name := range d.RemovedAllowances {
		delete(v.allowances, name)
	}
	v.version = d.To
	return nil
}

// Directory returns an index of the copy that does not change with it.
func (v *View) Directory() *Directory {
	return NewDirectory(v.version, slices.Collect(maps.Values(v.customers)), slices.Collect(maps.Values(v.allowances)))
}
