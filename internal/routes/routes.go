// Package routes defines the route list: which host and path are routed to which service,
// which requests may be retried there, the limits for callers, and the workspaces with
// their keys. One list is in force at a time. The list with the highest version wins, and
// a list is accepted only if all of it is valid. The package does no I/O. Its StateMachine
// is part of the control group's replicated state, and Table serves lookups.
package routes

import "time"

// Kind states whether a request of a route may be executed more than once.
type Kind uint8

// The kinds. Their numbers are stored on disk.
const (
	Once       Kind = 0 // non-idempotent: an attempt is executed at most once
	Idempotent Kind = 1
	Stream     Kind = 2 // server-sent events; may be retried only if Resumable
)

// Target is one service of a route and the weight of its share of the requests.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  int    `cbor:"2,keyasint"`
}

// Route directs the requests with a host and path prefix to services.
type Route struct {
	Name    string   `cbor:"1,keyasint"`
	Host    string   `cbor:"2,keyasint"`
	Prefix  string   `cbor:"3,keyasint"`
	Kind    Kind     `cbor:"4,keyasint"`
	Targets []Target `cbor:"5,keyasint"`
	// Resumable streams may resume on another engine after the last event.
	Resumable bool `cbor:"6,keyasint,omitempty"`
	// Public requests need no key.
	Public bool `cbor:"7,keyasint,omitempty"`
	// Timeout bounds the time to the complete answer.
	Timeout time.Duration `cbor:"8,keyasint"`
	// Objective is the target for the time to the answer, or to a stream's first event.
	Objective time.Duration `cbor:"9,keyasint,omitempty"`
	// PauseObjective is the target for the longest pause between two events.
	PauseObjective time.Duration `cbor:"10,keyasint,omitempty"`
	Priority       int           `cbor:"11,keyasint"` // 0 is the highest
	// Patience is how long callers of a stream wait for its first event; 0: until the deadline.
	Patience time.Duration `cbor:"13,keyasint,omitempty"`
	// MaxAttempts is how many engines may execute one request.
	MaxAttempts int `cbor:"12,keyasint"`
}

// Repeatable reports whether a request of the route may be executed again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// EngineTraits are the capabilities of a service's model engines.
type EngineTraits struct {
	Slots      int  `cbor:"1,keyasint"`           // requests in one batch
	KVTokens   int  `cbor:"2,keyasint"`           // KV cache memory, in tokens
	KeepCopies bool `cbor:"3,keyasint,omitempty"` // can hold backup copies of other engines' runs
	// CopiesOnOrder reports that a run's memory can be copied on request while the run
	// continues. CopyLife is how long such a copy is kept.
	CopiesOnOrder bool          `cbor:"4,keyasint,omitempty"`
	CopyLife      time.Duration `cbor:"5,keyasint,omitempty"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string        `cbor:"1,keyasint"`
	HealthPath string        `cbor:"2,keyasint,omitempty"`
	MaxConns   int           `cbor:"3,keyasint,omitempty"` // to one backend server, from all VMs together
	Engine     *EngineTraits `cbor:"4,keyasint,omitempty"` // nil: the servers are not model engines
}

// Workspace is a customer and its API keys.
type Workspace struct {
	Name     string   `cbor:"1,keyasint"`
	Keys     []string `cbor:"2,keyasint"`
	Priority *int     `cbor:"3,keyasint,omitempty"` // overrides the route's; nil: it does not
}

// Limits bound the requests of callers. A zero field stands for the default.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty"`
}

// List is one version of the route list.
type List struct {
	Version    uint64      `cbor:"1,keyasint"`
	Routes     []Route     `cbor:"2,keyasint"`
	Services   []Service   `cbor:"3,keyasint"`
	Workspaces []Workspace `cbor:"4,keyasint"`
	// Keyed reports that the list names workspaces. Requests then need a key.
	Keyed  bool   `cbor:"5,keyasint,omitempty"`
	Limits Limits `cbor:"6,keyasint"`
	// Source is the operator's text, which is returned on a read. It is not sent to VMs
	// that only route.
	Source []byte `cbor:"7,keyasint,omitempty"`
}
