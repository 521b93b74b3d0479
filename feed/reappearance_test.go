package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/platform"
)

// TestDepartedEngineInListWithoutHistory guards against requests to an engine that
// has left and is listed a second time in an older copy, since the store dropped
// its history.
func TestDepartedEngineInListWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreFixture(t)
		f.remove(engine)
		f.advance(propagationBound)
		f.expectAccepting(engine, false)
		lost := f.restore(1)
		f.expectAcceptingFor(rewriteDelay/3, engine, false)
		f.fill(1)
		f.store.Compact()
		f.register("engine-9", "ready")
		f.expectAcceptingFor(rewriteDelay, engine, false)
		f.writeAgain(lost)
		f.expectAcceptingFor(2*leaveTimeout, engine, false)
	})
}

// TestReappearedEngineIsUsed guards against engines that stay unused after a
// restore although they serve.
func TestReappearedEngineIsUsed(t *testing.T) {
	tests := []struct {
		name string
		run  func(f restoreFixture)
	}{
		{"engine in the copy is not removed again", func(f restoreFixture) {
			f.remove(engine)
			f.advance(propagationBound)
			f.restore(1)
			f.advance(5*time.Second + propagationBound)
			f.expectAcceptingFor(leaveTimeout, engine, true)
		}},
		{"engine has started again before the restore", func(f restoreFixture) {
			f.remove(engine)
			f.advance(propagationBound)
			f.register(engine, "ready")
			f.advance(propagationBound)
			f.fill(1)
			f.restore(1)
			f.expectAcceptingFor(leaveTimeout, engine, true)
		}},
		{"engine was missing for a moment before the restore", func(f restoreFixture) {
			row := f.store.Rows(string(platform.PartitionUpstreams))[0]
			f.remove(engine)
			f.advance(propagationBound)
			f.store.Put(row.Table, row.Key, row.Value)
			f.advance(propagationBound)
			f.expectAccepting(engine, true)
			f.fill(1)
			f.restore(1)
			f.expectAcceptingFor(leaveTimeout, engine, true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(newRestoreFixture(t)) })
		})
	}
}
