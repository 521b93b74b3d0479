package room

import (
	"math"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fair"
)

const (
	// usualDecay is the time constant of the work by which a workspace's usual share
	// is known.
	usualDecay = 2 * time.Minute
	// minMean is the mean level below which there is too little work to divide.
	minMean = 1.0
)

// shares keeps what each workspace has had lately against what it is owed: its usual
// share of the work, or an equal one if that is more.
type shares struct {
	ledger *fair.Ledger
	usual  map[models.Workspace]*usualWork
	total  usualWork
}

// usualWork is a slowly decaying sum of prompt tokens.
type usualWork struct {
	tokens    float64
	updatedAt time.Time
}

func newShares() shares {
	return shares{ledger: fair.NewLedger(), usual: map[models.Workspace]*usualWork{}}
}

func (u *usualWork) at(now time.Time) float64 {
	return u.tokens * math.Exp(-max(now.Sub(u.updatedAt), 0).Seconds()/usualDecay.Seconds())
}

func (u *usualWork) add(tokens float64, now time.Time) {
	u.tokens, u.updatedAt = u.at(now)+tokens, now
}

// charge adds work that was sent for a workspace.
func (s *shares) charge(workspace models.Workspace, tokens float64, now time.Time) {
	if tokens <= 0 {
		return
	}
	u, ok := s.usual[workspace]
	if !ok {
		u = &usualWork{}
		s.usual[workspace] = u
	}
	u.add(tokens, now)
	s.total.add(tokens, now)
	s.ledger.Charge(workspace, s.owed(workspace, now), tokens, now)
}

// owed returns the weight of a workspace, 1 for an equal share.
func (s *shares) owed(workspace models.Workspace, now time.Time) float64 {
	u, ok := s.usual[workspace]
	total := s.total.at(now)
	if !ok || total <= 0 {
		return 1
	}
	return max(u.at(now)/total*float64(len(s.usual)), 1)
}

// level returns what a workspace has had lately relative to its share: 1 at the mean
// of all.
func (s *shares) level(workspace models.Workspace, now time.Time) float64 {
	mean, _ := s.ledger.Levels(now)
	if mean < minMean {
		return 1
	}
	return s.ledger.Level(workspace, s.owed(workspace, now), now) / mean
}
