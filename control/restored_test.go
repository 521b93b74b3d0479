package control

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/table"
)

var (
	workspaceKey = table.Key(table.KindWorkspace, "w")
	routeKey     = table.Key(table.KindRoute, "new")
)

// assertWeight asserts the weight of the workspace that is in force at daemons.
func assertWeight(t *testing.T, want float64, daemons ...*testDaemon) {
	t.Helper()
	for _, td := range daemons {
		if got := td.configuration.Config().Workspaces["w"].Weight; got != want {
			t.Fatalf("%s: weight %v in force at %v, want %v", td.self.ID, got, td.world.clock.now, want)
		}
	}
}

// assertRoute asserts whether the new route is in force at daemons.
func assertRoute(t *testing.T, want bool, daemons ...*testDaemon) {
	t.Helper()
	for _, td := range daemons {
		if _, got := td.configuration.Config().Routes["new"]; got != want {
			t.Fatalf("%s: route in force at %v: %v", td.self.ID, td.world.clock.now, got)
		}
	}
}

// assertRefuses asserts that daemons do not admit a key.
func assertRefuses(t *testing.T, id models.KeyID, daemons ...*testDaemon) {
	t.Helper()
	for _, td := range daemons {
		if td.admits(id) {
			t.Fatalf("%s: admits key %s at %v", td.self.ID, id, td.world.clock.now)
		}
	}
}

// throughout asserts after each step of a while.
func throughout(w *world, assert func()) {
	for end := w.clock.now.Add(warmUpTime); w.clock.now.Before(end); {
		w.run(stepInterval)
		assert()
	}
}

// assertStored asserts that the table has the version of a row that is in force.
func assertStored(t *testing.T, td *testDaemon, key models.RowKey) {
	t.Helper()
	is := is.New(t)
	rows, err := td.world.store.Read(t.Context(), key)
	is.NoErr(err)
	is.Equal(len(rows), 1)                            // the table has the row
	is.True(rows[0].Equal(td.configuration.Row(key))) // as it is in force
}

// TestRestoredConfiguration returns the table to a copy from before edits that
// were accepted. They stay in force, and are written again.
func TestRestoredConfiguration(t *testing.T) {
	run := func(name string, test func(t *testing.T, w *world, copied uint64)) {
		t.Run(name, func(t *testing.T) {
			w := newReadyCluster(t)
			test(t, w, w.store.Revision().Version())
		})
	}
	run("key stays withdrawn", func(t *testing.T, w *world, copied uint64) {
		_, err := w.daemons[0].withdraw("k1")
		is.New(t).NoErr(err)
		w.store.Restore(copied)
		throughout(w, func() { assertRefuses(t, "k1", w.daemons...) })
		assertStored(t, w.daemons[0], table.Key(table.KindKey, "k1"))
		assertRecovers(t, w)
	})
	run("edit stays in force", func(t *testing.T, w *world, copied uint64) {
		is.New(t).NoErr(w.daemons[0].put(7))
		w.run(stepInterval)
		w.store.Restore(copied)
		throughout(w, func() { assertWeight(t, 7, w.daemons...) })
		assertStored(t, w.daemons[0], workspaceKey)
		assertRecovers(t, w)
	})
	run("new row stays in force", func(t *testing.T, w *world, copied uint64) {
		_, err := w.daemons[0].editor.Put(t.Context(), "route", "new", 0, []byte(`{"kind": "model"}`))
		is.New(t).NoErr(err)
		w.run(stepInterval)
		w.store.Restore(copied)
		throughout(w, func() { assertRoute(t, true, w.daemons...) })
		assertStored(t, w.daemons[0], routeKey)
		assertRecovers(t, w)
	})
	run("deleted row stays deleted", func(t *testing.T, w *world, _ uint64) {
		is := is.New(t)
		row, err := w.daemons[0].editor.Put(t.Context(), "route", "new", 0, []byte(`{"kind": "model"}`))
		is.NoErr(err)
		copied := w.store.Revision().Version()
		_, err = w.daemons[0].editor.Delete(t.Context(), "route", "new", row.Version)
		is.NoErr(err)
		w.run(stepInterval)
		w.store.Restore(copied)
		throughout(w, func() { assertRoute(t, false, w.daemons...) })
		assertStored(t, w.daemons[0], routeKey)
		assertRecovers(t, w)
	})
	run("daemon that has not read the copy knows an edit that no other does", func(t *testing.T, w *world, copied uint64) {
		td, others := w.daemons[0], w.daemons[1:]
		w.isolate(true, others...)
		for _, other := range others {
			other.storeCut = false
		}
		_, err := td.withdraw("k1")
		is.New(t).NoErr(err)
		w.store.Restore(copied)
		td.storeCut = true
		w.run(warmUpTime)
		w.heal()
		td.storeCut = true
		w.run(2 * stepInterval)
		throughout(w, func() { assertRefuses(t, "k1", w.daemons...) })
		assertRecovers(t, w)
		assertRefuses(t, "k1", w.daemons...)
		assertStored(t, td, table.Key(table.KindKey, "k1"))
	})
	run("later edit replaces the one that was written again", func(t *testing.T, w *world, copied uint64) {
		cutOff, connected := w.daemons[3], w.daemons[:3]
		// The lost edit has a higher version than the later one.
		for range 20 {
			is.New(t).NoErr(w.daemons[0].put(7))
		}
		w.run(stepInterval)
		w.isolate(true, cutOff)
		w.store.Restore(copied)
		w.run(warmUpTime)
		assertWeight(t, 7, w.daemons...)
		is.New(t).NoErr(w.daemons[0].put(9))
		w.run(stepInterval)
		assertWeight(t, 9, connected...)
		w.heal()
		throughout(w, func() { assertWeight(t, 9, connected...) })
		assertWeight(t, 9, cutOff)
		assertRecovers(t, w)
	})
	run("twice", func(t *testing.T, w *world, copied uint64) {
		is.New(t).NoErr(w.daemons[0].put(7))
		w.store.Restore(copied)
		w.run(warmUpTime)
		w.store.Restore(copied)
		throughout(w, func() { assertWeight(t, 7, w.daemons...) })
		assertStored(t, w.daemons[0], workspaceKey)
		assertRecovers(t, w)
	})
	run("lost registration is written again", func(t *testing.T, w *world, copied uint64) {
		td := w.start("b", netip.AddrPort{})
		w.run(warmUpTime)
		w.store.Restore(copied)
		w.run(warmUpTime)
		for _, other := range w.daemons {
			is.New(t).Equal(len(other.configuration.Roster().Members), 5)
		}
		assertStored(t, td, table.MemberKey(td.self.ID))
		assertRecovers(t, w)
	})
	run("lost removal of a registration is made again", func(t *testing.T, w *world, copied uint64) {
		gone := w.daemons[3]
		w.kill(gone)
		w.run(removeAfter + warmUpTime)
		is.New(t).Equal(len(w.daemons[0].configuration.Roster().Members), 3)
		w.store.Restore(copied)
		w.run(removeAfter + warmUpTime)
		is.New(t).Equal(len(w.daemons[0].configuration.Roster().Members), 3)
		assertRecovers(t, w)
	})
}

// TestRestoredDesiredState returns the table to a copy without the desired state
// of an engine, which must be writable again.
func TestRestoredDesiredState(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	rows := newDesiredRows(w.store)
	is.NoErr(rows.refresh(t.Context()))
	guardKey := models.RowKey{Partition: models.PartitionLeases, Name: "guard"}
	authority := func() models.Authority {
		revision, err := w.store.Transact(t.Context(), models.Transaction{Writes: []models.Write{{Key: guardKey}}})
		is.NoErr(err)
		return models.Authority{Fence: uint64(revision), Guard: models.Condition{Key: guardKey, Revision: revision}}
	}
	before := authority()
	copied := w.store.Revision().Version()
	is.NoErr(rows.write(t.Context(), before, []models.DesiredEngine{{Engine: "e", Role: models.RoleDecode}}))
	w.store.Restore(copied)
	is.NoErr(rows.refresh(t.Context()))
	_, known := rows.get("e")
	is.True(!known) // the table does not have it
	is.NoErr(rows.write(t.Context(), authority(), []models.DesiredEngine{{Engine: "e", Role: models.RolePrefill}}))
}
