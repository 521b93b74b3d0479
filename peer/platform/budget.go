package platform

import "sync"

// retryBudget bounds retries to a share of the calls, so that retries do not
// add to the load of a table in trouble.
type retryBudget struct {
	share float64
	most  float64

	mu    sync.Mutex
	saved float64
}

func newRetryBudget(share, most float64) *retryBudget {
	return &retryBudget{share: share, most: most, saved: most}
}

// earn adds the share of one call.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, b.most)
}

// spend takes one retry and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
