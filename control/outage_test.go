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

// settleTime is how long a deployment needs to be registered, open and fresh.
const settleTime = 5 * time.Second

// newReadyCluster returns four daemons in three zones that take requests and edits.
func newReadyCluster(t *testing.T) *world {
	t.Helper()
	is := is.New(t)
	w := newWorld("a", "a", "b", "c")
	w.run(settleTime)
	for _, td := range w.daemons {
		is.True(td.editing.Open())
		is.True(td.admits("k0"))
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

// assertAdmits asserts over a time whether daemons admit a valid key.
func assertAdmits(t *testing.T, w *world, d time.Duration, want bool, daemons ...*testDaemon) {
	t.Helper()
	for end := w.clock.now.Add(d); w.clock.now.Before(end); {
		w.run(stepInterval)
		for _, td := range daemons {
			if td.admits("k0") != want {
				t.Fatalf("%s: admits is %v, evidence %v at %v", td.self.ID, !want, td.configuration.Evidence(), w.clock.now)
			}
		}
	}
}

// assertRecovers asserts that everyone serves, takes edits and agrees again.
func assertRecovers(t *testing.T, w *world) {
	t.Helper()
	is := is.New(t)
	w.heal()
	w.run(settleTime)
	for _, td := range w.daemons {
		td.observe(true)
		is.True(td.admits("k0"))   // serves
		is.True(td.editing.Open()) // takes edits
		is.NoErr(td.put(2))        // and carries one out
		w.run(stepInterval)
	}
	w.run(changeBound + stepInterval)
	for _, td := range w.daemons {
		td.observe(true)
	}
	holds(t, w)
}

func TestConcurrentEdits(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	version := w.daemons[0].configuration.Row(table.Key(table.KindWorkspace, "w")).Revision
	_, err := w.daemons[0].editor.Put(t.Context(), "workspace", "w", version, []byte(`{"weight": 3}`))
	is.NoErr(err)
	standing, err := w.daemons[1].editor.Put(t.Context(), "workspace", "w", version, []byte(`{"weight": 4}`))
	is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict) // the later one loses
	is.Equal(standing.Cells["weight"], 3.0)             // and sees the row that won
	assertRecovers(t, w)
}

func TestStoreOutage(t *testing.T) {
	t.Run("down for an hour", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		assertAdmits(t, w, time.Hour, true, w.daemons...)
		is.Equal(peer.OutcomeOf(w.daemons[0].put(1)), peer.OutcomeNotDone) // edits are refused
		is.Equal(w.daemons[0].configuration.Evidence().Source, models.EvidenceOutage)
		assertRecovers(t, w)
	})
	t.Run("slow", func(t *testing.T) {
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Delay: 200 * time.Millisecond})
		assertAdmits(t, w, time.Minute, true, w.daemons...)
		assertRecovers(t, w)
	})
	t.Run("a closed daemon is killed", func(t *testing.T) {
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.run(settleTime)
		w.kill(w.daemons[0])
		assertAdmits(t, w, time.Minute, true, w.daemons...)
	})
	t.Run("an open daemon is killed", func(t *testing.T) {
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.kill(w.daemons[0]) // it may have accepted a withdrawal that nobody knows
		w.run(keyFreshness + 2*time.Second)
		assertAdmits(t, w, time.Minute, false, w.daemons...)
	})
	t.Run("a planned stop", func(t *testing.T) {
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.daemons[0].membership.Leave()
		w.daemons[0].gossip.Push(t.Context())
		w.kill(w.daemons[0])
		assertAdmits(t, w, time.Minute, true, w.daemons...)
	})
}

// TestPartition cuts off a zone, then a daemon, while a key is withdrawn.
func TestPartition(t *testing.T) {
	for name, size := range map[string]int{"zone": 2, "daemon": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newReadyCluster(t)
			cutOff, connected := w.daemons[:size], w.daemons[size:]
			w.isolate(true, cutOff...)
			withdrawal, err := connected[0].withdraw("k1")
			is.NoErr(err)
			is.Equal(len(withdrawal.Pending), size)      // the cut-off ones have yet to confirm
			is.Equal(withdrawal.StopsWith, keyFreshness) // and stop by themselves by then
			is.Equal(len(withdrawal.InForce), 4-size)    // the others have
			assertAdmits(t, w, settleTime, true, connected...)
			w.run(2 * time.Second)
			assertAdmits(t, w, 2*time.Minute, false, cutOff...)
			for _, td := range cutOff {
				is.NoErr(td.admit.Handle(t.Context(), &request.Exchange{RouteName: "open"})) // open routes go on
			}
			is.Equal(peer.OutcomeOf(cutOff[0].put(1)), peer.OutcomeNotDone) // no edits there
			assertRecovers(t, w)
		})
	}
}

func TestLaggingVMList(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	// The list shows none of them, and one that is long gone.
	w.store.SetVMs([]models.VM{{Daemon: "old", Zone: "a", Address: netip.MustParseAddrPort("10.9.9.9:1")}})
	td := w.start("b", netip.AddrPort{})
	assertAdmits(t, w, time.Minute, true, w.daemons[:4]...)
	is.True(td.admits("k0")) // the new one takes part all the same
	is.Equal(len(td.membership.Others()), 4)
	assertRecovers(t, w)
}

func TestRestartDuringOutage(t *testing.T) {
	t.Run("peers on the list of VMs", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		_, err := w.daemons[0].withdraw("k1")
		is.NoErr(err)
		w.store.SetVMs([]models.VM{{Address: w.daemons[1].self.Address}, {Address: w.daemons[2].self.Address}})
		for _, td := range w.daemons {
			td.storeCut = true
		}
		w.run(settleTime)
		td := w.start("a", netip.AddrPort{})
		td.storeCut = true
		w.run(settleTime)
		assertAdmits(t, w, time.Minute, true, w.daemons...)
		is.True(!td.admits("k1")) // it learnt of the withdrawal
		assertRecovers(t, w)
	})
	t.Run("nobody in reach", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		td := w.start("a", netip.AddrPort{})
		assertAdmits(t, w, time.Minute, false, td)
		is.Equal(td.configuration.Config().Through, models.Revision(0)) // it is not ready
		assertRecovers(t, w)
	})
}

func TestLostAnswerOfWithdrawal(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	lost := 0
	w.store.SetFaults(platform.Faults{LoseAnswer: func(transaction models.Transaction) bool {
		if transaction.ID != "" && lost == 0 {
			lost++
			return true
		}
		return false
	}})
	_, err := w.daemons[0].withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown) // not told to be done, nor to have failed
	is.Equal(lost, 1)
	w.run(settleTime)
	for _, td := range w.daemons {
		is.True(!td.admits("k1")) // the write had taken effect
	}
	is.True(w.daemons[0].editing.Statement("", 0).Settled) // and its daemon knows
	withdrawal, err := w.daemons[1].withdraw("k1")
	is.NoErr(err) // the same twice
	is.Equal(len(withdrawal.InForce), 4)
	assertRecovers(t, w)
}

// TestUnknownWithdrawalAndLaggingReads leaves an edit in doubt as long as the
// table shows no more than before it.
func TestUnknownWithdrawalAndLaggingReads(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	td := w.daemons[0]
	td.freezeReads()
	w.isolate(true, td)
	td.storeCut = false
	w.store.SetFaults(platform.Faults{LoseAnswer: func(transaction models.Transaction) bool { return transaction.ID != "" }})
	_, err := td.withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
	w.run(settleTime)
	is.True(!td.editing.Statement("", 0).Settled)
	td.laggedReads = nil
	w.run(settleTime)
	is.True(td.editing.Statement("", 0).Settled)
	is.True(!td.admits("k1"))
	assertRecovers(t, w)
}

// TestRestartOfAllInPlace kills all daemons and starts others at their
// addresses.
func TestRestartOfAllInPlace(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	listAllVMs(w)
	for _, td := range slices.Clone(w.daemons) {
		w.kill(td)
		w.start(td.self.Zone, td.self.Address)
	}
	w.run(2 * settleTime)
	for _, td := range w.daemons {
		is.True(td.editing.Open()) // nobody waits for those that are gone
	}
	assertRecovers(t, w)
}

// TestPush spreads a change before any exchange is due.
func TestPush(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	td := w.daemons[0]
	is.NoErr(td.put(7))
	td.propagator.Step(t.Context())
	for _, other := range w.daemons {
		is.Equal(other.configuration.Config().Workspaces["w"].Weight, 7.0)
	}
}

// TestUnknownWithdrawalInOutage loses the answer of a withdrawal to an outage
// that goes on: whether it took effect can't be known.
func TestUnknownWithdrawalInOutage(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	w.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
	_, err := w.daemons[0].withdraw("k1")
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
	w.store.SetFaults(platform.Faults{Down: true})
	w.run(keyFreshness + 2*time.Second)
	assertAdmits(t, w, time.Minute, false, w.daemons...)
	assertRecovers(t, w)
	for _, td := range w.daemons {
		is.True(!td.admits("k1"))
	}
}

func TestWithdrawnKeyIsNotRevivedByAnEdit(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	withdrawal, err := w.daemons[0].withdraw("k1")
	is.NoErr(err)
	_, err = w.daemons[0].editor.Put(context.Background(), "key", "k1", withdrawal.Revision, []byte(`{"workspace": "w", "hash": ""}`))
	is.Equal(peer.OutcomeOf(err), peer.OutcomeRefused)
}

func TestPartialDelta(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	var rows []models.Row
	for i := range 10 {
		rows = append(rows, models.Row{Key: models.RowKey{Name: string(rune('a' + i))}, Revision: models.Revision(1 + i/2)})
	}
	r.Apply(rows)
	r.Advance(0, 5)
	part, through, more := r.RowsAfter(0, 3)
	is.True(more)
	is.Equal(len(part), 4)                // whole revisions
	is.Equal(through, models.Revision(2)) // complete up to the last of them
	other := NewReplica()
	other.Advance(through, 5)
	is.Equal(other.Through(), models.Revision(0)) // rows up to 2 are missing there
	part, through, more = r.RowsAfter(through, 10)
	is.True(!more)
	is.Equal(len(part), 6)
	is.Equal(through, models.Revision(5))
}

func TestPartialDeltaCarriesNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld("a")
	td := w.daemons[0]
	w.run(settleTime)
	_, _, evidence := td.configuration.Delta(0)
	is.Equal(evidence.Source, models.EvidenceOwn)
	var rows []models.Row
	for i := range maxDeltaRows + 1 {
		rows = append(rows, models.Row{Key: table.Key(table.KindRoute, strconv.Itoa(i)), Revision: models.Revision(1000 + i), Value: []byte(`{"kind": "model"}`)})
	}
	td.configuration.ApplyCommitted(rows)
	_, _, evidence = td.configuration.Delta(0)
	is.Equal(evidence.Source, models.EvidenceNone)
}
