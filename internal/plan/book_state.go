package plan

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Delta is a change of the lists from one version to another: the rows written
// in between as they are now, and the names of those removed. Whole replaces
// the receiver's lists.
type Delta struct {
	From              uint64         `cbor:"1,keyasint"`
	To                uint64         `cbor:"2,keyasint"`
	Full              bool           `cbor:"3,keyasint,omitempty"`
	Customers         []CustomerRow  `cbor:"4,keyasint,omitempty"`
	Allowances        []AllowanceRow `cbor:"5,keyasint,omitempty"`
	RemovedCustomers  []string       `cbor:"6,keyasint,omitempty"`
	RemovedAllowances []string       `cbor:"7,keyasint,omitempty"`
}

// Version implements control.Part.
func (b *Registry) Version() uint64 { return b.version }

// Changes implements control.Part. The history says which rows changed; where
// it does not reach back far enough the whole lists go out.
func (b *Registry) Changes(since uint64) []byte {
	if since > b.version || b.version-since > uint64(len(b.history)) {
		return encode(b.whole(since))
	}
	d := Delta{From: since, To: b.version}
	type rowName struct {
		customer bool
		name     string
	}
	seen := map[rowName]bool{}
	for _, c := range b.history[len(b.history)-int(b.version-since):] {
		customer := c.Action == SetCustomer || c.Action == RemoveCustomer
		row := rowName{customer, c.Name}
		if seen[row] {
			continue
		}
		seen[row] = true
		if customer {
			d.addCustomer(b, c.Name)
		} else {
			d.addAllowance(b, c.Name)
		}
	}
	return encode(d)
}

func (d *Delta) addCustomer(b *Registry, name string) {
	if row, ok := b.customers[name]; ok {
		d.Customers = append(d.Customers, row)
		return
	}
	d.RemovedCustomers = append(d.RemovedCustomers, name)
}

func (d *Delta) addAllowance(b *Registry, name string) {
	if row, ok := b.allowances[name]; ok {
		d.Allowances = append(d.Allowances, row)
		return
	}
	d.RemovedAllowances = append(d.RemovedAllowances, name)
}

func (b *Registry) whole(since uint64) Delta {
	return Delta{From: since, To: b.version, Full: true, Customers: b.Customers(), Allowances: b.Allowances()}
}

// Customers is the first list in order of workspace.
func (b *Registry) Customers() []CustomerRow {
	return slices.SortedFunc(maps.Values(b.customers), func(x, y CustomerRow) int { return cmp.Compare(x.Workspace, y.Workspace) })
}

// Allowances is the second list in order of plan.
func (b *Registry) Allowances() []AllowanceRow {
	return slices.SortedFunc(maps.Values(b.allowances), func(x, y AllowanceRow) int { return cmp.Compare(x.Plan, y.Plan) })
}

// Customer returns a row of the first list.
func (b *Registry) Customer(workspace string) (CustomerRow, bool) {
	row, ok := b.customers[workspace]
	return row, ok
}

// Allowance returns a row of the second list.
func (b *Registry) Allowance(plan string) (AllowanceRow, bool) {
	row, ok := b.allowances[plan]
	return row, ok
}

// History returns the kept changes of one row, newest first.
func (b *Registry) History(customers bool, name string) []Change {
	out := []Change{}
	for _, c := range slices.Backward(b.history) {
		ofCustomers := c.Action == SetCustomer || c.Action == RemoveCustomer
		if c.Name == name && ofCustomers == customers {
			out = append(out, c)
		}
	}
	return out
}

type bookSnapshot struct {
	Version    uint64         `cbor:"1,keyasint"`
	Customers  []CustomerRow  `cbor:"2,keyasint"`
	Allowances []AllowanceRow `cbor:"3,keyasint"`
	Answers    []answer       `cbor:"4,keyasint"`
	History    []Change       `cbor:"5,keyasint"`
}

// Snapshot implements control.Part.
func (b *Registry) Snapshot() ([]byte, error) {
	s := bookSnapshot{Version: b.version, Customers: b.Customers(), Allowances: b.Allowances(), History: b.history}
	for _, k := range b.answerKeys {
		s.Answers = append(s.Answers, b.answers[k])
	}
	return cbor.Marshal(s)
}

// Restore implements control.Part.
func (b *Registry) Restore(data []byte) error {
	var s bookSnapshot
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
	for _, a := range s.Answers {
		next.remember(a)
	}
	*b = *next
	return nil
}

// View is a VM's copy of the lists, brought forward by Deltas.
type View struct {
	version    uint64
	customers  map[string]Customer
	allowances map[string]Allowance
}

// NewView returns an empty copy.
func NewView() *View {
	return &View{customers: map[string]Customer{}, allowances: map[string]Allowance{}}
}

// Version is the version of the lists that the copy holds.
func (v *View) Version() uint64 { return v.version }

// ErrGap is returned for a Delta that begins after the copy's version.
var ErrGap = errors.New("plan: delta does not follow this copy")

// Take applies an encoded Delta. One that ends at or before the copy's version
// is ignored: it came late, from a VM that lags, and would bring old rows back.
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

// Directory indexes the copy.
func (v *View) Directory() *Directory {
	return NewDirectory(v.version, slices.Collect(maps.Values(v.customers)), slices.Collect(maps.Values(v.allowances)))
}
