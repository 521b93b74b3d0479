package request

import "sync"

const (
	// retryRatio is the number of retries that each first attempt adds to the
	// budget.
	retryRatio = 0.09
	// initialRetries is the budget of a new daemon.
	initialRetries = 3
	// maxSavedRetries is the maximum number of unused retries in the budget.
	maxSavedRetries = 50
)

// RetryBudget bounds retries to a fraction of first attempts. Each daemon has
// its own budget, and since each stays within the fraction, so does the fleet.
type RetryBudget struct {
	mu    sync.Mutex
	saved float64
}

// NewRetryBudget returns a budget of initialRetries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{saved: initialRetries}
}

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryRatio, maxSavedRetries)
}

// Take reports whether one more retry is allowed, and deducts it if so.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
