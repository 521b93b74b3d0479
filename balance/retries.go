package balance

import (
	"quincewinch/models"
	"quincewinch/policy/retry"
)

// retryBudgetFactor is the fraction of the retry budget that is used: the
// platform sees requests later than they are counted here.
const retryBudgetFactor = 0.8

// retryBudget is this daemon's part of the retry budget of a service.
type retryBudget struct {
	*retry.Budget
	usedUp bool // as reported last
}

// RetryChange is a retry budget that has been used up, or allows retries again.
type RetryChange struct {
	Service models.ServiceName
	Usage   retry.Usage
	Daemons int // among which the reserve is divided
}

// SetDaemons sets how many daemons share the retry budget.
func (b *Balancer) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(n, 1)
}

// SetRetries replaces the retry budget settings of all services.
func (b *Balancer) SetRetries(settings retry.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Retries = settings
}

// TakeRetry implements relay.Placer.
func (b *Balancer) TakeRetry(service models.ServiceName) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudget(service).AllowRetry(now)
}

// BeginPrefill implements relay.Placer.
func (b *Balancer) BeginPrefill(service models.ServiceName) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudget(service).Begin(now)
}

// EndPrefill implements relay.Placer.
func (b *Balancer) EndPrefill(service models.ServiceName, rejected bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudget(service).End(now, rejected)
}

// retryBudget returns this daemon's part of a service's retry budget. The
// caller must hold b.mu.
func (b *Balancer) retryBudget(service models.ServiceName) *retryBudget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = &retryBudget{Budget: retry.NewBudget(retry.Settings{Window: b.settings.Retries.Window})}
		b.budgets[service] = budget
	}
	budget.SetLimits(b.settings.Retries.Ratio*retryBudgetFactor, b.settings.Retries.Reserve*retryBudgetFactor/float64(b.daemons))
	return budget
}

// RetryChanges returns the retry budgets that have been used up since the last call,
// and those that allow retries again.
func (b *Balancer) RetryChanges() []RetryChange {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []RetryChange
	for service := range b.budgets {
		budget := b.retryBudget(service)
		usage := budget.Usage(now)
		if usage.UsedUp() == budget.usedUp {
			continue
		}
		budget.usedUp = usage.UsedUp()
		changes = append(changes, RetryChange{Service: service, Usage: usage, Daemons: b.daemons})
	}
	return changes
}
