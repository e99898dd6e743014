// Package backpressure decides, for each backend server, whether a VM may send it a
// request now, by what the server states about itself in its answers. It is pure: answers,
// messages of other VMs and the time are inputs.
package backpressure

import "time"

// Statement is what a server states about itself in the head of an answer.
type Statement struct {
	Limit LimitStatement
	// Rejections states, as Rate, how many requests the server can refuse in a second without
	// ending.
	Rejections LimitStatement
	Pause      PauseStatement
	// Leaving states that the server ends soon and takes no new work.
	Leaving bool
}

// PauseStatement is what an answer states about a pause: the time in which the server wants
// no request of the VM that it answers.
type PauseStatement struct {
	For        time.Duration // 0: none
	Unreadable bool          // the value has no meaning: an earlier pause stays in force
}

// LimitStatement is what an answer states about the server's rate limit.
type LimitStatement struct {
	Kind LimitKind
	// Rate is the number of requests per second that the server accepts from all VMs
	// together; valid with LimitStated.
	Rate float64
}

// LimitKind tells whether an answer states a rate limit.
type LimitKind uint8

// Kinds of statements about a limit.
const (
	LimitAbsent     LimitKind = iota // no limit is stated: an earlier one has ended
	LimitStated                      // the limit is Rate
	LimitUnreadable                  // the value has no meaning: an earlier limit stays in force
	LimitUnknown                     // the answer cannot tell: an earlier limit stays in force
)
