package service

import "sync"

// Retry budget: the load pattern it answers is a service that fails for all its
// callers at once. Without a bound each call is tried on every backend server,
// and the last healthy one gets a multiple of its normal load just when its
// peers are gone. Retries may add a tenth to fresh calls; a reserve of ten lets
// a quiet service retry its rare failures.
const (
	retryShare   = 0.1
	retryReserve = 10.0
)

// budget is a token bucket that fresh calls fill. Safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryReserve} }

func (b *budget) fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+retryShare)
}

func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
