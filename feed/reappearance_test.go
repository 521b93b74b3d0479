package feed_test

import (
	"testing"
	"testing/synctest"
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
