// Package fair divides the fleet's capacity between workspaces by weight: it
// decides which request starts next, which waits and which is rejected.
package fair

import (
	"maps"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

// workDecay is the time constant of the exponential decay of past work.
const workDecay = 5 * time.Second

// Ledger keeps the recent work of each workspace over all daemons, in tokens.
type Ledger struct {
	accounts map[models.Workspace]*account
}

type account struct {
	weight    float64
	tokens    float64
	updatedAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[models.Workspace]*account{}}
}

// Charge adds tokens to the work of a workspace and sets its weight. Negative
// tokens correct an estimate that was too high.
func (l *Ledger) Charge(workspace models.Workspace, weight, tokens float64, now time.Time) {
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{updatedAt: now}
		l.accounts[workspace] = a
	}
	a.weight = max(weight, minWeight)
	a.tokens = max(a.tokensAt(now)+tokens, 0)
	a.updatedAt = now
}

// Level returns a workspace's work divided by its weight. Of two waiting
// workspaces, the one with the lower level is served first.
func (l *Ledger) Level(workspace models.Workspace, weight float64, now time.Time) float64 {
	a, ok := l.accounts[workspace]
	if !ok {
		return 0
	}
	return a.tokensAt(now) / max(weight, minWeight)
}

// Levels returns the mean and the highest level of the workspaces with recent
// work. The mean is their total work divided by their total weight.
func (l *Ledger) Levels(now time.Time) (mean, highest float64) {
	var tokens, weights float64
	for _, workspace := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[workspace]
		work := a.tokensAt(now)
		if work < 1 {
			continue
		}
		tokens += work
		weights += a.weight
		highest = max(highest, work/a.weight)
	}
	return tokens / max(weights, minWeight), highest
}

// minWeight replaces a weight of zero. Such a workspace only gets capacity that
// no other workspace uses.
const minWeight = 1e-6

func (a *account) tokensAt(now time.Time) float64 {
	elapsed := max(now.Sub(a.updatedAt), 0)
	return a.tokens * math.Exp(-elapsed.Seconds()/workDecay.Seconds())
}
