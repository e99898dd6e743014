// Package result defines the result codes that callers and operators receive. A test
// compares Table with docs/RESULT-CODES.md.
package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Ran states whether a call that ended in an error was executed. RanNo is a guarantee: the
// call did not run and will not run later.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is a result code from docs/RESULT-CODES.md. Codes are never reused.
type Code int

// Codes 1xxx: the request is invalid. A retry of the unchanged request fails again.
const (
	MalformedBody     Code = 1001
	BodyTooLarge      Code = 1002
	InvalidField      Code = 1003
	UnknownModel      Code = 1004
	Unauthorized      Code = 1005
	NotFound          Code = 1006
	BadLastEventID    Code = 1007
	PrefixMismatch    Code = 1008
	KeyReused         Code = 1009
	KeyRequired       Code = 1010
	InvalidKey        Code = 1011
	ModelNotInPlan    Code = 1012
	ServiceNotInPlan  Code = 1013
	MethodNotAllowed  Code = 1014
	KeyExpired        Code = 1015
	VersionConflict   Code = 1016
	VersionRequired   Code = 1017
	InvalidPlan       Code = 1018
	PlanInUse         Code = 1019
	UnknownPlan       Code = 1020
	RequestTooCostly  Code = 1021
	AdapterNotServed  Code = 1022
	UnsupportedHeader Code = 1023
	InvalidRouteList  Code = 1024
	RouteListConflict Code = 1025
	NoRoute           Code = 1026
	RequestTooSlow    Code = 1027
	HeaderTooLarge    Code = 1028
	InvalidRollout    Code = 1029
	RolloutUnderWay   Code = 1030
	UnknownService    Code = 1031
	NoRollout         Code = 1032
	InvalidCordon     Code = 1033
	CordonRefused     Code = 1034
	NoCordon          Code = 1035
	InvalidReconnect  Code = 1036
)

// Codes 2xxx: the request exceeds the plan's allowance at this time.
const (
	TokensExhausted   Code = 2001
	RequestsExhausted Code = 2002
	ConcurrencyLimit  Code = 2003
)

// Codes 3xxx: the system is overloaded or not ready. A later retry may succeed.
const (
	QueueFull            Code = 3001
	DeadlineTooSoon      Code = 3002
	DeadlinePassed       Code = 3003
	NotFresh             Code = 3004
	NoBackendServer      Code = 3005
	ShuttingDown         Code = 3006
	ControlUnavail       Code = 3007
	KeepersUnavail       Code = 3008
	WorkspaceBacklog     Code = 3010
	CallRunning          Code = 3011
	ClaimsFull           Code = 3012
	KeepersFull          Code = 3013
	NoRouteList          Code = 3014
	BackendsFull         Code = 3015
	RetriesSpent         Code = 3016
	ContentHeldBack      Code = 3017
	LargerThanEngine     Code = 3018
	BackendsWithheld     Code = 3019
	Overloaded           Code = 3020
	VMOverloaded         Code = 3021
	NotSentInTime        Code = 3022
	NoServerReached      Code = 3023
	StreamVersionUnknown Code = 3024
	StreamVersionGone    Code = 3025
)

// Codes 4xxx: a failure occurred after the request was accepted.
const (
	JournalLost     Code = 4001
	PoisonRequest   Code = 4002
	OutcomeUnknown  Code = 4003
	BackendFailed   Code = 4004
	InvariantBroken Code = 4005
	CallerGone      Code = 4007
	AnswerNotKept   Code = 4008
	CallNotSent     Code = 4009
	RouteTimeout    Code = 4010
	StreamBroken    Code = 4011
	CallerTooSlow   Code = 4012
)

// Internal is the code of internal errors without a more specific code.
const Internal Code = 5000

// Row is the definition of one code: its name, HTTP status and defaults of an Error.
type Row struct {
	Code    Code
	Name    string
	Status  int
	Ran     Ran
	Message string
}

// Error is an error with a result code. It is sent to the caller as JSON.
type Error struct {
	Code       Code
	Message    string
	RequestID  string
	Ran        Ran
	RetryAfter time.Duration
}

// New returns an Error with the code's defaults in Table.
func New(code Code) *Error {
	row := Lookup(code)
	return &Error{Code: code, Message: row.Message, Ran: row.Ran}
}

// Newf is like New, with a formatted message instead of the default.
func Newf(code Code, format string, args ...any) *Error {
	e := New(code)
	e.Message = fmt.Sprintf(format, args...)
	return e
}

// WithRetryAfter sets the delay after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithRan overrides the code's default of Ran, and returns e.
func (e *Error) WithRan(r Ran) *Error {
	e.Ran = r
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, Lookup(e.Code).Name, e.Message)
}

// Is implements the comparison of errors.Is: errors with the same code are equal.
func (e *Error) Is(target error) bool {
	var t *Error
	return errors.As(target, &t) && t.Code == e.Code
}

// From returns the Error in err's chain. If there is none, it returns an Error with the code
// Internal and the text of err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Newf(Internal, "%v", err)
}

// CodeOf returns the code of the Error in err's chain, or Internal.
func CodeOf(err error) Code { return From(err).Code }

type body struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// MarshalJSON implements json.Marshaler in the format of docs/RESULT-CODES.md.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(body{
		Code: e.Code, Name: Lookup(e.Code).Name, Message: e.Message,
		RequestID: e.RequestID, Ran: e.Ran, RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
}

// UnmarshalJSON implements json.Unmarshaler in the format of docs/RESULT-CODES.md.
func (e *Error) UnmarshalJSON(data []byte) error {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return err
	}
	*e = Error{
		Code: b.Code, Message: b.Message, RequestID: b.RequestID, Ran: b.Ran,
		RetryAfter: time.Duration(b.RetryAfterMS) * time.Millisecond,
	}
	return nil
}
