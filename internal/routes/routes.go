// Package routes is the aggregate of the route list: which host and path leads
// to which service, what may be repeated there, the services' limits, and the
// workspaces with their keys. One list is in force at a time; the highest
// version wins, and a list is checked whole before it is taken. The package is
// pure; its Part is state of the control group, and Table answers lookups.
package routes

import "time"

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds. The numbers are on disk.
const (
	Once       Kind = 0 // non-idempotent: at most one run an attempt
	Idempotent Kind = 1
	Stream     Kind = 2 // server-sent events; repeatable only where Resumable
)

// Target is one service that a route leads to, with its share of the requests.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route leads requests of a host and path prefix to services.
type Route struct {
	Name    string   `cbor:"1,keyasint"`
	Host    string   `cbor:"2,keyasint"`
	Prefix  string   `cbor:"3,keyasint"`
	Kind    Kind     `cbor:"4,keyasint"`
	Targets []Target `cbor:"5,keyasint"`
	// Resumable streams may go on at another engine behind the last event.
	Resumable bool `cbor:"6,keyasint,omitempty"`
	// Public requests need no key.
	Public bool `cbor:"7,keyasint,omitempty"`
	// Timeout is the longest a caller is kept waiting for the whole answer.
	Timeout time.Duration `cbor:"8,keyasint"`
	// Objective is the time to the answer, or to a stream's first event.
	Objective time.Duration `cbor:"9,keyasint,omitempty"`
	// PauseObjective is the longest pause between two events.
	PauseObjective time.Duration `cbor:"10,keyasint,omitempty"`
	Priority       int           `cbor:"11,keyasint"` // 0 is the highest
	// MaxAttempts is how many engines one request may run on.
	MaxAttempts int `cbor:"12,keyasint"`
}

// Repeatable reports whether a second run of a request does no harm.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// EngineTraits are what a model engine of a service declares.
type EngineTraits struct {
	Slots      int  `cbor:"1,keyasint"`           // requests in one batch
	KVTokens   int  `cbor:"2,keyasint"`           // memory, in tokens
	KeepCopies bool `cbor:"3,keyasint,omitempty"` // keeps copies of other engines' runs
	// CopiesOnOrder: a run's memory can be copied while it goes on. CopyLife is how
	// long such a copy is kept.
	CopiesOnOrder bool          `cbor:"4,keyasint,omitempty"`
	CopyLife      time.Duration `cbor:"5,keyasint,omitempty"`
}

// Service is a group of equal backend servers.
type Service struct {
	Name       string        `cbor:"1,keyasint"`
	HealthPath string        `cbor:"2,keyasint,omitempty"`
	MaxConns   int           `cbor:"3,keyasint,omitempty"` // of one backend server, from all VMs
	Engine     *EngineTraits `cbor:"4,keyasint,omitempty"` // nil: a plain service
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string   `cbor:"1,keyasint"`
	Keys     []string `cbor:"2,keyasint"`
	Priority *int     `cbor:"3,keyasint,omitempty"` // goes before the route's
}

// Limits bound what a caller may send. Zero: the default.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty"`
}

// List is one version of the whole.
type List struct {
	Version    uint64      `cbor:"1,keyasint"`
	Routes     []Route     `cbor:"2,keyasint"`
	Services   []Service   `cbor:"3,keyasint"`
	Workspaces []Workspace `cbor:"4,keyasint"`
	// Keyed says that the list names workspaces: requests need a key.
	Keyed  bool   `cbor:"5,keyasint,omitempty"`
	Limits Limits `cbor:"6,keyasint"`
	// Source is the operator's own text, given back on a read. VMs that only
	// route do not get it.
	Source []byte `cbor:"7,keyasint,omitempty"`
}
