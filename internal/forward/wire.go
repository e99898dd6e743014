// Package forward carries a routed request to a backend server and its answer
// back to the caller, unread and unchanged: calls, which run once or may be
// repeated, and streams, which go on at another engine when theirs dies.
//
// What may be sent again is decided by Record alone, and how often by Budget.
package forward

import (
	"net/http"
	"time"
)

// Caller is what a caller says about its request beside the request itself.
type Caller struct {
	RequestID    string
	Key          string        // of a workspace; empty: none
	Deadline     time.Duration // how long the caller waits; 0: not said
	After        uint64        // last event that the caller has, where HasAfter
	HasAfter     bool
	PromptTokens int // tokens; 0: not said
	OutputTokens int // tokens at most
}

// Copy names a copy of a run's memory as engines know it: an address and an id
// there, of the request whose run it is or of the copy itself.
type Copy struct {
	Address string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// Send is what the system tells a backend server about one send of a request.
type Send struct {
	Deadline   time.Duration
	Instance   string // the incarnation that is meant; any other must refuse
	Workspace  string
	Priority   int // 0 is the first
	After      uint64
	HasAfter   bool
	CopyTo     string // address of the engine that is to keep a copy
	ResumeFrom *Copy  // go on from this copy
}

// Answer is what a backend server's headers say about its answer.
type Answer struct {
	RequestID string // of the request that it answers; empty: not said
	Signed    bool
	// NotRun is the server's word that the request did not and will not run.
	NotRun bool
	// Moved: another incarnation answers at this address.
	WrongInstance bool
	// Load is how many requests run and wait there; -1: not said.
	Load int
}

// Report is what an engine says of itself when it is asked.
type Report struct {
	// Made is how many events each run has made, by request id.
	Made map[string]int
	// Complete: Made names all that the engine has, what waits there included.
	Complete bool
}

// Wire translates between the project's terms and the headers in use.
type Wire interface {
	// Caller reads a caller's headers.
	ReadCaller(h http.Header) (Caller, error)
	// Engine puts s into the headers of a request on its way to an engine. It
	// first takes out what only the system may say there.
	SetSendHeaders(h http.Header, s Send)
	// PerAttempt are the headers, in canonical form, that differ between two attempts
	// of one request.
	PerAttemptHeaders() []string
	// Answer reads the headers of a backend server's answer.
	ReadAnswer(status int, h http.Header) Answer
	// ReportURI is where an engine reports, and ReadReport decodes it.
	ReportURI() string
	ReadReport(body []byte) (Report, error)
	// CopyOrder is the call that has an engine copy the memory of a run of its own to
	// another engine, and ReadCopy the name that the copy has there; "": none was made.
	CopyOrder(requestID, to string) (method, uri string, body []byte)
	ReadCopy(status int, body []byte) string
	// CopyDrop is the call that has an engine forget a copy that it made on order.
	CopyDrop(name string) (method, uri string)
	// RetryAfter is the header's value for a wait.
	RetryAfter(d time.Duration) string
}
