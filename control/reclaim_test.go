package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
	"quincewinch/platform/emulator"
)

// TestContinuesAfterAnotherHolder guards against a holder that counts its
// authority from before a restore as continued although another daemon held the
// lease in between.
func TestContinuesAfterAnotherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLeaseWorld(t)
		a := w.start("a")
		w.awaitHolder()
		w.start("b")
		w.run(leaseDuration)
		w.store.Restore(w.version())
		a.connection.Set(emulator.FaultLate, 10*leaseDuration) // reads succeed, writes do not
		w.run(2 * leaseDuration)
		b := w.awaitHolder()
		if b == a {
			t.Fatal("a has the lease, want b")
		}
		a.connection.Set(emulator.FaultNone, 0)
		if a.leases.Holds() {
			t.Error("a may take the lease back after b has held it")
		}
		w.kill(b)
		w.run(2 * leaseDuration)
		if got := a.leases.Authority(models.LeaseUsage); got.Fence == 0 || got.Continues != 0 {
			t.Errorf("a has fencing number %d and continues %d, want no continuation", got.Fence, got.Continues)
		}
	})
}

// TestLateReclaimLeavesLeaseToNextHolder guards against a daemon that takes the
// lease back from the next holder, since it could not do so in time.
func TestLateReclaimLeavesLeaseToNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLeaseWorld(t)
		a := w.start("a")
		w.awaitHolder()
		w.start("b")
		w.run(leaseDuration)
		w.store.Restore(w.version())
		a.connection.Set(emulator.FaultLate, 10*leaseDuration)
		w.run(2 * leaseDuration)
		b := w.awaitHolder()
		a.connection.Set(emulator.FaultNone, 0)
		w.run(3 * leaseDuration)
		if got := w.holder(); got == nil || got != b || b == a {
			t.Errorf("%v holds the lease, want b", got)
		}
	})
}

// TestHolderKeepsLeaseAcrossRestore guards against a gap without a holder although
// the holder reaches the store all the while.
func TestHolderKeepsLeaseAcrossRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLeaseWorld(t)
		before := w.version()
		a := w.start("a")
		w.awaitHolder()
		w.start("b")
		w.run(leaseDuration)
		w.store.Restore(before)
		for range 2 * leaseDuration / observeEvery {
			w.run(observeEvery)
			if got := w.holder(); got != a {
				t.Fatalf("%v holds the lease, want a", got)
			}
		}
	})
}

// TestTakeoverOfLeaseThatCopyLacks guards against a takeover that was read before
// the restore, and succeeds since the copy has no row of the lease either.
func TestTakeoverOfLeaseThatCopyLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLeaseWorld(t)
		before := w.version()
		w.start("a")
		w.start("b")
		for w.holder() == nil {
			w.sleep(time.Millisecond / 4)
		}
		w.store.Restore(before)
		w.run(reacquireTime)
		w.awaitHolder()
	})
}
