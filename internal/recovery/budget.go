package recovery

// Figures of the budgets.
const (
	// suspicionShare bounds the work done twice on suspicion, where an engine was
	// given up that may live, to a share of all tokens generated. Beyond it the
	// detector waits for its ceiling: suspicion that is often wrong is worse than
	// none.
	suspicionShare = 0.05

	// budgetBurst is what may have been saved up: the streams of two engines.
	budgetBurst = 100_000 // tokens
)

// Budget is a bucket of tokens that grows with useful work. Under overload it
// grows no faster than work gets done, so retries cannot feed on themselves.
// It is not safe for concurrent use.
type Budget struct {
	share float64
	left  float64
}

// NewBudget returns a full bucket that gains share of all useful work.
func NewBudget(share float64) *Budget { return &Budget{share: share, left: budgetBurst} }

// NewSuspicionBudget returns the budget for work done twice on suspicion.
func NewSuspicionBudget() *Budget { return NewBudget(suspicionShare) }

// Earn adds the share of useful tokens.
func (b *Budget) Earn(tokens int) { b.left = min(budgetBurst, b.left+b.share*float64(tokens)) }

// Spend takes tokens if there are any left; one piece of work may overdraw.
func (b *Budget) Spend(tokens int) bool {
	if b.share == 0 || b.left <= 0 {
		return false
	}
	b.left -= float64(tokens)
	return true
}

// Empty reports whether nothing is left.
func (b *Budget) Empty() bool { return b.left <= 0 }
