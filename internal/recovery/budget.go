package recovery

// Bounds of the token budgets.
const (
	// suspicionShare bounds duplicate work on suspicion, where an engine is given up that
	// may be alive, to a share of all generated tokens. Beyond it the detector waits for
	// its ceiling: suspicion that is often wrong is worse than none.
	suspicionShare = 0.05

	// budgetBurstTokens caps what a budget saves up. It covers the streams of two engines.
	budgetBurstTokens = 100_000
)

// Budget is a token bucket that is refilled by useful work. Under overload it grows no
// faster than work completes, so retries cannot amplify themselves. It is not safe for
// concurrent use.
type Budget struct {
	share float64
	left  float64
}

// NewBudget returns a full bucket that gains the given share of all useful tokens.
func NewBudget(share float64) *Budget { return &Budget{share: share, left: budgetBurstTokens} }

// NewSuspicionBudget returns the budget for work that is duplicated on suspicion.
func NewSuspicionBudget() *Budget { return NewBudget(suspicionShare) }

// Earn credits the budget's share of tokens of useful work.
func (b *Budget) Earn(tokens int) { b.left = min(budgetBurstTokens, b.left+b.share*float64(tokens)) }

// Spend deducts tokens if the budget is not empty, and reports whether it did. One piece of
// work may overdraw the budget.
func (b *Budget) Spend(tokens int) bool {
	if b.share == 0 || b.left <= 0 {
		return false
	}
	b.left -= float64(tokens)
	return true
}

// Empty reports whether the budget is used up.
func (b *Budget) Empty() bool { return b.left <= 0 }
