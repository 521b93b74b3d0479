package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	standin "quincewinch/standin/platform"
)

// TestRestoredMarker returns the table to a copy without the marker of a
// transaction that was cancelled. Its late attempts must not take effect.
func TestRestoredMarker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, table := newRetryTable(1)
		_, err := putRow(table, "before")
		is.NoErr(err)
		other := models.RowKey{Partition: models.PartitionFleet, Name: "other"}
		copied := store.Revision().Version()
		store.SetFaults(standin.Faults{CommitDelay: func(transaction models.Transaction) time.Duration {
			if len(transaction.Writes) == 1 {
				return 0 // the cancellation
			}
			return 30 * time.Second
		}})
		_, err = table.Transact(t.Context(), models.Transaction{
			ID:         "late",
			Conditions: []models.Condition{{Key: other}},
			Writes:     []models.Write{{Key: other}},
		})
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
		store.Restore(copied)
		is.NoErr(clock.Sleep(t.Context(), time.Minute))
		rows, err := store.Read(t.Context(), other)
		is.NoErr(err)
		is.Equal(len(rows), 0) // reported as not done, and it was not
	})
}
