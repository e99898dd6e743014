package scheduler

import (
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/enginespeed"
	"github.com/amaranthshelf/amaranthshelf/internal/overload"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
)

// Server is an engine from the list of backend servers.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int // concurrent runs and copies; 0: not stated
	Version string
}

// Stream is a stream's request for an engine.
type Stream struct {
	ID       string `cbor:"1,keyasint"` // request ID
	Service  string `cbor:"2,keyasint"`
	KVTokens int    `cbor:"3,keyasint,omitempty"` // memory of one engine of the service; 0: not stated
	// Workspace owns the stream.
	Workspace string         `cbor:"4,keyasint,omitempty"`
	Need      placement.Need `cbor:"5,keyasint"`
	Priority  int            `cbor:"6,keyasint,omitempty"` // 0 is served first
	// Interrupted is set if the caller has received a part of the answer and waits for
	// the rest.
	Interrupted     bool     `cbor:"7,keyasint,omitempty"`
	ExcludedEngines []string `cbor:"8,keyasint,omitempty"` // engines that refused or lost it
	// WantsCopy is set if a backup copy of the run's memory in another zone can be used.
	WantsCopy bool `cbor:"9,keyasint,omitempty"`
	// CachedEngine probably still caches the prompt; empty: unknown.
	CachedEngine string `cbor:"10,keyasint,omitempty"`
	// EventsReceived is how many events the caller has received.
	EventsReceived int `cbor:"11,keyasint,omitempty"`
	// Versions restricts the stream to engines of these versions; empty: to those of Version,
	// or of any if that is empty too. Version is set as well if there is one version only, for
	// control VMs that know no list. VersionShare restricts all streams of Version to that
	// share of its engines, chosen by ID; 0: all of them.
	Versions     []string `cbor:"17,keyasint,omitempty"`
	Version      string   `cbor:"12,keyasint,omitempty"`
	VersionShare float64  `cbor:"13,keyasint,omitempty"`
	// Zone is the zone of the VM that relays the stream; empty: not stated.
	Zone string `cbor:"14,keyasint,omitempty"`
	// PauseMS is the longest pause between two events that the stream's route accepts, in
	// milliseconds; 0: not stated.
	PauseMS int64 `cbor:"16,keyasint,omitempty"`
	// Ranked is set if routes of streams lead to the service with different priorities.
	Ranked bool `cbor:"15,keyasint,omitempty"`

	// Not encoded: a VM is identified by its connection, and deadlines are on the local
	// clock.
	VM            string    `cbor:"-"` // relays the stream
	Due, Deadline time.Time `cbor:"-"`
	// FirstEventBy is until when the caller waits for the first event; zero: until Deadline.
	FirstEventBy time.Time `cbor:"-"`
}

// Outcome is the result of a decision.
type Outcome uint8

// The outcomes.
const (
	Waiting  Outcome = iota
	Granted          // the stream must be sent to Server now
	Refused          // it cannot be served before its deadline
	NoServer         // no known engine of the service may take it
	TooLarge         // it exceeds the memory of every engine
	Moved            // another control VM decides; the stream must be requested there
)

// Decision is the outcome for one waiting stream.
type Decision struct {
	Stream *Stream
	Answer
}

// Answer is the part of a Decision that is sent to the stream's VM.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Number identifies a grant and increases with each grant. A VM reports the last
	// number that it acted on.
	Number       uint64 `cbor:"2,keyasint,omitempty"`
	Server       string `cbor:"3,keyasint,omitempty"`
	BackupEngine string `cbor:"4,keyasint,omitempty"` // keeps the backup copy; empty: no copy for now
	// RetryAfter is set with Refused.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Term is the number of the term under which the answer was given; 0: none.
	Term uint64 `cbor:"6,keyasint,omitempty"`
	// Holder is the control VM that holds the term, or with Moved the one to ask. It may
	// be empty if the holder itself sends the answer.
	Holder string `cbor:"7,keyasint,omitempty"`
	// PauseMS is the longest pause between two events to expect on Server, in milliseconds; 0:
	// not known.
	PauseMS int64 `cbor:"9,keyasint,omitempty"`
	// Level is the refusal level of the stream's service; nil: no new streams are refused.
	Level *overload.Level `cbor:"8,keyasint,omitempty"`
}

// Report is what a VM reports about its own streams and about the engines.
type Report struct {
	Usage map[string]placement.Usage // by engine, of everything that the VM runs
	// LastGrant is the number of the last grant that Usage includes.
	LastGrant uint64
	// Avoid lists engines that the VM found unusable itself. Suspected lists engines that
	// it suspects because their neighbours failed. Alive lists engines that it heard from
	// just now.
	Avoid, Suspected, Alive []string
	// Withheld lists engines that the VM must not send any stream now.
	Withheld []string
	// EngineTimings holds what the VM measured on the engines of each service.
	EngineTimings map[string]EngineTiming
	// Speeds holds what the VM measured on engines since its last report, by engine.
	Speeds map[string]enginespeed.Observation
}
