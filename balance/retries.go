package balance

import (
	"time"

	"quincewinch/models"
	"quincewinch/policy/retry"
	"quincewinch/relay"
)

const (
	// retryBudgetFactor is the fraction of the retry budget that is used: the
	// platform sees requests later than they are counted here.
	retryBudgetFactor = 0.8
	// startBudgetFactor is the fraction of the ratio that a daemon uses in its first
	// window: a process before it may have spent retryBudgetFactor.
	startBudgetFactor = 0.1
)

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

// SetDaemons sets how many daemons share the retry budget, this one included. Listed
// states whether all that are registered are among them.
func (b *Balancer) SetDaemons(n int, listed bool) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mostDaemons(now)
	b.daemons = max(n, 1)
	if !listed {
		b.listedAt = time.Time{}
	} else if b.listedAt.IsZero() {
		b.listedAt = now
	}
}

// mostDaemons returns the highest number of daemons within a window of the retry budget.
// The caller must hold b.mu.
func (b *Balancer) mostDaemons(now time.Time) int {
	return int(b.daemonPeak.Observe(now, float64(b.daemons)))
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
	return b.retryBudget(service, now).AllowRetry(now)
}

// BeginPrefill implements relay.Placer.
func (b *Balancer) BeginPrefill(service models.ServiceName) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudget(service, now).Begin(now)
}

// EndPrefill implements relay.Placer.
func (b *Balancer) EndPrefill(service models.ServiceName, result relay.Result) {
	end := retry.Rejected
	switch result {
	case relay.ResultServed:
		end = retry.Accepted
	case relay.ResultUnreachable, relay.ResultLeaving, relay.ResultLimited:
		end = retry.NotSent
	case relay.ResultRejected, relay.ResultMoved, relay.ResultFailed, relay.ResultCancelled:
	}
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudget(service, now).End(now, end)
}

// retryBudget returns this daemon's part of a service's retry budget at a time. The
// caller must hold b.mu.
func (b *Balancer) retryBudget(service models.ServiceName, now time.Time) *retryBudget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = &retryBudget{Budget: retry.NewBudget(retry.Settings{Window: b.settings.Retries.Window})}
		b.budgets[service] = budget
	}
	budget.SetLimits(b.retryLimits(now))
	return budget
}

// retryLimits returns this daemon's part of the retry budget. Earlier processes may have
// spent it: a daemon uses little of the ratio and no reserve in its first window, and the
// reserve only once it has known all daemons for a window, divided by the most that there
// were in it. The caller must hold b.mu.
func (b *Balancer) retryLimits(now time.Time) (ratio, reserve float64) {
	all := b.settings.Retries
	young := now.Sub(b.startedAt) <= all.Window
	if young && !b.settings.FirstStart {
		return all.Ratio * startBudgetFactor, 0
	}
	ratio = all.Ratio * retryBudgetFactor
	if !young && (b.listedAt.IsZero() || now.Sub(b.listedAt) <= all.Window) {
		return ratio, 0
	}
	return ratio, all.Reserve * retryBudgetFactor / float64(b.mostDaemons(now))
}

// RetryChanges returns the retry budgets that have been used up since the last call,
// and those that allow retries again.
func (b *Balancer) RetryChanges() []RetryChange {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []RetryChange
	for service := range b.budgets {
		budget := b.retryBudget(service, now)
		usage := budget.Usage(now)
		if usage.UsedUp() == budget.usedUp {
			continue
		}
		budget.usedUp = usage.UsedUp()
		changes = append(changes, RetryChange{Service: service, Usage: usage, Daemons: b.mostDaemons(now)})
	}
	return changes
}
