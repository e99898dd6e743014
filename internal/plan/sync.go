package plan

// Amount is a quantity in both dimensions that a window limits.
type Amount struct {
	Tokens   int64 `cbor:"1,keyasint,omitempty" json:"tokens"`
	Requests int64 `cbor:"2,keyasint,omitempty" json:"requests"`
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Tokens + b.Tokens, a.Requests + b.Requests} }

// Minus returns a - b.
func (a Amount) Minus(b Amount) Amount { return Amount{a.Tokens - b.Tokens, a.Requests - b.Requests} }

// Within reports whether a fits into b in both dimensions.
func (a Amount) Within(b Amount) bool { return a.Tokens <= b.Tokens && a.Requests <= b.Requests }

func (a Amount) maximum(b Amount) Amount {
	return Amount{max(a.Tokens, b.Tokens), max(a.Requests, b.Requests)}
}

// Limit returns what the allowance admits in one window.
func (a *Allowance) Limit() Amount { return Amount{a.TokensPerWindow, a.RequestsPerWindow} }

// Sync is a router's message to the ledger about all its grants. Seq numbers the
// messages of an incarnation from 1. A repeated message gets its first reply. A
// router repeats a message until it is answered, and only then composes the next.
// Amounts are cumulative over the window, so lost messages cannot falsify them.
type Sync struct {
	VM          string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Accounts    []AccountSync `cbor:"4,keyasint,omitempty"`
}

// AccountSync is a router's report and request for one workspace.
type AccountSync struct {
	Workspace string `cbor:"1,keyasint"`
	Window    uint64 `cbor:"2,keyasint,omitempty"` // to which Spent and Returned belong
	Spent     Amount `cbor:"3,keyasint"`           // by requests that have ended
	Returned  Amount `cbor:"4,keyasint"`           // to the ledger; the router must not use it again
	Reserved  Amount `cbor:"10,keyasint"`          // for running requests, out of what it holds
	Need      Amount `cbor:"5,keyasint"`           // for requests that wait now, beyond what it holds
	MinTokens int64  `cbor:"11,keyasint"`          // tokens that the cheapest waiting request needs beyond what is held
	Want      Amount `cbor:"6,keyasint"`           // Need plus the expected use until the next message
	SlotsKeep int    `cbor:"7,keyasint,omitempty"` // concurrency that it keeps; the rest is returned
	SlotsNeed int    `cbor:"8,keyasint,omitempty"` // concurrency for running and waiting requests
	SlotsWant int    `cbor:"9,keyasint,omitempty"` // SlotsNeed plus the expected use until the next message
}

// SyncStatus is the outcome of a Sync.
type SyncStatus uint8

// The statuses.
const (
	SyncOK SyncStatus = iota
	// SyncStale means that a later message of the incarnation was already applied.
	SyncStale
	// SyncDead means that the incarnation was silent for too long or was replaced.
	// Its grants are lost, and the VM continues under a new incarnation.
	SyncDead
	// SyncRefused means that the message could not be decoded or contradicts what
	// was granted.
	SyncRefused
)

// SyncReply is the ledger's reply to a Sync.
type SyncReply struct {
	Status   SyncStatus     `cbor:"1,keyasint,omitempty"`
	Seq      uint64         `cbor:"2,keyasint"`
	Accounts []AccountGrant `cbor:"3,keyasint,omitempty"`
	Message  string         `cbor:"4,keyasint,omitempty"`
}

// AccountGrant is what a VM holds of one workspace's allowance.
type AccountGrant struct {
	Workspace   string `cbor:"1,keyasint"`
	Window      uint64 `cbor:"2,keyasint"`
	RemainingMS int64  `cbor:"3,keyasint"` // until the end of the window, by the group's clock
	Granted     Amount `cbor:"4,keyasint"` // cumulative in the window
	Left        Amount `cbor:"5,keyasint"` // granted to no VM
	Outstanding Amount `cbor:"6,keyasint"` // granted to any VM and not yet spent
	Slots       int    `cbor:"7,keyasint"` // concurrency that the VM holds now
	SlotsLeft   int    `cbor:"8,keyasint"`
	Spent       Amount `cbor:"9,keyasint"` // as the VM last reported
	Returned    Amount `cbor:"10,keyasint"`
	// OverTokens, OverRequests and OverSlots report that more is committed than the
	// allowance, which was lowered. The VM must not reserve any of its grants and
	// returns those that are not in use. Each limit is separate: a workspace that
	// is over its tokens may still send calls that need none.
	OverTokens   bool `cbor:"11,keyasint,omitempty"`
	OverRequests bool `cbor:"13,keyasint,omitempty"`
	OverSlots    bool `cbor:"12,keyasint,omitempty"` // for concurrency
}
