package forward

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	// askPause is the mean pause between two questions whether something of a budget
	// is left: some times as long as a question takes. It is drawn from zero to twice
	// as much, or all VMs would find the same rest at once, and each take it.
	askPause = 15 * time.Millisecond
	// askFor is how long a second send is held back by a guess. News takes 30 ms; a
	// fifth of a stream's pause is left untouched.
	askFor = 120 * time.Millisecond
)

// mayRepeat takes one second send from the budget of the request's service. Where
// the budget is uncertain it asks the control VMs and waits for what they know.
func (h *Handler) mayRepeat(q *request, u Urgency) bool {
	began := time.Now()
	for {
		switch q.budget.Spend(u) {
		case Granted:
			h.Stats.Retries.Inc()
			h.o.ReportRetries()
			return true
		case Denied:
			return false
		case Uncertain:
		}
		h.o.ReportRetries()
		if time.Since(began) >= askFor || timer.Sleep(q.ctx, rand.N(2*askPause)) != nil {
			return false
		}
	}
}
