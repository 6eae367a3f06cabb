package routing

import "sync"

const (
	// retryShare is how many retries each call earns.
	retryShare = 0.1
	// maxRetryCredit bounds a burst of retries after a quiet time.
	maxRetryCredit = 30
)

// RetryBudget keeps retries a fixed share of the calls, so that they can't feed an overload.
type RetryBudget struct {
	mu     sync.Mutex
	credit float64
}

// NewRetryBudget returns a budget with a full credit.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		credit: maxRetryCredit,
	}
}

// Call earns the share of one call.
func (b *RetryBudget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+retryShare, maxRetryCredit)
}

// Retry takes one retry out of the budget and reports whether there was one.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
