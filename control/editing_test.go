package control

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

// listAllVMs adds all daemons to the platform's list of VMs.
func listAllVMs(w *world) {
	var vms []models.VM
	for _, td := range w.daemons {
		vms = append(vms, models.VM{Daemon: string(td.self.ID), Zone: td.self.Zone, Address: td.self.Address})
	}
	w.store.SetVMs(vms)
}

// cutStore cuts daemons off from the table.
func cutStore(daemons ...*testDaemon) {
	for _, td := range daemons {
		td.storeCut = true
	}
}

// TestOnlyOneDaemonReachesTable cuts all daemons but one off from the table, and
// that one off from the others. It must not accept a withdrawal while daemons
// that do not learn of it may go on admitting the key.
func TestOnlyOneDaemonReachesTable(t *testing.T) {
	t.Run("a new daemon", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		old := w.daemons
		cutStore(old...)
		td := w.start("b", netip.AddrPort{})
		w.isolate(true, td)
		td.storeCut = false
		listAllVMs(w)
		assertAdmits(t, w, 2*time.Minute, true, old...)
		_, err := td.withdraw("k1")
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone) // the others would not learn of it
		assertRecovers(t, w)
	})
	t.Run("a daemon that had closed to edits", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		listAllVMs(w)
		cutStore(w.daemons...)
		w.run(warmUpTime)
		td, rest := w.daemons[0], w.daemons[1:]
		w.isolate(true, td)
		td.storeCut = false
		assertAdmits(t, w, 2*time.Minute, true, rest...)
		_, err := td.withdraw("k1")
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
		assertRecovers(t, w)
	})
	t.Run("a daemon that stayed open removes the silent ones", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		listAllVMs(w)
		td, rest := w.daemons[0], w.daemons[1:]
		w.isolate(true, td)
		td.storeCut = false
		cutStore(rest...)
		w.run(time.Minute)
		withdrawal, err := td.withdraw("k1")
		is.NoErr(err)
		is.Equal(len(withdrawal.Pending), 0) // their registrations are gone
		assertAdmits(t, w, time.Minute, false, rest...)
		for _, other := range rest { // they reach it again, and nothing else
			w.cut(td, other, false)
		}
		assertAdmits(t, w, time.Minute, true, rest...)
		assertRecovers(t, w)
	})
}

// TestIncompleteRoster starts a daemon whose reads lag, so that it does not see
// the registration of the daemon that accepts a withdrawal.
func TestIncompleteRoster(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	early := &testDaemon{world: w}
	early.freezeReads()
	other := w.start("a", netip.AddrPort{})
	w.run(warmUpTime)
	td := w.start("b", netip.AddrPort{})
	td.laggedReads = early.laggedReads
	w.cut(td, other, true)
	w.run(warmUpTime)
	is.True(td.admits("k0"))
	_, err := other.withdraw("k1")
	is.NoErr(err)
	w.run(2 * keyFreshness)
	holds(t, w)
}

// TestEditOfRemovedDaemon removes a daemon's registration during one of its
// edits, which then must not be committed.
func TestEditOfRemovedDaemon(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	listAllVMs(w)
	td := w.daemons[0]
	passed := 0
	w.onBoundary = func(at *testDaemon) {
		if at != td || td.busy {
			return
		}
		if passed++; passed == 3 { // between the read and the transaction
			td.busy = true
			w.isolate(true, td)
			w.run(time.Minute)
			td.storeCut = false
			td.busy = false
		}
	}
	_, err := td.withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict)
	assertRecovers(t, w)
}

// TestLaggingReadsAfterOwnEdit makes an edit at a daemon whose reads lag behind
// a withdrawal elsewhere: it knows the latest edit, but not the one before, and
// must not take its rows for complete.
func TestLaggingReadsAfterOwnEdit(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	td, rest := w.daemons[2], w.daemons[:2]
	td.freezeReads()
	w.isolate(true, td)
	td.storeCut = false
	_, err := rest[0].withdraw("k1")
	is.NoErr(err)
	is.NoErr(td.put(3))
	w.run(2 * keyFreshness)
	holds(t, w)
	assertRecovers(t, w)
}

// TestClosingStatementWithMissingRows checks that a statement of having closed
// counts only if it comes with all rows that its sender knew.
func TestClosingStatementWithMissingRows(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	td, other := w.daemons[0], w.daemons[1]
	roster := td.configuration.Roster()
	message := other.gossip.newMessage(td.self.ID, roster.Through+1)
	message.Editing = models.Editing{Epoch: 9, Settled: true, Member: roster.Registration(td.self.ID)}
	td.gossip.Receive(message)
	is.True(td.editing.MembersToAsk(roster)[other.self.ID]) // the sender still counts as open
	message.Known = 0
	td.gossip.Receive(message)
	is.True(!td.editing.MembersToAsk(roster)[other.self.ID])
}

// stepInterruption describes how a daemon is cut off at a boundary of its step,
// where a key is withdrawn elsewhere and time passes.
type stepInterruption struct {
	name    string
	daemon  int
	lagging bool // its reads lag from before the withdrawal on
	cutLate bool // it is cut off at the end of the step, not at the boundary
}

// TestWithdrawalAtEachBoundary interrupts a daemon at each boundary of a step.
// A withdrawn key must not be admitted beyond its freshness limit.
func TestWithdrawalAtEachBoundary(t *testing.T) {
	for _, at := range []stepInterruption{
		{name: "table reader", daemon: 2},
		{name: "table reader with lagging reads", daemon: 2, lagging: true},
		{name: "one of two in a zone", daemon: 0, cutLate: true},
		{name: "other of two in a zone", daemon: 1, cutLate: true},
	} {
		for boundary := 0; ; boundary++ {
			reached := false
			t.Run(at.name+" "+strconv.Itoa(boundary), func(t *testing.T) {
				reached = withdrawAtBoundary(t, at, boundary)
			})
			if !reached {
				break
			}
		}
	}
}

// withdrawAtBoundary withdraws a key at a boundary of a step, by its number, and
// reports whether the step got that far.
func withdrawAtBoundary(t *testing.T, at stepInterruption, boundary int) bool {
	t.Helper()
	w := newReadyCluster(t)
	td, other := w.daemons[at.daemon], w.daemons[3]
	if at.lagging {
		td.freezeReads()
	}
	cut := func() {
		w.isolate(true, td)
		td.storeCut = false
	}
	passed := 0
	w.onBoundary = func(by *testDaemon) {
		if by != td {
			return
		}
		if passed == boundary {
			w.onBoundary = func(*testDaemon) {}
			w.cut(td, other, true) // it does not receive the withdrawal
			if _, err := other.withdraw("k1"); err != nil {
				t.Error(err)
			}
			w.clock.now = w.clock.now.Add(4 * time.Second)
			if !at.cutLate {
				cut()
			}
		}
		passed++
	}
	td.step()
	w.onBoundary = func(*testDaemon) {}
	cut()
	td.storeCut = true
	w.run(2 * keyFreshness)
	holds(t, w)
	return passed > boundary
}

func TestStatementsThatProveCompleteness(t *testing.T) {
	roster := NewRoster().with([]table.Change{
		{New: memberRow(t, "self", 5)},
		{New: memberRow(t, "other", 3)},
	})
	at := time.Unix(100, 0)
	for _, c := range []struct {
		name      string
		statement models.Editing
		complete  bool
		proven    bool
	}{
		{"closed", models.Editing{Settled: true, Member: 5}, true, true},
		{"open and settled", models.Editing{Epoch: 1, Open: true, Settled: true, Member: 5}, true, true},
		{"rows are missing", models.Editing{Settled: true, Member: 5}, false, false},
		{"an edit is in progress", models.Editing{Epoch: 1, Open: true, Member: 5}, true, false},
		{"names a former registration", models.Editing{Settled: true, Member: 4}, true, false},
		{"names no registration", models.Editing{Settled: true}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := NewEditing("self")
			e.RecordAnswer("other", c.statement, c.complete, 5, at)
			_, ok := e.CompleteUntil(at, roster)
			is.Equal(ok, c.proven)
		})
	}
	t.Run("an edit in progress here", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.SetWantOpen(true, NewRoster())
		is.NoErr(e.Begin())
		is.True(!e.Statement("other", 3).Settled)
		_, ok := e.CompleteUntil(at, NewRoster())
		is.True(!ok)
		e.SetWantOpen(false, NewRoster())
		is.True(e.Statement("other", 3).Open)                    // closes once the edit is settled
		is.Equal(peer.OutcomeOf(e.Begin()), peer.OutcomeNotDone) // but accepts no more
		e.Settle()
		e.SetWantOpen(false, NewRoster())
		is.True(!e.Statement("other", 3).Open)
	})
	t.Run("a closing statement older than the recorded one", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.RecordStatement("other", models.Editing{Epoch: 3, Open: true}, true, 5)
		e.RecordStatement("other", models.Editing{Epoch: 2, Settled: true, Member: 5}, true, 5)
		_, ok := e.CompleteUntil(at, roster)
		is.True(!ok)
	})
	t.Run("reset before registering again", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.RecordStatement("other", models.Editing{Epoch: 2, Settled: true, Member: 5}, true, 5)
		e.Reset()
		_, ok := e.CompleteUntil(at, roster)
		is.True(!ok)
	})
	t.Run("an expelled daemon", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.Expel("other", 3)
		is.Equal(e.Statement("other", 3).Member, models.Revision(0))
		is.Equal(e.Statement("other", 4).Member, models.Revision(4)) // registered again
	})
	t.Run("removed, with earlier rows missing", func(t *testing.T) {
		is := is.New(t)
		removed := roster.with([]table.Change{{New: models.Row{Key: table.MemberKey("other"), Revision: 9, Deleted: true}}})
		removed.Through = 8
		_, ok := NewEditing("self").CompleteUntil(at, removed)
		is.True(!ok)
		removed.Through = 9
		_, ok = NewEditing("self").CompleteUntil(at, removed)
		is.True(ok)
	})
}

// memberRow returns the row of a daemon's registration.
func memberRow(t *testing.T, id models.DaemonID, revision models.Revision) models.Row {
	t.Helper()
	is := is.New(t)
	value, err := table.EncodeMember(table.Member{ID: id, Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:" + strconv.Itoa(int(revision)))})
	is.NoErr(err)
	return models.Row{Key: table.MemberKey(id), Revision: revision, Value: value}
}
