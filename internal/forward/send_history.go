package forward

import "github.com/amaranthshelf/amaranthshelf/internal/result"

// sendOutcome is how far a request got at one backend server.
type sendOutcome uint8

const (
	sendNotSent  sendOutcome = iota // no byte left this VM, or no connection was made
	sendRefused                     // the server states that it has not run the request and never will
	sendUnknown                     // bytes left and no usable answer came: the request may have run
	sendAnswered                    // the server sent a complete answer
)

// String implements fmt.Stringer.
func (s sendOutcome) String() string {
	return [...]string{"not sent", "refused", "unknown", "answered"}[s]
}

// SendHistory records the sends of one request. It alone decides whether the
// request may be sent again, and whether its refusal states that it did not run.
//
// Without it a broken connection looks the same whether or not the request had
// left this VM. A request that must run once could then run twice, or be refused
// as "not run" although it ran.
type SendHistory struct {
	repeatable   bool
	maxAttempts  int
	arrivals     int // sends of which bytes may have reached a server
	possibleRuns int // sends that may have run
}

// NewSendHistory returns the history of a request that has not been sent yet. A
// repeatable request may run up to maxAttempts times, any other once.
func NewSendHistory(repeatable bool, maxAttempts int) *SendHistory {
	return &SendHistory{repeatable: repeatable, maxAttempts: max(1, maxAttempts)}
}

// Add records the outcome of one send.
func (h *SendHistory) Add(outcome sendOutcome) {
	if outcome != sendNotSent {
		h.arrivals++
	}
	if outcome == sendUnknown || outcome == sendAnswered {
		h.possibleRuns++
	}
}

// Refused records that a send of unknown outcome was refused after all.
func (h *SendHistory) Refused() { h.possibleRuns-- }

// MaySend reports whether the request may be sent to another server.
func (h *SendHistory) MaySend() bool {
	if h.possibleRuns == 0 {
		return true
	}
	return h.repeatable && h.possibleRuns < h.maxAttempts
}

// MayRunAgain reports whether the request may be sent again after the next server has run it.
func (h *SendHistory) MayRunAgain() bool {
	return h.repeatable && h.possibleRuns+1 < h.maxAttempts
}

// IsRetry reports whether the next send draws on the retry budget, since a server
// may already have received the request.
func (h *SendHistory) IsRetry() bool { return h.arrivals > 0 }

// Ran returns what a refusal may state about whether the request ran.
func (h *SendHistory) Ran() result.Ran {
	if h.possibleRuns > 0 {
		return result.RanUnknown
	}
	return result.RanNo
}

// FinalCode replaces a code that promises "not run" by OutcomeUnknown if the request
// may have run. It replaces RouteTimeout by NotSentInTime if the request has certainly not
// run: its caller may then send it again. It returns any other code unchanged.
func (h *SendHistory) FinalCode(code result.Code) result.Code {
	if h.possibleRuns == 0 && code == result.RouteTimeout {
		return result.NotSentInTime
	}
	if h.possibleRuns > 0 && result.Lookup(code).Ran == result.RanNo {
		return result.OutcomeUnknown
	}
	return code
}
