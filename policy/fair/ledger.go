// Package fair shares the fleet between workspaces by weight: who is next,
// who has to wait and who is refused.
package fair

import (
	"maps"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

// memory is the time over which work done is forgotten.
const memory = 5 * time.Second

// Ledger keeps the work done for each workspace of late, over all daemons, in
// tokens.
type Ledger struct {
	accounts map[models.Workspace]*account
}

type account struct {
	weight float64
	tokens float64
	at     time.Time
}

// NewLedger returns a ledger without work.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[models.Workspace]*account{}}
}

// Charge adds tokens to the work of a workspace of a weight; negative ones correct an estimate
// that was too high.
func (l *Ledger) Charge(workspace models.Workspace, weight, tokens float64, now time.Time) {
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{at: now}
		l.accounts[workspace] = a
	}
	a.weight = max(weight, leastWeight)
	a.tokens = max(a.as(now)+tokens, 0)
	a.at = now
}

// Level returns a workspace's work over its weight. Of two workspaces that
// wait, the one with the lower level is served first.
func (l *Ledger) Level(workspace models.Workspace, weight float64, now time.Time) float64 {
	a, ok := l.accounts[workspace]
	if !ok {
		return 0
	}
	return a.as(now) / max(weight, leastWeight)
}

// Levels returns the work of all workspaces over the weight of those that have
// had any of late, and the highest level of them.
func (l *Ledger) Levels(now time.Time) (mean, highest float64) {
	var tokens, weights float64
	for _, workspace := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[workspace]
		had := a.as(now)
		if had < 1 {
			continue
		}
		tokens += had
		weights += a.weight
		highest = max(highest, had/a.weight)
	}
	return tokens / max(weights, leastWeight), highest
}

// leastWeight stands for a weight of zero, which gets what nobody else wants.
const leastWeight = 1e-6

func (a *account) as(now time.Time) float64 {
	passed := max(now.Sub(a.at), 0)
	return a.tokens * math.Exp(-passed.Seconds()/memory.Seconds())
}
