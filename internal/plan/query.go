package plan

// Query is an operator's question about the lists. Exactly one row is asked for
// where Name is given.
type Query struct {
	Allowances bool   `cbor:"1,keyasint,omitempty"` // the second list, else the first
	Name       string `cbor:"2,keyasint,omitempty"`
	History    bool   `cbor:"3,keyasint,omitempty"`
}

// Answer is the state at one moment. Version is that of the lists.
type Answer struct {
	Version    uint64         `cbor:"1,keyasint"`
	Customers  []CustomerRow  `cbor:"2,keyasint,omitempty"`
	Allowances []AllowanceRow `cbor:"3,keyasint,omitempty"`
	Usage      Usage          `cbor:"4,keyasint"` // of the workspace asked for
	History    []Change       `cbor:"5,keyasint,omitempty"`
}

// Ask answers a query.
func (b *Registry) Ask(q Query, l *Ledger) Answer {
	out := Answer{Version: b.version}
	switch {
	case q.History:
		out.History = b.History(!q.Allowances, q.Name)
	case q.Name == "" && q.Allowances:
		out.Allowances = b.Allowances()
	case q.Name == "":
		out.Customers = b.Customers()
	case q.Allowances:
		if row, ok := b.Allowance(q.Name); ok {
			out.Allowances = []AllowanceRow{row}
		}
	default:
		if row, ok := b.Customer(q.Name); ok {
			out.Customers = []CustomerRow{row}
			out.Usage = l.Usage(q.Name)
		}
	}
	return out
}
