package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// cleanBatch is how many expired claims one step deletes at the most.
const cleanBatch = 100

// ClaimCleaner deletes claims whose time is up, a bounded batch a step. It may
// run at several daemons: each deletion is conditional.
type ClaimCleaner struct {
	table   peer.Table
	objects peer.Objects
	clock   peer.Clock
	after   models.Revision // nothing to delete up to here
}

// NewClaimCleaner returns a cleaner that has seen no claim.
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

// expired returns a batch of expired rows, and moves past the rows before
// the first that stands.
func (c *ClaimCleaner) expired(rows []models.Row, now time.Time) []models.Row {
	var batch []models.Row
	passing := true
	for _, row := range rows {
		claim, err := decodeClaim(row.Value)
		due := !row.Deleted && err == nil && now.After(claim.expires)
		if due && len(batch) < cleanBatch {
			batch = append(batch, row)
		}
		passing = passing && row.Deleted
		if passing {
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
	// A lost race or a lost answer is made up for in a later step.
	_, _ = c.table.Transact(ctx, transaction)
}
