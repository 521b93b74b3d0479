package control

import (
	"context"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// MarkerSettings bounds the number of transaction markers in the table.
type MarkerSettings struct {
	Retention time.Duration // counted from when a marker was first seen
	BatchSize int           // markers deleted in one transaction
}

// DefaultMarkerSettings returns the settings that a daemon uses. Retention is
// far longer than any client retries a transaction.
func DefaultMarkerSettings() MarkerSettings {
	return MarkerSettings{Retention: 10 * time.Minute, BatchSize: 100}
}

// cursorKey is the row that holds the revision up to which all markers have been
// deleted.
var cursorKey = models.RowKey{Partition: models.PartitionLeases, Name: "markers-cleaned"}

// MarkerCleaner deletes the markers of old transactions while this daemon holds
// the usage lease. A late retry of a transaction whose marker was deleted is not
// executed.
type MarkerCleaner struct {
	table    peer.Table
	leases   peer.Leases
	clock    peer.Clock
	settings MarkerSettings

	fence   uint64 // of the authority under which the fields below were loaded
	cursor  models.Row
	through models.Revision
	pending []pendingMarker // oldest first
}

type pendingMarker struct {
	row    models.Row
	seenAt time.Time
}

// NewMarkerCleaner returns a cleaner for the markers in a table.
func NewMarkerCleaner(table peer.Table, leases peer.Leases, clock peer.Clock, settings MarkerSettings) *MarkerCleaner {
	return &MarkerCleaner{table: table, leases: leases, clock: clock, settings: settings}
}

// Step deletes the markers whose retention period has passed.
func (m *MarkerCleaner) Step(ctx context.Context) {
	authority := m.leases.Authority(models.LeaseUsage)
	if authority.Fence == 0 {
		return
	}
	if authority.Fence != m.fence && !m.loadCursor(ctx, authority) {
		return
	}
	if err := m.readMarkers(ctx); err != nil {
		return
	}
	for m.deleteBatch(ctx, authority) {
	}
}

// loadCursor resumes from where the previous holder stopped.
func (m *MarkerCleaner) loadCursor(ctx context.Context, authority models.Authority) bool {
	rows, err := m.table.Read(ctx, cursorKey)
	if err != nil {
		return false
	}
	m.fence = authority.Fence
	m.cursor = models.Row{Key: cursorKey}
	m.through = 0
	m.pending = nil
	if len(rows) > 0 {
		m.cursor = rows[0]
		m.through = decodeCursor(rows[0].Value)
	}
	return true
}

// readMarkers adds new markers to those pending.
func (m *MarkerCleaner) readMarkers(ctx context.Context) error {
	changes, err := m.table.Changes(ctx, models.PartitionMarkers, m.through)
	if err != nil {
		return err
	}
	now := m.clock.Now()
	for _, row := range changes.Rows {
		if !row.Deleted {
			m.pending = append(m.pending, pendingMarker{row: row, seenAt: now})
		}
	}
	m.through = changes.Through
	return nil
}

// deleteBatch deletes one batch and reports whether there may be another.
func (m *MarkerCleaner) deleteBatch(ctx context.Context, authority models.Authority) bool {
	batch := m.expiredBatch()
	if len(batch) == 0 {
		return false
	}
	last := batch[len(batch)-1].row.Revision
	transaction := models.Transaction{
		Conditions: []models.Condition{authority.Guard, {Key: cursorKey, Revision: m.cursor.Revision}},
		Writes:     []models.Write{{Key: cursorKey, Value: encodeCursor(last)}},
	}
	for _, w := range batch {
		transaction.Writes = append(transaction.Writes, models.Write{Key: w.row.Key, Delete: true})
	}
	revision, err := m.table.Transact(ctx, transaction)
	if err != nil {
		// The transaction may have committed. The next step loads the cursor again,
		// which shows whether it did.
		m.fence = 0
		return false
	}
	m.cursor.Revision = revision
	m.pending = slices.Clone(m.pending[len(batch):])
	return true
}

func (m *MarkerCleaner) expiredBatch() []pendingMarker {
	now := m.clock.Now()
	count := 0
	for count < len(m.pending) && count < m.settings.BatchSize && now.Sub(m.pending[count].seenAt) >= m.settings.Retention {
		count++
	}
	return m.pending[:count]
}
