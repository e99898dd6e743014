// Package forward carries a routed request to a backend server and the answer back to
// the caller, unparsed and unchanged. Calls run once or may be retried. Streams are
// resumed at another engine if theirs dies.
//
// SendHistory alone decides whether a request may be sent again, and Budget how often.
package forward

import (
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Caller is what a caller states about its request in headers.
type Caller struct {
	RequestID string
	Key       string        // API key of a workspace; empty: none
	Deadline  time.Duration // how long the caller waits; 0: not stated
	After     uint64        // id of the last event that the caller has, valid if HasAfter
	HasAfter  bool
	// FirstAttempt is the RequestID of the attempt that brought the first event of the
	// stream that the caller takes up; empty: not stated.
	FirstAttempt string
	// ReconnectFault says why the headers that name the stream to which the caller reconnects cannot be
	// read; empty: they can. They matter on routes of streams only.
	ReconnectFault string
	PromptTokens   int // 0: not stated
	OutputTokens   int // at most; 0: not stated
}

// Copy identifies a copy of a run's memory to engines by an address and an id that is
// valid there. The id is that of the request whose run was copied, or of the copy.
type Copy struct {
	Address string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// Send is what the system states in headers about one send of a request.
type Send struct {
	Deadline   time.Duration
	Instance   string // the incarnation that is addressed; any other must refuse
	Workspace  string
	Priority   int // 0 is the highest
	After      uint64
	HasAfter   bool
	CopyTo     string // address of the backup engine; empty: none
	ResumeFrom *Copy  // copy to resume from; nil: none
}

// Answer is what a backend server states in headers about its answer.
type Answer struct {
	RequestID string // of the request that it answers; empty: not stated
	Signed    bool
	// NotRun states that the server did not run the request and never will.
	NotRun bool
	// WrongInstance is set if another incarnation answers at this address.
	WrongInstance bool
	// Load is the server's load; nil: not stated. LoadUnreadable is set if the server states
	// one that cannot be read.
	Load           *upstream.Load
	LoadUnreadable bool
	// Instance is the incarnation that answers; empty: not stated.
	Instance string
	// Statement is what the server states about the requests that it accepts.
	Statement backpressure.Statement
}

// statementOf returns the statement of an answer from a server. It returns false if the
// answer may come from elsewhere: another incarnation that holds the address, or something
// between this VM and the server.
//
// A refusal has no signature. It is the server's all the same, since each request names the
// incarnation that it is for and any other refuses it as WrongInstance. A refusal that
// states no limit does not end one, because servers refuse before they look at their state.
func (a *Answer) statementOf(server string) (backpressure.Statement, bool) {
	st := a.Statement
	if !a.Signed && st.Limit.Kind == backpressure.LimitAbsent {
		st.Limit.Kind = backpressure.LimitUnknown
	}
	if !a.Signed && st.Rejections.Kind == backpressure.LimitAbsent {
		st.Rejections.Kind = backpressure.LimitUnknown
	}
	fromServer := a.Instance == server || a.Instance == "" && (a.Signed || a.NotRun)
	return st, fromServer && !a.WrongInstance
}

// Report is the answer of an engine to a probe.
type Report struct {
	// Made is the number of events that each run has made, by request id.
	Made map[string]int
	// Complete is set if Made lists all runs of the engine, including those that wait.
	Complete bool
	// BornMS is when the engine started, as in upstream.Backend; 0: not stated.
	BornMS int64
}

// Wire translates between this package's types and the headers and calls in use.
type Wire interface {
	// ReadCaller reads the headers of a caller.
	ReadCaller(h http.Header) (Caller, error)
	// SetSendHeaders writes s into the headers of a request to an engine. It first removes
	// the headers that only the system may set.
	SetSendHeaders(h http.Header, s Send)
	// SetInstance writes the incarnation that a probe is for; any other must refuse it.
	SetInstance(h http.Header, instance string)
	// SetDeadline writes how long a caller waits, as ReadCaller reads it.
	SetDeadline(h http.Header, left time.Duration)
	// SetReconnect writes the last event that a caller has and the attempt that brought the first
	// one, as ReadCaller reads them.
	SetReconnect(h http.Header, after uint64, firstAttempt string)
	// PerAttemptHeaders returns the names, in canonical form, of the headers that differ
	// between the attempts of a request.
	PerAttemptHeaders() []string
	// ReadAnswer reads the headers of a backend server's answer.
	ReadAnswer(status int, h http.Header) Answer
	// ReportURI is the path of an engine's report, which ReadReport decodes.
	ReportURI() string
	ReadReport(body []byte) (Report, error)
	// CopyOrder returns the call that has an engine copy the memory of one of its runs to
	// another engine. ReadCopy reads the name of the copy from the answer; empty: none was
	// made.
	CopyOrder(requestID, to string) (method, uri string, body []byte)
	ReadCopy(status int, body []byte) string
	// CopyDrop returns the call that has an engine drop a copy that it made on order.
	CopyDrop(name string) (method, uri string)
	// RetryAfter returns the value of the Retry-After header for a wait.
	RetryAfter(d time.Duration) string
}
