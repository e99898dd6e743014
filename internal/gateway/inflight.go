package gateway

import "github.com/amaranthshelf/amaranthshelf/internal/admission"

// Bounds of service calls in flight, and of generations being opened, on one
// VM. A call is held for less than a second as a rule: 4,096 at once are some
// thousand a second.
const (
	maxCalls     = 4096
	maxCallBytes = 256 << 20 // bodies; an answer is at most as large as MaxAnswerBytes
)

func newInFlight() *admission.InFlight { return admission.NewInFlight(maxCalls, maxCallBytes) }
