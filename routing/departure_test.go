package routing_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
)

// TestRemovalAfterLossInCopy guards against requests to a backend server that was missing
// from an older copy of the store, was then removed, and is listed by a second copy.
func TestRemovalAfterLossInCopy(t *testing.T) {
	at := models.NewRevision
	lostInCopy := func(f *fleetFixture) {
		f.step(all(at(1, 4), upstream("a"), upstream("b")))
		f.step(all(at(2, 1), upstream("b")))
		f.advance(leaveTimeout)
		f.step(present(at(2, 1)))
		f.expectAccepting("b")
	}
	copyLists := func(f *fleetFixture) {
		f.failStep()
		f.step(all(at(3, 1), upstream("a"), upstream("b")))
	}
	tests := []struct {
		name string
		run  func(f *fleetFixture)
		want []models.EngineID
	}{
		{"removed after it was dropped", func(f *fleetFixture) {
			lostInCopy(f)
			f.step(removed(at(2, 2), "a"))
			copyLists(f)
		}, []models.EngineID{"b"}},
		{"never removed", func(f *fleetFixture) {
			lostInCopy(f)
			copyLists(f)
		}, []models.EngineID{"a", "b"}},
		{"listed without it a second time", func(f *fleetFixture) {
			f.step(all(at(1, 4), upstream("a"), upstream("b")))
			f.step(all(at(2, 1), upstream("b")))
			f.step(all(at(2, 2), upstream("b"))) // the history is gone
			f.advance(leaveTimeout)
			f.step(present(at(2, 2)))
			copyLists(f)
		}, []models.EngineID{"a", "b"}},
		{"registered again after its removal", func(f *fleetFixture) {
			lostInCopy(f)
			f.step(removed(at(2, 2), "a"))
			f.step(present(at(2, 3), upstream("a")))
			copyLists(f)
		}, []models.EngineID{"a", "b"}},
		{"the removal is remembered as long as a copy may be old", func(f *fleetFixture) {
			lostInCopy(f)
			f.advance(50 * time.Second)
			f.step(removed(at(2, 2), "a"))
			f.advance(50 * time.Second)
			f.step(present(at(2, 2)))
			copyLists(f)
		}, []models.EngineID{"b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetFixture(t)
				test.run(f)
				f.expectAccepting(test.want...)
			})
		})
	}
}
