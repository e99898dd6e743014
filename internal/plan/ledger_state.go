package plan

import "github.com/fxamacker/cbor/v2"

// Version implements control.Part. Nobody watches the ledger: a router learns
// what concerns it in the reply to its own message.
func (l *Ledger) Version() uint64 { return 0 }

// Changes implements control.Part.
func (l *Ledger) Changes(uint64) []byte { return nil }

type ledgerSnapshot struct {
	Accounts     map[string]*account     `cbor:"1,keyasint"`
	Incarnations map[string]*incarnation `cbor:"2,keyasint"`
	Windows      uint64                  `cbor:"3,keyasint"`
	SweptMS      int64                   `cbor:"4,keyasint"`
}

// sorted encodes maps in order, so that equal states have equal snapshots.
var sorted = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Snapshot implements control.Part.
func (l *Ledger) Snapshot() ([]byte, error) {
	return sorted.Marshal(ledgerSnapshot{l.accounts, l.incarnations, l.windows, l.sweptMS})
}

// Restore implements control.Part.
func (l *Ledger) Restore(data []byte) error {
	s := ledgerSnapshot{Accounts: map[string]*account{}, Incarnations: map[string]*incarnation{}}
	if err := cbor.Unmarshal(data, &s); err != nil {
		return err
	}
	for _, a := range s.Accounts {
		if a.Holdings == nil {
			a.Holdings = map[string]*holding{}
		}
	}
	l.accounts, l.incarnations, l.windows, l.sweptMS = s.Accounts, s.Incarnations, s.Windows, s.SweptMS
	return nil
}

// Use is how much of a workspace's allowance is in use, for operators.
type Usage struct {
	Workspace   string `cbor:"1,keyasint" json:"workspace"`
	WindowEndMS int64  `cbor:"2,keyasint" json:"window_end_ms"` // by the group's clock
	Limit       Amount `cbor:"3,keyasint" json:"limit"`
	Spent       Amount `cbor:"4,keyasint" json:"spent"`
	Outstanding Amount `cbor:"5,keyasint" json:"outstanding"`
	Slots       int    `cbor:"6,keyasint" json:"concurrent_granted"`
	SlotLimit   int    `cbor:"7,keyasint" json:"concurrent_limit"`
	VMs         int    `cbor:"8,keyasint" json:"vms"`
}

// Use returns a workspace's use in the window last opened.
func (l *Ledger) Usage(workspace string) Usage {
	limit, _ := l.book.lookup(workspace)
	u := Usage{Workspace: workspace, Limit: limit.Limit(), SlotLimit: limit.Concurrent}
	a := l.accounts[workspace]
	if a == nil {
		return u
	}
	u.WindowEndMS, u.Slots, u.VMs = a.EndMS, a.Slots, len(a.Holdings)
	u.Outstanding = a.outstanding()
	u.Spent = a.Committed.Minus(u.Outstanding)
	return u
}
