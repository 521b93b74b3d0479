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

// listAll puts all daemons on the platform's list of VMs.
func listAll(w *world) {
	var vms []models.VM
	for _, n := range w.nodes {
		vms = append(vms, models.VM{Daemon: string(n.self.ID), Zone: n.self.Zone, Address: n.self.Address})
	}
	w.store.SetVMs(vms)
}

// cutStore cuts daemons off from the table.
func cutStore(nodes ...*node) {
	for _, n := range nodes {
		n.storeCut = true
	}
}

func TestDaemonThatAloneReachesTheStore(t *testing.T) {
	t.Run("a new one", func(t *testing.T) {
		is := is.New(t)
		w := ready(t)
		old := w.nodes
		cutStore(old...)
		n := w.start("b", netip.AddrPort{})
		w.isolate(true, n)
		n.storeCut = false
		listAll(w)
		serves(t, w, 2*time.Minute, true, old...)
		_, err := n.withdraw("k1")
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone) // the others would not hear of it
		recovers(t, w)
	})
	t.Run("one that had closed", func(t *testing.T) {
		is := is.New(t)
		w := ready(t)
		listAll(w)
		cutStore(w.nodes...)
		w.run(settled)
		n, rest := w.nodes[0], w.nodes[1:]
		w.isolate(true, n)
		n.storeCut = false
		serves(t, w, 2*time.Minute, true, rest...)
		_, err := n.withdraw("k1")
		is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
		recovers(t, w)
	})
	t.Run("one that stayed open removes those it does not hear", func(t *testing.T) {
		is := is.New(t)
		w := ready(t)
		listAll(w)
		n, rest := w.nodes[0], w.nodes[1:]
		w.isolate(true, n)
		n.storeCut = false
		cutStore(rest...)
		w.run(time.Minute)
		withdrawal, err := n.withdraw("k1")
		is.NoErr(err)
		is.Equal(len(withdrawal.Pending), 0) // their registrations are gone
		serves(t, w, time.Minute, false, rest...)
		for _, other := range rest { // they hear it again, and nothing else
			w.cut(n, other, false)
		}
		serves(t, w, time.Minute, true, rest...)
		recovers(t, w)
	})
}

// TestIncompleteRoster starts a daemon whose reads lag behind the registration
// of the one that accepts a withdrawal.
func TestIncompleteRoster(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	early := &node{world: w}
	early.freeze()
	other := w.start("a", netip.AddrPort{})
	w.run(settled)
	n := w.start("b", netip.AddrPort{})
	n.lag = early.lag
	w.cut(n, other, true)
	w.run(settled)
	is.True(n.admits("k0"))
	_, err := other.withdraw("k1")
	is.NoErr(err)
	w.run(2 * keyFreshness)
	holds(t, w)
}

// TestEditOfRemovedDaemon removes a daemon's registration while its edit is
// under way.
func TestEditOfRemovedDaemon(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	listAll(w)
	n := w.nodes[0]
	passed := 0
	w.boundary = func(at *node) {
		if at != n || n.busy {
			return
		}
		if passed++; passed == 3 { // the read is done, the transaction is next
			n.busy = true
			w.isolate(true, n)
			w.run(time.Minute)
			n.storeCut = false
			n.busy = false
		}
	}
	_, err := n.withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict)
	recovers(t, w)
}

// TestLaggingReadsAfterOwnEdit edits at a daemon whose reads lag behind a
// withdrawal elsewhere: it knows the latest edit, and not the one before.
func TestLaggingReadsAfterOwnEdit(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	n, rest := w.nodes[2], w.nodes[:2]
	n.freeze()
	w.isolate(true, n)
	n.storeCut = false
	_, err := rest[0].withdraw("k1")
	is.NoErr(err)
	is.NoErr(n.put(3))
	w.run(2 * keyFreshness)
	holds(t, w)
	recovers(t, w)
}

// TestClosingWithAGap takes a daemon's word that it has closed only along with
// all its rows.
func TestClosingWithAGap(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	n, other := w.nodes[0], w.nodes[1]
	roster := n.configuration.Roster()
	message := other.gossip.message(n.self.ID, roster.Through+1)
	message.Editing = models.Editing{Epoch: 9, Settled: true, Member: roster.Registration(n.self.ID)}
	n.gossip.Receive(message)
	is.True(n.editing.Asked(roster)[other.self.ID]) // it still counts as open
	message.Known = 0
	n.gossip.Receive(message)
	is.True(!n.editing.Asked(roster)[other.self.ID])
}

// interruption is what happens to a daemon at a boundary of its step, while a
// key is withdrawn elsewhere and time passes.
type interruption struct {
	name    string
	node    int
	lagging bool // its reads lag behind the withdrawal
	cutLate bool // it is cut off from the others at the end of the step only
}

// TestWithdrawalAtEachBoundary interrupts a daemon at each boundary of a step.
func TestWithdrawalAtEachBoundary(t *testing.T) {
	for _, at := range []interruption{
		{name: "table reader", node: 2},
		{name: "table reader with lagging reads", node: 2, lagging: true},
		{name: "one of two in a zone", node: 0, cutLate: true},
		{name: "other of two in a zone", node: 1, cutLate: true},
	} {
		for boundary := 0; ; boundary++ {
			reached := false
			t.Run(at.name+" "+strconv.Itoa(boundary), func(t *testing.T) {
				reached = withdrawAt(t, at, boundary)
			})
			if !reached {
				break
			}
		}
	}
}

// withdrawAt reports whether a step has so many boundaries.
func withdrawAt(t *testing.T, at interruption, boundary int) bool {
	t.Helper()
	w := ready(t)
	n, other := w.nodes[at.node], w.nodes[3]
	if at.lagging {
		n.freeze()
	}
	cut := func() {
		w.isolate(true, n)
		n.storeCut = false
	}
	passed := 0
	w.boundary = func(by *node) {
		if by != n {
			return
		}
		if passed == boundary {
			w.boundary = func(*node) {}
			w.cut(n, other, true) // it is not told of the withdrawal
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
	n.step()
	w.boundary = func(*node) {}
	cut()
	n.storeCut = true
	w.run(2 * keyFreshness)
	holds(t, w)
	return passed > boundary
}

func TestStatementsThatBind(t *testing.T) {
	roster := NewRoster().with([]table.Change{
		{New: member(t, "self", 5)},
		{New: member(t, "other", 3)},
	})
	at := time.Unix(100, 0)
	for _, c := range []struct {
		name      string
		statement models.Editing
		whole     bool
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
			e.Answer("other", c.statement, c.whole, 5, at)
			_, ok := e.Proven(at, roster)
			is.Equal(ok, c.proven)
		})
	}
	t.Run("an edit under way here", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.Want(true, NewRoster())
		is.NoErr(e.Begin())
		is.True(!e.Statement("other", 3).Settled)
		_, ok := e.Proven(at, NewRoster())
		is.True(!ok)
		e.Want(false, NewRoster())
		is.True(e.Statement("other", 3).Open)                    // it closes when all is settled
		is.Equal(peer.OutcomeOf(e.Begin()), peer.OutcomeNotDone) // and takes no more
		e.Settle()
		e.Want(false, NewRoster())
		is.True(!e.Statement("other", 3).Open)
	})
	t.Run("a late closing", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.Note("other", models.Editing{Epoch: 3, Open: true}, true, 5)
		e.Note("other", models.Editing{Epoch: 2, Settled: true, Member: 5}, true, 5)
		_, ok := e.Proven(at, roster)
		is.True(!ok)
	})
	t.Run("before registering anew", func(t *testing.T) {
		is := is.New(t)
		e := NewEditing("self")
		e.Note("other", models.Editing{Epoch: 2, Settled: true, Member: 5}, true, 5)
		e.Forget()
		_, ok := e.Proven(at, roster)
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
		_, ok := NewEditing("self").Proven(at, removed)
		is.True(!ok)
		removed.Through = 9
		_, ok = NewEditing("self").Proven(at, removed)
		is.True(ok)
	})
}

func member(t *testing.T, id models.DaemonID, revision models.Revision) models.Row {
	t.Helper()
	is := is.New(t)
	value, err := table.EncodeMember(table.Member{ID: id, Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:" + strconv.Itoa(int(revision)))})
	is.NoErr(err)
	return models.Row{Key: table.MemberKey(id), Revision: revision, Value: value}
}
