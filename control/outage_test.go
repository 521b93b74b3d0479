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

// warmUpTime is how long daemons need to register, open to edits and obtain
// fresh evidence.
const warmUpTime = 5 * time.Second

// newReadyCluster returns four daemons in three zones that accept requests and
// edits.
func newReadyCluster(t *testing.T) *world {
	t.Helper()
	is := is.New(t)
	w := newWorld("a", "a", "b", "c")
	w.run(warmUpTime)
	for _, td := range w.daemons {
		is.True(td.editing.Open())
		is.True(td.admits("k0"))
	}
	return w
}

// holds asserts that no invariant was violated.
func holds(t *testing.T, w *world) {
	t.Helper()
	for _, violation := range invariant.Check(w.history) {
		t.Errorf("%s: %s", violation.Invariant, violation.Detail)
	}
}

// assertAdmits asserts for a duration whether daemons admit a valid key.
func assertAdmits(t *testing.T, w *world, d time.Duration, want bool, daemons ...*testDaemon) {
	t.Helper()
	for end := w.clock.now.Add(d); w.clock.now.Before(end); {
		w.run(stepInterval)
		for _, td := range daemons {
			if td.admits("k0") != want {
				t.Fatalf("%s: admits valid key: %v; evidence %v at %v", td.self.ID, !want, td.configuration.Evidence(), w.clock.now)
			}
		}
	}
}

// assertRecovers ends all faults and asserts that all daemons admit a valid key,
// accept edits and converge.
func assertRecovers(t *testing.T, w *world) {
	t.Helper()
	is := is.New(t)
	w.heal()
	w.run(warmUpTime)
	for _, td := range w.daemons {
		td.observe(true)
		is.True(td.admits("k0"))   // admits a valid key
		is.True(td.editing.Open()) // accepts edits
		is.NoErr(td.put(2))        // and commits one
		w.run(stepInterval)
	}
	w.run(changeBound + stepInterval)
	for _, td := range w.daemons {
		td.observe(true)
	}
	holds(t, w)
}

// TestConcurrentEdits edits the same version of a row through two daemons.
func TestConcurrentEdits(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	version := w.daemons[0].configuration.Row(table.Key(table.KindWorkspace, "w")).Revision
	_, err := w.daemons[0].editor.Put(t.Context(), "workspace", "w", version, []byte(`{"weight": 3}`))
	is.NoErr(err)
	current, err := w.daemons[1].editor.Put(t.Context(), "workspace", "w", version, []byte(`{"weight": 4}`))
	is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict) // the later edit is rejected
	is.Equal(current.Cells["weight"], 3.0)              // the answer has the row of the first
	assertRecovers(t, w)
}

// TestStoreOutage takes the table down while daemons go on serving from what
// they know and from each other's statements.
func TestStoreOutage(t *testing.T) {
	t.Run("down for an hour", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		assertAdmits(t, w, time.Hour, true, w.daemons...)
		is.Equal(peer.OutcomeOf(w.daemons[0].put(1)), peer.OutcomeNotDone) // edits are rejected
		is.Equal(w.daemons[0].configuration.Evidence().Source, models.EvidenceStoreOutage)
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
		w.run(warmUpTime)
		w.kill(w.daemons[0])
		assertAdmits(t, w, time.Minute, true, w.daemons...)
	})
	t.Run("an open daemon is killed", func(t *testing.T) {
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		w.kill(w.daemons[0]) // it may have accepted a withdrawal that no other daemon knows
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

// TestPartition cuts off a zone or a daemon while a key is withdrawn. The
// cut-off daemons must stop admitting keys within the freshness limit.
func TestPartition(t *testing.T) {
	for name, size := range map[string]int{"zone": 2, "daemon": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newReadyCluster(t)
			cutOff, connected := w.daemons[:size], w.daemons[size:]
			w.isolate(true, cutOff...)
			withdrawal, err := connected[0].withdraw("k1")
			is.NoErr(err)
			is.Equal(len(withdrawal.Pending), size)        // the cut-off daemons have not confirmed
			is.Equal(withdrawal.StopsWithin, keyFreshness) // and stop on their own by then
			is.Equal(len(withdrawal.InForce), 4-size)      // the others have confirmed
			assertAdmits(t, w, warmUpTime, true, connected...)
			w.run(2 * time.Second)
			assertAdmits(t, w, 2*time.Minute, false, cutOff...)
			for _, td := range cutOff {
				is.NoErr(td.admit.Handle(t.Context(), &request.Exchange{RouteName: "open"})) // open routes are still served
			}
			is.Equal(peer.OutcomeOf(cutOff[0].put(1)), peer.OutcomeNotDone) // no edits there
			assertRecovers(t, w)
		})
	}
}

// TestLaggingVMList checks that daemons find each other when the platform's list
// of VMs is out of date.
func TestLaggingVMList(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	// The list has none of the running daemons, and one that stopped long ago.
	w.store.SetVMs([]models.VM{{Daemon: "old", Zone: "a", Address: netip.MustParseAddrPort("10.9.9.9:1")}})
	td := w.start("b", netip.AddrPort{})
	assertAdmits(t, w, time.Minute, true, w.daemons[:4]...)
	is.True(td.admits("k0")) // the new daemon joins all the same
	is.Equal(len(td.membership.Others()), 4)
	assertRecovers(t, w)
}

// TestRestartDuringOutage starts a daemon that cannot reach the table. It must
// get the configuration from peers, or admit nothing.
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
		w.run(warmUpTime)
		td := w.start("a", netip.AddrPort{})
		td.storeCut = true
		w.run(warmUpTime)
		assertAdmits(t, w, time.Minute, true, w.daemons...)
		is.True(!td.admits("k1")) // it received the withdrawal
		assertRecovers(t, w)
	})
	t.Run("no peer within reach", func(t *testing.T) {
		is := is.New(t)
		w := newReadyCluster(t)
		w.store.SetFaults(platform.Faults{Down: true})
		td := w.start("a", netip.AddrPort{})
		assertAdmits(t, w, time.Minute, false, td)
		is.Equal(td.configuration.Config().Through, models.Revision(0)) // it has no configuration
		assertRecovers(t, w)
	})
}

// TestLostAnswerOfWithdrawal loses the table's answer to a withdrawal that took
// effect. The operator must be told that the outcome is unknown, and the
// withdrawal must still get into force everywhere.
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
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown) // reported neither as done nor as failed
	is.Equal(lost, 1)
	w.run(warmUpTime)
	for _, td := range w.daemons {
		is.True(!td.admits("k1")) // the write had taken effect
	}
	is.True(w.daemons[0].editing.Statement("", 0).Settled) // and the daemon knows the outcome
	withdrawal, err := w.daemons[1].withdraw("k1")
	is.NoErr(err) // idempotent
	is.Equal(len(withdrawal.InForce), 4)
	assertRecovers(t, w)
}

// TestUnknownWithdrawalAndLaggingReads checks that an edit of unknown outcome
// stays unsettled while the table's reads lag behind it.
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
	w.run(warmUpTime)
	is.True(!td.editing.Statement("", 0).Settled)
	td.laggedReads = nil
	w.run(warmUpTime)
	is.True(td.editing.Statement("", 0).Settled)
	is.True(!td.admits("k1"))
	assertRecovers(t, w)
}

// TestRestartOfAllInPlace kills all daemons and starts new ones at their
// addresses. The new ones must not wait for the old ones' confirmation.
func TestRestartOfAllInPlace(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	listAllVMs(w)
	for _, td := range slices.Clone(w.daemons) {
		w.kill(td)
		w.start(td.self.Zone, td.self.Address)
	}
	w.run(2 * warmUpTime)
	for _, td := range w.daemons {
		is.True(td.editing.Open()) // none waits for daemons that are gone
	}
	assertRecovers(t, w)
}

// TestPush checks that a change is propagated before the next exchange is due.
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

// TestUnknownWithdrawalInOutage loses the answer to a withdrawal in an outage
// that continues. Since the withdrawal may have taken effect, daemons must stop
// admitting keys once their evidence expires.
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

// TestWithdrawnKeyIsNotRevivedByAnEdit checks that a key's row cannot be edited.
func TestWithdrawnKeyIsNotRevivedByAnEdit(t *testing.T) {
	is := is.New(t)
	w := newReadyCluster(t)
	withdrawal, err := w.daemons[0].withdraw("k1")
	is.NoErr(err)
	_, err = w.daemons[0].editor.Put(context.Background(), "key", "k1", withdrawal.Revision, []byte(`{"workspace": "w", "hash": ""}`))
	is.Equal(peer.OutcomeOf(err), peer.OutcomeRefused)
}

// TestPartialDelta checks that a list of rows cut short by the limit ends
// between revisions and states how far it is complete.
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
	is.Equal(len(part), 4)                // revisions are not split
	is.Equal(through, models.Revision(2)) // complete through the last of them
	other := NewReplica()
	other.Advance(through, 5)
	is.Equal(other.Through(), models.Revision(0)) // rows up to 2 are missing there
	part, through, more = r.RowsAfter(through, 10)
	is.True(!more)
	is.Equal(len(part), 6)
	is.Equal(through, models.Revision(5))
}

// TestPartialDeltaCarriesNoEvidence checks that a delta cut short by the limit
// does not pass on evidence, as its receiver would still lack rows.
func TestPartialDeltaCarriesNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld("a")
	td := w.daemons[0]
	w.run(warmUpTime)
	_, _, evidence := td.configuration.Delta(0)
	is.Equal(evidence.Source, models.EvidenceOwnRead)
	var rows []models.Row
	for i := range maxDeltaRows + 1 {
		rows = append(rows, models.Row{Key: table.Key(table.KindRoute, strconv.Itoa(i)), Revision: models.Revision(1000 + i), Value: []byte(`{"kind": "model"}`)})
	}
	td.configuration.ApplyCommitted(rows)
	_, _, evidence = td.configuration.Delta(0)
	is.Equal(evidence.Source, models.EvidenceNone)
}
