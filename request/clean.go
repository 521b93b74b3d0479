package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// cleanBatchSize is the maximum number of expired claims deleted in one step.
const cleanBatchSize = 100

// ClaimCleaner deletes expired claims, in one bounded batch per step. Several
// daemons may run it at once because each deletion is conditional.
type ClaimCleaner struct {
	table   peer.Table
	objects peer.Objects
	clock   peer.Clock
	after   models.Revision // all rows up to this revision are deleted
}

// NewClaimCleaner returns a cleaner that starts at the first revision.
func NewClaimCleaner(table peer.Table, objects peer.Objects, clock peer.Clock) *ClaimCleaner {
	return &ClaimCleaner{table: table, objects: objects, clock: clock}
}

// Step implements control.Task.
func (c *ClaimCleaner) Step(ctx context.Context) {
	changes, err := c.table.Changes(ctx, models.PartitionClaims, c.after)
	if err != nil {
		return
	}
	now := changes.PlatformTime
	if now.IsZero() {
		now = c.clock.Now()
	}
	c.delete(ctx, c.expired(changes.Rows, now))
}

// expired returns a batch of expired rows. It advances c.after over the deleted
// rows that precede the first live one.
func (c *ClaimCleaner) expired(rows []models.Row, now time.Time) []models.Row {
	var batch []models.Row
	onlyDeleted := true
	for _, row := range rows {
		if row.Key == settledKey {
			continue
		}
		claim, err := decodeClaim(row.Value)
		due := !row.Deleted && err == nil && now.After(claim.expires)
		if due && len(batch) < cleanBatchSize {
			batch = append(batch, row)
		}
		onlyDeleted = onlyDeleted && row.Deleted
		if onlyDeleted {
			c.after = row.Revision
		}
	}
	return batch
}

func (c *ClaimCleaner) delete(ctx context.Context, rows []models.Row) {
	if len(rows) == 0 {
		return
	}
	transaction := models.Transaction{}
	for _, row := range rows {
		claim, err := decodeClaim(row.Value)
		if err == nil && claim.object != "" && c.objects.Delete(ctx, claim.object) != nil {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, models.Condition{Key: row.Key, Revision: row.Revision})
		transaction.Writes = append(transaction.Writes, models.Write{Key: row.Key, Delete: true})
	}
	// If the transaction conflicts or its answer is lost, a later step deletes
	// the rows.
	_, _ = c.table.Transact(ctx, transaction)
}
