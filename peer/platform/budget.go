package platform

import "sync"

// retryBudget limits retries to a share of the calls, so that retries do not
// add load to a table that is already failing. It starts full.
type retryBudget struct {
	ratio    float64 // retries earned by each call
	capacity float64 // retries that can be saved up

	mu      sync.Mutex
	balance float64
}

func newRetryBudget(ratio, capacity float64) *retryBudget {
	return &retryBudget{ratio: ratio, capacity: capacity, balance: capacity}
}

// deposit adds the fraction of a retry that one call earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, b.capacity)
}

// take deducts one retry, or returns false if the budget is exhausted.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
