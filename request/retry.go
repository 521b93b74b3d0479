package request

import "sync"

const (
	// retryShare is how many retries each first attempt allows.
	retryShare = 0.09
	// retryStart is how many retries a new daemon has.
	retryStart = 3
	// retryMost is how many retries can be saved up.
	retryMost = 50
)

// RetryBudget bounds retries to a share of first attempts. Each daemon keeps
// its own; since each keeps to its share, so does the fleet.
type RetryBudget struct {
	mu    sync.Mutex
	saved float64
}

// NewRetryBudget returns a budget for a few retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{saved: retryStart}
}

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retryShare, retryMost)
}

// Take reports whether one more retry is allowed, and counts it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
