package gateway

import "github.com/amaranthshelf/amaranthshelf/internal/admission"

// Bounds of the service calls in flight, and of the generations being opened, on one VM. A
// call usually takes less than a second, so 4,096 at once allow some thousand calls a second.
const (
	maxCalls     = 4096
	maxCallBytes = 256 << 20 // sum of request bodies; an answer has at most service.MaxAnswerBytes
)

func newInFlight() *admission.InFlight { return admission.NewInFlight(maxCalls, maxCallBytes) }
