package control

import (
	"maps"
	"sync"
	"time"

	"quincewinch/models"
)

// Meter counts what workspaces used since the daemon's start.
type Meter struct {
	mu     sync.Mutex
	totals map[models.Workspace]models.Usage
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter {
	return &Meter{totals: map[models.Workspace]models.Usage{}}
}

// Count implements peer.Meter.
func (m *Meter) Count(workspace models.Workspace, _ time.Time, usage models.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[workspace] = m.totals[workspace].Add(usage)
}

// Totals returns the counts so far.
func (m *Meter) Totals() map[models.Workspace]models.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.totals)
}
