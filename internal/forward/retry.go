package forward

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/timer"
)

const (
	// budgetPollPause is the mean pause between two attempts to take a retry from an
	// uncertain budget. It is several times as long as an exchange of reports. Each pause
	// is drawn between zero and twice the mean. With equal pauses all VMs would see the
	// same remainder at once, and each would take it.
	budgetPollPause = 15 * time.Millisecond
	// budgetPollTimeout is how long a retry waits while only an estimate forbids it.
	// Reports take 30 ms. The wait leaves a fifth of a stream's pause objective unused.
	budgetPollTimeout = 120 * time.Millisecond
)

// mayRetry takes one retry from the budget of the request's service. While the budget is
// uncertain, it requests new reports from the control VMs and tries again.
func (h *Handler) mayRetry(q *request, u Urgency) bool {
	began := time.Now()
	for {
		switch q.budget.Spend(u) {
		case Granted:
			h.Stats.Retries.Inc()
			h.opts.ReportRetries()
			return true
		case Denied:
			return false
		case Uncertain:
		}
		h.opts.ReportRetries()
		if time.Since(began) >= budgetPollTimeout || timer.Sleep(q.ctx, rand.N(2*budgetPollPause)) != nil {
			return false
		}
	}
}
