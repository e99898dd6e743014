package forward

import "github.com/amaranthshelf/amaranthshelf/internal/result"

// sent is how far a request got at one backend server.
type sent uint8

const (
	notSent  sent = iota // no byte left, or no connection came about
	refused              // the server's word: not run, and never will be
	unknown              // bytes left and no answer that says more
	answered             // a whole answer of the server
)

// String implements fmt.Stringer.
func (s sent) String() string {
	return [...]string{"not sent", "refused", "unknown", "answered"}[s]
}

// Record is the history of one request's sends. It decides whether the request
// may be sent once more and what the caller may be told; nothing else does.
//
// Without it a broken connection looks the same whether or not the request had
// left: a vote would be cast twice, or refused as "not run" and counted.
type SendHistory struct {
	repeatable  bool
	maxAttempts int
	arrivals    int // sends of which bytes may have left
	runs        int // sends that may have run
}

// NewRecord begins a record.
func NewSendHistory(repeatable bool, maxAttempts int) *SendHistory {
	return &SendHistory{repeatable: repeatable, maxAttempts: max(1, maxAttempts)}
}

// Note adds one send.
func (r *SendHistory) Add(s sent) {
	if s != notSent {
		r.arrivals++
	}
	if s == unknown || s == answered {
		r.runs++
	}
}

// MaySend reports whether the request may go to one more server.
func (r *SendHistory) MaySend() bool {
	if r.runs == 0 {
		return true
	}
	return r.repeatable && r.runs < r.maxAttempts
}

// IsRepeat reports whether the next send draws on the retry budget: servers have
// seen this request before.
func (r *SendHistory) IsRetry() bool { return r.arrivals > 0 }

// Ran is what a caller may be told.
func (r *SendHistory) Ran() result.Ran {
	if r.runs > 0 {
		return result.RanUnknown
	}
	return result.RanNo
}

// Refusal turns a reason that promises "not run" into one that does not, where
// the request may have run.
func (r *SendHistory) FinalCode(code result.Code) result.Code {
	if r.runs > 0 && result.Lookup(code).Ran == result.RanNo {
		return result.OutcomeUnknown
	}
	return code
}
