package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	platformclient "quincewinch/peer/platform"
	"quincewinch/peer/system"
	"quincewinch/standin/platform"
)

var (
	keyA = models.RowKey{Partition: models.PartitionFleet, Name: "a"}
	keyB = models.RowKey{Partition: models.PartitionFleet, Name: "b"}
)

// put writes a row and returns the revision.
func put(t *testing.T, table peer.Table, key models.RowKey, value string) models.Revision {
	t.Helper()
	revision, err := table.Transact(t.Context(), models.Transaction{Writes: []models.Write{{Key: key, Value: []byte(value)}}})
	is.New(t).NoErr(err)
	return revision
}

// assertRows checks the rows that a list after a revision has, and how far it is
// complete.
func assertRows(t *testing.T, table peer.Table, after, through models.Revision, want ...models.Row) {
	t.Helper()
	is := is.New(t)
	changes, err := table.Changes(t.Context(), models.PartitionFleet, after)
	is.NoErr(err)
	is.Equal(changes.Through, through)
	is.Equal(len(changes.Rows), len(want))
	for i, row := range changes.Rows {
		is.True(row.Equal(want[i])) // the row, its value and its revision
	}
}

// assertOutcome checks that a call failed with the given outcome.
func assertOutcome(t *testing.T, err error, want peer.Outcome) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil) // the call failed
	is.Equal(peer.OutcomeOf(err), want)
}

func TestRestore(t *testing.T) {
	run := func(name string, test func(t *testing.T, store *platform.Store)) {
		t.Run(name, func(t *testing.T) { test(t, platform.NewStore(system.NewClock())) })
	}
	run("rows, tombstones and the counter are as of then", func(t *testing.T, store *platform.Store) {
		put(t, store, keyA, "1")
		put(t, store, keyA, "2")
		put(t, store, keyA, "3")
		put(t, store, keyB, "4")
		store.Restore(2)
		want := models.Row{Key: keyA, Revision: models.NewRevision(1, 2), Value: []byte("2")}
		assertRows(t, store, 0, models.NewRevision(1, 2), want)
		is.New(t).Equal(put(t, store, keyB, "5"), models.NewRevision(1, 3)) // the version is given out again
	})
	run("all rows are listed after a revision of an earlier era", func(t *testing.T, store *platform.Store) {
		put(t, store, keyA, "1")
		last := put(t, store, keyB, "2")
		store.Restore(1)
		assertRows(t, store, last, models.NewRevision(1, 1), models.Row{Key: keyA, Revision: models.NewRevision(1, 1), Value: []byte("1")})
	})
	run("twice", func(t *testing.T, store *platform.Store) {
		put(t, store, keyA, "1")
		put(t, store, keyA, "2")
		store.Restore(1)
		put(t, store, keyA, "3")
		put(t, store, keyA, "4")
		store.Restore(2)
		assertRows(t, store, 0, models.NewRevision(2, 2), models.Row{Key: keyA, Revision: models.NewRevision(2, 2), Value: []byte("3")})
		store.Restore(0)
		assertRows(t, store, 0, models.NewRevision(3, 0))
	})
	run("to a later version than the latest", func(t *testing.T, store *platform.Store) {
		put(t, store, keyA, "1")
		store.Restore(9)
		assertRows(t, store, 0, models.NewRevision(1, 1), models.Row{Key: keyA, Revision: models.NewRevision(1, 1), Value: []byte("1")})
	})
	run("conditions and the basis of an earlier era are rejected", func(t *testing.T, store *platform.Store) {
		revision := put(t, store, keyA, "1")
		store.Restore(1)
		write := []models.Write{{Key: keyB}}
		_, err := store.Transact(t.Context(), models.Transaction{Conditions: []models.Condition{{Key: keyA, Revision: revision}}, Writes: write})
		assertOutcome(t, err, peer.OutcomeRestored)
		_, err = store.Transact(t.Context(), models.Transaction{Basis: revision, Conditions: []models.Condition{{Key: keyB}}, Writes: write})
		assertOutcome(t, err, peer.OutcomeRestored)
		_, err = store.Transact(t.Context(), models.Transaction{
			Basis:      store.Revision(),
			Conditions: []models.Condition{{Key: keyA, Revision: models.NewRevision(1, 1)}, {Key: keyB}},
			Writes:     write,
		})
		is.New(t).NoErr(err) // as read in the current era
	})
	run("over HTTP", func(t *testing.T, store *platform.Store) {
		server := httptest.NewServer(platform.NewHandler(store))
		defer server.Close()
		client := platformclient.NewClient(server.URL, http.DefaultClient)
		put(t, store, keyA, "1")
		const restores = 9000 // revisions that a float64 cannot represent
		for range restores {
			store.Restore(1)
		}
		through := models.NewRevision(restores, 1)
		is.New(t).True(uint64(through+1) > 1<<53)
		assertRows(t, client, 0, through, models.Row{Key: keyA, Revision: through, Value: []byte("1")})
		assertRows(t, client, through, through)
		_, err := client.Transact(t.Context(), models.Transaction{Conditions: []models.Condition{{Key: keyA, Revision: 1}}})
		assertOutcome(t, err, peer.OutcomeRestored)
		_, err = client.Transact(t.Context(), models.Transaction{Basis: 1, Conditions: []models.Condition{{Key: keyB}}})
		assertOutcome(t, err, peer.OutcomeRestored)
		is.New(t).Equal(put(t, client, keyA, "2"), through+1)
	})
}
