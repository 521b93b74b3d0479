package platform_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform"
	"quincewinch/peer/system"
	standin "quincewinch/standin/platform"
)

var testKey = models.RowKey{Partition: models.PartitionFleet, Name: "row"}

const schedules = 10_000

var clock = system.NewClock()

// newRetryTable returns a store and a RetryTable on top of it.
func newRetryTable(seed uint64) (*standin.Store, *platform.RetryTable) {
	store := standin.NewStore(clock)
	return store, platform.NewRetryTable(store, clock, platform.DefaultRetrySettings(time.Second, seed))
}

// putRow writes the test row, on the condition that it was never written.
func putRow(table peer.Table, id string) (models.Revision, error) {
	return table.Transact(context.Background(), models.Transaction{
		ID:         id,
		Conditions: []models.Condition{{Key: testKey}},
		Writes:     []models.Write{{Key: testKey, Value: []byte(id)}},
	})
}

// readRow switches all faults off and reads the test row.
func readRow(t *testing.T, store *standin.Store) models.Row {
	t.Helper()
	is := is.New(t)
	store.SetFaults(standin.Faults{})
	rows, err := store.Read(context.Background(), testKey)
	is.NoErr(err)
	if len(rows) == 0 {
		return models.Row{}
	}
	return rows[0]
}

// checkOutcome asserts that a reported outcome matches the stored row, after
// all delayed attempts have arrived.
func checkOutcome(t *testing.T, store *standin.Store, id string, revision models.Revision, err error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(clock.Sleep(t.Context(), time.Minute))
	found := readRow(t, store)
	if err == nil {
		is.Equal(string(found.Value), id)  // reported as done, and it was
		is.Equal(found.Revision, revision) // committed once, at that revision
		return
	}
	if peer.OutcomeOf(err) != peer.OutcomeUnknown {
		is.True(string(found.Value) != id) // reported as not done, and it was not
	}
}

func TestTransact(t *testing.T) {
	t.Run("a retry finds the commit whose response was lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := newRetryTable(1)
			lost := 0
			store.SetFaults(standin.Faults{LoseAnswer: func(models.Transaction) bool { lost++; return lost == 1 }})
			revision, err := putRow(table, "a")
			is.NoErr(err)
			is.Equal(revision, models.Revision(1))
			checkOutcome(t, store, "a", revision, err)
		})
	})
	t.Run("a conflict with another transaction is reported", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := newRetryTable(1)
			_, err := putRow(table, "a")
			is.NoErr(err)
			_, err = putRow(table, "b")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict)
			checkOutcome(t, store, "b", 0, err)
		})
	})
	t.Run("the same transaction sent twice is committed once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, table := newRetryTable(1)
			first, err := putRow(table, "a")
			is.NoErr(err)
			second, err := putRow(table, "a")
			is.NoErr(err)
			is.Equal(first, second)
		})
	})
	t.Run("a late attempt has no effect once not done was reported", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := newRetryTable(1)
			store.SetFaults(standin.Faults{CommitDelay: func(x models.Transaction) time.Duration {
				if len(x.Writes) > 1 {
					return 30 * time.Second
				}
				return 0
			}})
			_, err := putRow(table, "a")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			checkOutcome(t, store, "a", 0, err)
		})
	})
	t.Run("a cancelled transaction can be retried", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := newRetryTable(1)
			store.SetFaults(standin.Faults{CommitDelay: func(x models.Transaction) time.Duration {
				if len(x.Writes) > 1 {
					return 30 * time.Second
				}
				return 0
			}})
			_, err := putRow(table, "a")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			store.SetFaults(standin.Faults{})
			revision, err := putRow(table, "a")
			is.NoErr(err)
			checkOutcome(t, store, "a", revision, err)
		})
	})
	t.Run("while the table is down the outcome is not done", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := newRetryTable(1)
			store.SetFaults(standin.Faults{Down: true})
			_, err := putRow(table, "a")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
		})
	})
	t.Run("the budget limits retries during an outage of an hour", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := newRetryTable(1)
			store.SetFaults(standin.Faults{Down: true})
			for range int(time.Hour / time.Second) {
				is.NoErr(clock.Sleep(t.Context(), time.Second))
				_, err := putRow(table, "a")
				is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			}
			settings := platform.DefaultRetrySettings(time.Second, 1)
			calls := float64(time.Hour / time.Second)
			is.True(float64(store.Counts().Writes) <= calls*(1+settings.BudgetRatio)+settings.BudgetCapacity) // retries stay within the budget
		})
	})
}

// randomFaults returns faults that lose a third of the responses and delay a
// third of the transactions by up to 5 s.
func randomFaults(random *rand.Rand) standin.Faults {
	return standin.Faults{
		LoseAnswer: func(models.Transaction) bool { return random.IntN(3) == 0 },
		CommitDelay: func(models.Transaction) time.Duration {
			if random.IntN(3) > 0 {
				return 0
			}
			return time.Duration(1+random.IntN(5000)) * time.Millisecond
		},
	}
}

func TestReportedOutcomeMatchesStoreUnderRandomFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := map[string]int{}
		for seed := range uint64(schedules) {
			random := rand.New(rand.NewPCG(seed, 0))
			store, table := newRetryTable(seed)
			store.SetFaults(randomFaults(random))
			id := strconv.FormatUint(seed, 10)
			revision, err := putRow(table, id)
			if err != nil && seed%2 == 0 {
				revision, err = putRow(table, id) // retry the same transaction
			}
			checkOutcome(t, store, id, revision, err)
			outcome := "done"
			if err != nil {
				outcome = string(peer.OutcomeOf(err))
			}
			outcomes[outcome]++
		}
		t.Log(outcomes)
		is.New(t).True(outcomes["done"] > schedules/2) // most succeed
	})
}
