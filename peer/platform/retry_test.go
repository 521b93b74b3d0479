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

var row = models.RowKey{Partition: models.PartitionFleet, Name: "row"}

const schedules = 10_000

var clock = system.NewClock()

// retrying returns a store and a table that tries again on it.
func retrying(seed uint64) (*standin.Store, *platform.RetryTable) {
	store := standin.NewStore(clock)
	return store, platform.NewRetryTable(store, clock, platform.DefaultRetrySettings(time.Second, seed))
}

// put writes the row once, on the condition that it is new.
func put(table peer.Table, id string) (models.Revision, error) {
	return table.Transact(context.Background(), models.Transaction{
		ID:         id,
		Conditions: []models.Condition{{Key: row}},
		Writes:     []models.Write{{Key: row, Value: []byte(id)}},
	})
}

// written reads the row past all faults.
func written(t *testing.T, store *standin.Store) models.Row {
	t.Helper()
	is := is.New(t)
	store.SetFaults(standin.Faults{})
	rows, err := store.Read(context.Background(), row)
	is.NoErr(err)
	if len(rows) == 0 {
		return models.Row{}
	}
	return rows[0]
}

// truthful asserts that a reported outcome is what became of the row, also
// after everything under way has arrived.
func truthful(t *testing.T, store *standin.Store, id string, revision models.Revision, err error) {
	t.Helper()
	is := is.New(t)
	is.NoErr(clock.Sleep(t.Context(), time.Minute))
	found := written(t, store)
	if err == nil {
		is.Equal(string(found.Value), id)  // reported done: it was
		is.Equal(found.Revision, revision) // and once, at that revision
		return
	}
	if peer.OutcomeOf(err) != peer.OutcomeUnknown {
		is.True(string(found.Value) != id) // reported not done: it never was
	}
}

func TestTransact(t *testing.T) {
	t.Run("a lost answer is found by the retry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := retrying(1)
			lost := 0
			store.SetFaults(standin.Faults{LoseAnswer: func(models.Transaction) bool { lost++; return lost == 1 }})
			revision, err := put(table, "a")
			is.NoErr(err)
			is.Equal(revision, models.Revision(1))
			truthful(t, store, "a", revision, err)
		})
	})
	t.Run("a lost conflict is no success", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := retrying(1)
			_, err := put(table, "a")
			is.NoErr(err)
			_, err = put(table, "b")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict)
			truthful(t, store, "b", 0, err)
		})
	})
	t.Run("the same transaction twice", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, table := retrying(1)
			first, err := put(table, "a")
			is.NoErr(err)
			second, err := put(table, "a")
			is.NoErr(err)
			is.Equal(first, second)
		})
	})
	t.Run("a late first attempt has no effect after not done", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := retrying(1)
			store.SetFaults(standin.Faults{CommitDelay: func(x models.Transaction) time.Duration {
				if len(x.Writes) > 1 {
					return 30 * time.Second
				}
				return 0
			}})
			_, err := put(table, "a")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			truthful(t, store, "a", 0, err)
		})
	})
	t.Run("what was cancelled can be tried again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := retrying(1)
			store.SetFaults(standin.Faults{CommitDelay: func(x models.Transaction) time.Duration {
				if len(x.Writes) > 1 {
					return 30 * time.Second
				}
				return 0
			}})
			_, err := put(table, "a")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			store.SetFaults(standin.Faults{})
			revision, err := put(table, "a")
			is.NoErr(err)
			truthful(t, store, "a", revision, err)
		})
	})
	t.Run("a table that stays down is not done", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := retrying(1)
			store.SetFaults(standin.Faults{Down: true})
			_, err := put(table, "a")
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
		})
	})
	t.Run("an outage of an hour costs few retries", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store, table := retrying(1)
			store.SetFaults(standin.Faults{Down: true})
			for range int(time.Hour / time.Second) {
				is.NoErr(clock.Sleep(t.Context(), time.Second))
				_, err := put(table, "a")
				is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			}
			settings := platform.DefaultRetrySettings(time.Second, 1)
			calls := float64(time.Hour / time.Second)
			is.True(float64(store.Counts().Writes) <= calls*(1+settings.BudgetShare)+settings.BudgetMost) // the budget holds
		})
	})
}

// trouble draws the fate of each attempt.
func trouble(random *rand.Rand) standin.Faults {
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

func TestOutcomesAreTrueInManySchedules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := map[string]int{}
		for seed := range uint64(schedules) {
			random := rand.New(rand.NewPCG(seed, 0))
			store, table := retrying(seed)
			store.SetFaults(trouble(random))
			id := strconv.FormatUint(seed, 10)
			revision, err := put(table, id)
			if err != nil && seed%2 == 0 {
				revision, err = put(table, id) // the same one again
			}
			truthful(t, store, id, revision, err)
			outcome := "done"
			if err != nil {
				outcome = string(peer.OutcomeOf(err))
			}
			outcomes[outcome]++
		}
		t.Log(outcomes)
		is.New(t).True(outcomes["done"] > schedules/2) // most are settled
	})
}
