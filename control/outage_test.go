package control

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/request"
	"quincewinch/standin/platform"
	"quincewinch/table"
)

// settled is how long a deployment needs to be registered, open and fresh.
const settled = 5 * time.Second

// ready returns four daemons in three zones that take requests and edits.
func ready(t *testing.T) *world {
	t.Helper()
	is := is.New(t)
	w := newWorld("a", "a", "b", "c")
	w.run(settled)
	for _, n := range w.nodes {
		is.True(n.editing.Open())
		is.True(n.admits("k0"))
	}
	return w
}

// holds asserts that no promise was broken.
func holds(t *testing.T, w *world) {
	t.Helper()
	for _, violation := range invariant.Check(w.history) {
		t.Errorf("%s: %s", violation.Promise, violation.Detail)
	}
}

// serves asserts over a time whether daemons admit a valid key.
func serves(t *testing.T, w *world, d time.Duration, want bool, nodes ...*node) {
	t.Helper()
	for end := w.clock.now.Add(d); w.clock.now.Before(end); {
		w.run(round)
		for _, n := range nodes {
			if n.admits("k0") != want {
				t.Fatalf("%s: admits is %v, evidence %v at %v", n.self.ID, !want, n.configuration.Evidence(), w.clock.now)
			}
		}
	}
}

// recovers asserts that everyone serves, takes edits and agrees again.
func recovers(t *testing.T, w *world) {
	t.Helper()
	is := is.New(t)
	w.heal()
	w.run(settled)
	for _, n := range w.nodes {
		n.observe(true)
		is.True(n.admits("k0"))   // serves
		is.True(n.editing.Open()) // takes edits
		is.NoErr(n.put(2))        // and carries one out
		w.run(round)
	}
	w.run(changeBound + round)
	for _, n := range w.nodes {
		n.observe(true)
	}
	holds(t, w)
}

func TestRaceOfTwoOperators(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	version := w.nodes[0].configuration.Row(table.Key(table.KindWorkspace, "w")).Revision
	_, err := w.nodes[0].editor.Put(t.Context(), "workspace", "w", version, []byte(`{"weight": 3}`))
	is.NoErr(err)
	standing, err := w.nodes[1].editor.Put(t.Context(), "workspace", "w", version, []byte(`{"weight": 4}`))
	is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict) // the later one loses
	is.Equal(standing.Cells["weight"], 3.0)             // and sees the row that won
	recovers(t, w)
}

func TestStoreOutage(t *testing.T) {
	t.Run("down for an hour", func(t *testing.T) {
		is := is.New(t)
		w := ready(t)
		w.store.SetFaults(platform.Faults{Down: true})
		serves(t, w, time.Hour, true, w.nodes...)
		is.Equal(peer.OutcomeOf(w.nodes[0].put(1)), peer.OutcomeNotDone) // edits are refused
		is.Equal(w.nodes[0].configuration.Evidence().Source, models.EvidenceStoreOutage)
		recovers(t, w)
	})
	t.Run("slow", func(t *testing.T) {
		w := ready(t)
		w.store.SetFaults(platform.Faults{Delay: 200 * time.Millisecond})
		serves(t, w, time.Minute, true, w.nodes...)
		recovers(t, w)
	})
	t.Run("a closed daemon is killed", func(t *testing.T) {
		w := ready(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.run(settled)
		w.kill(w.nodes[0])
		serves(t, w, time.Minute, true, w.nodes...)
	})
	t.Run("an open daemon is killed", func(t *testing.T) {
		w := ready(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.kill(w.nodes[0]) // it may have accepted a withdrawal that nobody knows
		w.run(keyFreshness + 2*time.Second)
		serves(t, w, time.Minute, false, w.nodes...)
	})
	t.Run("a planned stop", func(t *testing.T) {
		w := ready(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.nodes[0].membership.Leave()
		w.nodes[0].gossip.Push(t.Context())
		w.kill(w.nodes[0])
		serves(t, w, time.Minute, true, w.nodes...)
	})
}

// TestPartition cuts off a zone, then a daemon, while a key is withdrawn.
func TestPartition(t *testing.T) {
	for name, size := range map[string]int{"zone": 2, "daemon": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := ready(t)
			out, in := w.nodes[:size], w.nodes[size:]
			w.isolate(true, out...)
			withdrawal, err := in[0].withdraw("k1")
			is.NoErr(err)
			is.Equal(len(withdrawal.Pending), size)        // the cut-off ones have yet to confirm
			is.Equal(withdrawal.StopsWithin, keyFreshness) // and stop by themselves by then
			is.Equal(len(withdrawal.InForce), 4-size)      // the others have
			serves(t, w, settled, true, in...)
			w.run(2 * time.Second)
			serves(t, w, 2*time.Minute, false, out...)
			for _, n := range out {
				is.NoErr(n.admit.Handle(t.Context(), &request.Exchange{RouteName: "open"})) // open routes go on
			}
			is.Equal(peer.OutcomeOf(out[0].put(1)), peer.OutcomeNotDone) // no edits there
			recovers(t, w)
		})
	}
}

func TestLaggingVMList(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	// The list shows none of them, and one that is long gone.
	w.store.SetVMs([]models.VM{{Daemon: "old", Zone: "a", Address: netip.MustParseAddrPort("10.9.9.9:1")}})
	n := w.start("b", netip.AddrPort{})
	serves(t, w, time.Minute, true, w.nodes[:4]...)
	is.True(n.admits("k0")) // the new one takes part all the same
	is.Equal(len(n.membership.Others()), 4)
	recovers(t, w)
}

func TestRestartDuringOutage(t *testing.T) {
	t.Run("peers on the list of VMs", func(t *testing.T) {
		is := is.New(t)
		w := ready(t)
		_, err := w.nodes[0].withdraw("k1")
		is.NoErr(err)
		w.store.SetVMs([]models.VM{{Address: w.nodes[1].self.Address}, {Address: w.nodes[2].self.Address}})
		for _, n := range w.nodes {
			n.storeCut = true
		}
		w.run(settled)
		n := w.start("a", netip.AddrPort{})
		n.storeCut = true
		w.run(settled)
		serves(t, w, time.Minute, true, w.nodes...)
		is.True(!n.admits("k1")) // it learnt of the withdrawal
		recovers(t, w)
	})
	t.Run("nobody in reach", func(t *testing.T) {
		is := is.New(t)
		w := ready(t)
		w.store.SetFaults(platform.Faults{Down: true})
		n := w.start("a", netip.AddrPort{})
		serves(t, w, time.Minute, false, n)
		is.Equal(n.configuration.Config().Through, models.Revision(0)) // it is not ready
		recovers(t, w)
	})
}

func TestLostAnswerOfWithdrawal(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	lost := 0
	w.store.SetFaults(platform.Faults{LoseAnswer: func(transaction models.Transaction) bool {
		if transaction.ID != "" && lost == 0 {
			lost++
			return true
		}
		return false
	}})
	_, err := w.nodes[0].withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown) // not told to be done, nor to have failed
	is.Equal(lost, 1)
	w.run(settled)
	for _, n := range w.nodes {
		is.True(!n.admits("k1")) // the write had taken effect
	}
	is.True(w.nodes[0].editing.Statement("", 0).Settled) // and its daemon knows
	withdrawal, err := w.nodes[1].withdraw("k1")
	is.NoErr(err) // the same twice
	is.Equal(len(withdrawal.InForce), 4)
	recovers(t, w)
}

// TestUnknownWithdrawalAndLaggingReads leaves an edit in doubt as long as the
// table shows no more than before it.
func TestUnknownWithdrawalAndLaggingReads(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	n := w.nodes[0]
	n.freeze()
	w.isolate(true, n)
	n.storeCut = false
	w.store.SetFaults(platform.Faults{LoseAnswer: func(transaction models.Transaction) bool { return transaction.ID != "" }})
	_, err := n.withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
	w.run(settled)
	is.True(!n.editing.Statement("", 0).Settled)
	n.lag = nil
	w.run(settled)
	is.True(n.editing.Statement("", 0).Settled)
	is.True(!n.admits("k1"))
	recovers(t, w)
}

// TestRestartOfAllInPlace kills all daemons and starts others at their
// addresses.
func TestRestartOfAllInPlace(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	listAll(w)
	for _, n := range slices.Clone(w.nodes) {
		w.kill(n)
		w.start(n.self.Zone, n.self.Address)
	}
	w.run(2 * settled)
	for _, n := range w.nodes {
		is.True(n.editing.Open()) // nobody waits for those that are gone
	}
	recovers(t, w)
}

// TestPush spreads a change before any exchange is due.
func TestPush(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	n := w.nodes[0]
	is.NoErr(n.put(7))
	n.spread.Step(t.Context())
	for _, other := range w.nodes {
		is.Equal(other.configuration.Config().Workspaces["w"].Weight, 7.0)
	}
}

// TestUnknownWithdrawalInOutage loses the answer of a withdrawal to an outage
// that goes on: whether it took effect can't be known.
func TestUnknownWithdrawalInOutage(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	w.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
	_, err := w.nodes[0].withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
	w.store.SetFaults(platform.Faults{Down: true})
	w.run(keyFreshness + 2*time.Second)
	serves(t, w, time.Minute, false, w.nodes...)
	recovers(t, w)
	for _, n := range w.nodes {
		is.True(!n.admits("k1"))
	}
}

func TestWithdrawnKeyIsNotRevivedByAnEdit(t *testing.T) {
	is := is.New(t)
	w := ready(t)
	withdrawal, err := w.nodes[0].withdraw("k1")
	is.NoErr(err)
	_, err = w.nodes[0].editor.Put(context.Background(), "key", "k1", withdrawal.Revision, []byte(`{"workspace": "w", "hash": ""}`))
	is.Equal(peer.OutcomeOf(err), peer.OutcomeRefused)
}

func TestDeltaInParts(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	var rows []models.Row
	for i := range 10 {
		rows = append(rows, models.Row{Key: models.RowKey{Name: string(rune('a' + i))}, Revision: models.Revision(1 + i/2)})
	}
	r.Take(rows)
	r.Advance(0, 5)
	part, through, more := r.Newer(0, 3)
	is.True(more)
	is.Equal(len(part), 4)                // whole revisions
	is.Equal(through, models.Revision(2)) // complete up to the last of them
	other := NewReplica()
	other.Advance(through, 5)
	is.Equal(other.Through(), models.Revision(0)) // rows up to 2 are missing there
	part, through, more = r.Newer(through, 10)
	is.True(!more)
	is.Equal(len(part), 6)
	is.Equal(through, models.Revision(5))
}

func TestPartOfADeltaIsNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld("a")
	n := w.nodes[0]
	w.run(settled)
	_, _, evidence := n.configuration.Delta(0)
	is.Equal(evidence.Source, models.EvidenceOwnRead)
	var rows []models.Row
	for i := range deltaRows + 1 {
		rows = append(rows, models.Row{Key: table.Key(table.KindRoute, strconv.Itoa(i)), Revision: models.Revision(1000 + i), Value: []byte(`{"kind": "model"}`)})
	}
	n.configuration.Learn(rows)
	_, _, evidence = n.configuration.Delta(0)
	is.Equal(evidence.Source, models.EvidenceNone)
}
