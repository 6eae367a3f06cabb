package routing

import "sync"

const (
	// retriesPerCall is the fraction of a retry that each call adds to the credit.
	retriesPerCall = 0.1
	// maxRetryCredit limits the burst of retries after a period without any.
	maxRetryCredit = 30
)

// RetryBudget limits retries to a fixed share of the calls, so that they can't make an overload worse.
type RetryBudget struct {
	mu     sync.Mutex
	credit float64
}

// NewRetryBudget returns a budget with full credit.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		credit: maxRetryCredit,
	}
}

// RecordCall adds one call's share to the credit.
func (b *RetryBudget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+retriesPerCall, maxRetryCredit)
}

// TakeRetry reports whether a retry is allowed and, if so, takes it from the credit.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
