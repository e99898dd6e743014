package recovery

// Bounds for moving a stream off a slow engine. Times are in steps of an engine that is not
// slow, about 33 ms each.
const (
	// minSlowness is the slowness above which moving pays off. Load alone causes less.
	minSlowness = 3

	prefillTokensPerStep = 300 // prompt tokens prefilled in the time of one step
	moveOverheadSteps    = 30  // time to be placed elsewhere, about a second
	minMoveGain          = 2   // staying must take this many times longer, since a move is extra work
)

// WorthMoving reports whether a stream on an engine that is slowness times slower than its
// pool should be resumed on another engine. Otherwise an answer with minutes of work left
// on an engine that is eight times slower would take most of an hour although nothing has
// failed. left is the number of tokens to generate, prefill the number of tokens that
// another engine must prefill again.
func WorthMoving(slowness float64, left, prefill int) bool {
	if slowness < minSlowness {
		return false
	}
	stay := slowness * float64(left)
	move := float64(left) + float64(prefill)/prefillTokensPerStep + moveOverheadSteps
	return stay > minMoveGain*move
}
