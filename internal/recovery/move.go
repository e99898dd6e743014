package recovery

// Figures of moving a stream off a slow engine, in steps of an engine that is
// not slow (some 33 ms).
const (
	// slowEnough is when an engine is out of use as slow: above load.
	slowEnough = 3

	prefillPerStep = 300 // prompt tokens prefilled in the time of a step
	moveSteps      = 30  // to be placed elsewhere: a second
	moveGain       = 2   // staying must take this much longer: a move is extra work
)

// WorthMoving reports whether a stream on an engine that is slowness times
// slower than its pool should go on elsewhere. An answer with minutes of work
// left on an engine eight times slower would otherwise take the better part of
// an hour, though nothing has failed. left is the tokens to generate, prefill
// those to compute again.
func WorthMoving(slowness float64, left, prefill int) bool {
	if slowness < slowEnough {
		return false
	}
	stay := slowness * float64(left)
	move := float64(left) + float64(prefill)/prefillPerStep + moveSteps
	return stay > moveGain*move
}
