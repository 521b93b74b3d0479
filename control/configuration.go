package control

import (
	"context"
	"maps"
	"slices"
	"sync"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

// Configuration keeps the configuration in force. It only moves forward: of
// two versions of a row the one with the higher revision stands.
type Configuration struct {
	table    peer.Table
	clock    peer.Clock
	timeline peer.Timeline

	mu       sync.Mutex
	rows     map[string]models.Row
	config   *models.Config
	evidence models.Evidence
	changed  chan struct{}
}

// NewConfiguration returns an empty configuration that is not ready.
func NewConfiguration(t peer.Table, clock peer.Clock, timeline peer.Timeline) *Configuration {
	return &Configuration{
		table:    t,
		clock:    clock,
		timeline: timeline,
		rows:     map[string]models.Row{},
		config:   table.NewConfig(),
		evidence: models.Evidence{Source: models.EvidenceNone},
		changed:  make(chan struct{}),
	}
}

// Config implements peer.Configuration.
func (c *Configuration) Config() *models.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// Evidence implements peer.Configuration.
func (c *Configuration) Evidence() models.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence
}

// Watch implements peer.Configuration.
func (c *Configuration) Watch() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Step reads what has changed.
func (c *Configuration) Step(ctx context.Context) {
	started := c.clock.Now()
	changes, err := c.table.Changes(ctx, models.PartitionConfig, c.Config().Through)
	if err != nil {
		return
	}
	c.take(changes, models.Evidence{At: started, Source: models.EvidenceOwn})
}

func (c *Configuration) take(changes models.Changes, evidence models.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows, changed := table.Merge(c.rows, changes.Rows)
	c.rows = rows
	if changed || changes.Through > c.config.Through {
		c.rebuild(max(changes.Through, c.config.Through), changed)
	}
	if evidence.At.After(c.evidence.At) {
		c.evidence = evidence
	}
}

// rebuild makes the configuration anew. The lock is held.
func (c *Configuration) rebuild(through models.Revision, changed bool) {
	if !changed {
		config := *c.config
		config.Through = through
		c.config = &config
		return
	}
	rows := make([]models.Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	config, faults := table.Build(rows, through)
	for _, fault := range faults {
		c.timeline.Record(models.Event{Kind: models.EventConfig, What: "row left out", Why: fault.Error()})
	}
	c.config = config
	close(c.changed)
	c.changed = make(chan struct{})
}

// Rows returns all rows, tombstones included, in order of name.
func (c *Configuration) Rows() []models.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.Sorted(maps.Keys(c.rows))
	rows := make([]models.Row, 0, len(names))
	for _, name := range names {
		rows = append(rows, c.rows[name])
	}
	return rows
}

// Learn takes in rows that are known to be committed.
func (c *Configuration) Learn(rows []models.Row) {
	c.take(models.Changes{Rows: rows}, models.Evidence{})
}
