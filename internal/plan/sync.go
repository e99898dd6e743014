package plan

// Amount is a quantity of what a window limits.
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

func (a Amount) most(b Amount) Amount {
	return Amount{max(a.Tokens, b.Tokens), max(a.Requests, b.Requests)}
}

// Limit is what the allowance admits in a window.
func (a *Allowance) Limit() Amount { return Amount{a.TokensPerWindow, a.RequestsPerWindow} }

// Sync is the one message of a router about all its grants. Seq counts the
// messages of an incarnation from 1: a repeated one gets its first reply, so a
// router resends the same message until it is answered, and only then makes the
// next. Figures are cumulative over the window, so that no loss can skew them.
type Sync struct {
	VM          string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Accounts    []AccountSync `cbor:"4,keyasint,omitempty"`
}

// AccountSync is a router's report and wish for one workspace.
type AccountSync struct {
	Workspace string `cbor:"1,keyasint"`
	Window    uint64 `cbor:"2,keyasint,omitempty"` // that Spent and Returned belong to
	Spent     Amount `cbor:"3,keyasint"`           // settled use
	Returned  Amount `cbor:"4,keyasint"`           // given back; the router must not use it again
	Reserved  Amount `cbor:"10,keyasint"`          // for running requests, of what it holds
	Need      Amount `cbor:"5,keyasint"`           // for requests that wait now
	MinTokens int64  `cbor:"11,keyasint"`          // tokens without which no waiting request can go
	Want      Amount `cbor:"6,keyasint"`           // Need and what is expected until the next message
	SlotsKeep int    `cbor:"7,keyasint,omitempty"` // concurrency it goes on holding; the rest is given back
	SlotsNeed int    `cbor:"8,keyasint,omitempty"` // in use and waiting
	SlotsWant int    `cbor:"9,keyasint,omitempty"`
}

// SyncStatus says whether a Sync was taken.
type SyncStatus uint8

// The statuses.
const (
	SyncOK SyncStatus = iota
	// SyncStale: a later message of the incarnation was already taken.
	SyncStale
	// SyncDead: the incarnation was silent for too long, or replaced. What it
	// held is lost to it; the VM goes on under a new incarnation.
	SyncDead
	// SyncRefused: the message contradicts what was granted.
	SyncRefused
)

// SyncReply answers a Sync.
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
	RemainingMS int64  `cbor:"3,keyasint"` // of the window, by the group's clock
	Granted     Amount `cbor:"4,keyasint"` // cumulative in the window
	Left        Amount `cbor:"5,keyasint"` // granted to nobody
	Outstanding Amount `cbor:"6,keyasint"` // granted to any VM and not yet spent
	Slots       int    `cbor:"7,keyasint"` // concurrency the VM holds now
	SlotsLeft   int    `cbor:"8,keyasint"`
	Spent       Amount `cbor:"9,keyasint"` // as the VM last reported
	Returned    Amount `cbor:"10,keyasint"`
	// Over: more is committed than the allowance, which was lowered. Nothing held
	// may be handed out; all that is not in use goes back. Each limit by itself: a
	// workspace without tokens may still book.
	OverTokens   bool `cbor:"11,keyasint,omitempty"`
	OverRequests bool `cbor:"13,keyasint,omitempty"`
	OverSlots    bool `cbor:"12,keyasint,omitempty"` // the same of concurrency
}
