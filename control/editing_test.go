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

// listAllVMs puts all daemons on the platform's list of VMs.
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

func TestOnlyOneDaemonReachesTable(t *testing.T) {
	t.Run("a new one", func(t *testing.T) {
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
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone) // the others would not hear of it
		assertRecovers(t, w)
	})
	t.Run("one that had closed", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		listAllVMs(w)
		cutStore(w.daemons...)
		w.run(settleTime)
		td, rest := w.daemons[0], w.daemons[1:]
		w.isolate(true, td)
		td.storeCut = false
		assertAdmits(t, w, 2*time.Minute, true, rest...)
		_, err := td.withdraw("k1")
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
		assertRecovers(t, w)
	})
	t.Run("one that stayed open removes those it does not hear", func(t *testing.T) {
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
		for _, other := range rest { // they hear it again, and nothing else
			w.cut(td, other, false)
		}
		assertAdmits(t, w, time.Minute, true, rest...)
		assertRecovers(t, w)
	})
}

// TestIncompleteRoster starts a daemon whose reads lag behind the registration
// of the one that accepts a withdrawal.
func TestIncompleteRoster(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	early := &testDaemon{world: w}
	early.freezeReads()
	other := w.start("a", netip.AddrPort{})
	w.run(settleTime)
	td := w.start("b", netip.AddrPort{})
	td.laggedReads = early.laggedReads
	w.cut(td, other, true)
	w.run(settleTime)
	is.True(td.admits("k0"))
	_, err := other.withdraw("k1")
	is.NoErr(err)
	w.run(2 * keyFreshness)
	holds(t, w)
}

// TestEditOfRemovedDaemon removes a daemon's registration while its edit is
// under way.
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
		if passed++; passed == 3 { // the read is done, the transaction is next
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

// TestLaggingReadsAfterOwnEdit edits at a daemon whose reads lag behind a
// withdrawal elsewhere: it knows the latest edit, and not the one before.
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

// TestClosingStatementWithMissingRows takes a daemon's word that it has closed only along with
// all its rows.
func TestClosingStatementWithMissingRows(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	td, other := w.daemons[0], w.daemons[1]
	roster := td.configuration.Roster()
	message := other.gossip.newMessage(td.self.ID, roster.Through+1)
	message.Editing = models.Editing{Epoch: 9, Settled: true, Member: roster.Registration(td.self.ID)}
	td.gossip.Receive(message)
	is.True(td.editing.MembersToAsk(roster)[other.self.ID]) // it still counts as open
	message.Known = 0
	td.gossip.Receive(message)
	is.True(!td.editing.MembersToAsk(roster)[other.self.ID])
}

// stepInterruption is what happens to a daemon at a boundary of its step, while a
// key is withdrawn elsewhere and time passes.
type stepInterruption struct {
	name    string
	daemon  int
	lagging bool // its reads lag behind the withdrawal
	cutLate bool // it is cut off from the others at the end of the step only
}

// TestWithdrawalAtEachBoundary interrupts a daemon at each boundary of a step.
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

// withdrawAtBoundary reports whether a step has so many boundaries.
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
			w.cut(td, other, true) // it is not told of the withdrawal
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
		{"an edit is under way", models.Editing{Epoch: 1, Open: true, Member: 5}, true, false},
		{"counted under a former registration", models.Editing{Settled: true, Member: 4}, true, false},
		{"not counted as registered", models.Editing{Settled: true}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := NewEditing("self")
			e.RecordAnswer("other", c.statement, c.complete, 5, at)
			_, ok := e.CompleteUntil(at, roster)
			is.Equal(ok, c.proven)
		})
	}
	t.Run("an edit under way here", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.SetWantOpen(true, NewRoster())
		is.NoErr(e.Begin())
		is.True(!e.Statement("other", 3).Settled)
		_, ok := e.CompleteUntil(at, NewRoster())
		is.True(!ok)
		e.SetWantOpen(false, NewRoster())
		is.True(e.Statement("other", 3).Open)                    // it closes when all is settled
		is.Equal(peer.OutcomeOf(e.Begin()), peer.OutcomeNotDone) // and takes no more
		e.Settle()
		e.SetWantOpen(false, NewRoster())
		is.True(!e.Statement("other", 3).Open)
	})
	t.Run("a late closing", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.RecordStatement("other", models.Editing{Epoch: 3, Open: true}, true, 5)
		e.RecordStatement("other", models.Editing{Epoch: 2, Settled: true, Member: 5}, true, 5)
		_, ok := e.CompleteUntil(at, roster)
		is.True(!ok)
	})
	t.Run("before registering anew", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.RecordStatement("other", models.Editing{Epoch: 2, Settled: true, Member: 5}, true, 5)
		e.Reset()
		_, ok := e.CompleteUntil(at, roster)
		is.True(!ok)
	})
	t.Run("one that was expelled", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.Expel("other", 3)
		is.Equal(e.Statement("other", 3).Member, models.Revision(0))
		is.Equal(e.Statement("other", 4).Member, models.Revision(4)) // registered anew
	})
	t.Run("removed, with rows missing before that", func(t *testing.T) {
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

func memberRow(t *testing.T, id models.DaemonID, revision models.Revision) models.Row {
	t.Helper()
	is := is.New(t)
	value, err := table.EncodeMember(table.Member{ID: id, Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:" + strconv.Itoa(int(revision)))})
	is.NoErr(err)
	return models.Row{Key: table.MemberKey(id), Revision: revision, Value: value}
}
