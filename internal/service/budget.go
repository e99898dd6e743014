package service

import "sync"

// The retry budget limits the load of retries when a service fails for all its
// callers at once. Without a limit each call would be tried on every backend
// server, and the last healthy one would get a multiple of its normal load while
// its peers are down. Retries may add a tenth to new calls. A burst of ten retries
// lets a service with few calls retry its rare failures.
const (
	retryRatio = 0.1
	retryBurst = 10.0
)

// retryBudget is a token bucket that new calls refill. It is safe for concurrent
// use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

func (b *retryBudget) addCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryRatio)
}

func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
