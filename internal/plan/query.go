package plan

// Query is an operator's query of the lists. With a Name it selects one row,
// otherwise all rows of a list.
type Query struct {
	Allowances bool   `cbor:"1,keyasint,omitempty"` // selects the allowances rather than the customers
	Name       string `cbor:"2,keyasint,omitempty"`
	History    bool   `cbor:"3,keyasint,omitempty"` // selects the changes of the row
}

// Answer is the result of a Query. Version is the version of the lists that it was
// read from.
type Answer struct {
	Version    uint64         `cbor:"1,keyasint"`
	Customers  []CustomerRow  `cbor:"2,keyasint,omitempty"`
	Allowances []AllowanceRow `cbor:"3,keyasint,omitempty"`
	Usage      Usage          `cbor:"4,keyasint"` // of the selected workspace
	History    []Change       `cbor:"5,keyasint,omitempty"`
}

// Ask answers a query.
func (r *Registry) Ask(q Query, l *Ledger) Answer {
	out := Answer{Version: r.version}
	switch {
	case q.History:
		out.History = r.History(!q.Allowances, q.Name)
	case q.Name == "" && q.Allowances:
		out.Allowances = r.Allowances()
	case q.Name == "":
		out.Customers = r.Customers()
	case q.Allowances:
		if row, ok := r.Allowance(q.Name); ok {
			out.Allowances = []AllowanceRow{row}
		}
	default:
		if row, ok := r.Customer(q.Name); ok {
			out.Customers = []CustomerRow{row}
			out.Usage = l.Usage(q.Name)
		}
	}
	return out
}
