package feed_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
	"quincewinch/platform/emulator"
)

const (
	// rewriteDelay is how long after the store's return engines have written again
	// what it lost. It is shorter than leaveTimeout less the time for reading.
	rewriteDelay = 1500 * time.Millisecond
	// lostWrites is the number of writes that a restore loses.
	lostWrites = 5
	// engine is the backend server whose registration changes in the tests.
	engine models.EngineID = "engine-0"
)

// restoreFixture is a zone whose daemons have read everything that the store
// holds: daemon 0 from the store, the others from daemon 0.
type restoreFixture struct {
	*schedule
}

func newRestoreFixture(t *testing.T) restoreFixture {
	f := restoreFixture{newSchedule(t, 0)}
	t.Cleanup(f.start())
	// From here on, the test acts while the daemons pause between two calls.
	f.advance(500 * time.Microsecond)
	f.fill(lostWrites)
	f.advance(2 * followWait)
	return f
}

// fill writes rows that the daemons do not follow.
func (f restoreFixture) fill(rows int) {
	for range rows {
		f.store.Put("other", "row", nil)
	}
}

// restore returns the store to a copy without the latest writes.
func (f restoreFixture) restore(writes uint64) []emulator.Row {
	return f.store.Restore(f.store.VersionAt(f.clock.Now()) - writes)
}

// writeAgain repeats lost writes.
func (f restoreFixture) writeAgain(lost []emulator.Row) {
	for _, row := range lost {
		if row.Removed {
			f.store.Remove(row.Table, row.Key)
			continue
		}
		f.store.Put(row.Table, row.Key, row.Value)
	}
}

func (f restoreFixture) advance(d time.Duration) {
	f.t.Helper()
	if err := f.clock.Sleep(f.t.Context(), d); err != nil {
		f.t.Fatal(err)
	}
}

// cutOff cuts daemons off from the store.
func (f restoreFixture) cutOff(daemons ...*scheduleDaemon) {
	for _, d := range daemons {
		d.connection.Set(emulator.FaultUnavailable, 0)
	}
}

func (f restoreFixture) reconnect() {
	for _, d := range f.daemons {
		d.connection.Set(emulator.FaultNone, 0)
	}
}

// setReader makes another daemon the zone's reader.
func (f restoreFixture) setReader(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readerIndex = index
}

// setSilent sets whether a daemon answers the others.
func (f restoreFixture) setSilent(d *scheduleDaemon, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[d.address] = silent
}

// expectVersion checks the configuration in force at all daemons.
func (f restoreFixture) expectVersion(version uint64) {
	f.t.Helper()
	for i, d := range f.daemons {
		if got := d.configuration.Routing().Version; got != version {
			f.t.Errorf("daemon %d has version %d in force, want %d", i, got, version)
		}
	}
}

// expectAccepting checks whether all daemons send requests to an engine.
func (f restoreFixture) expectAccepting(id models.EngineID, want bool) {
	f.t.Helper()
	for i, d := range f.daemons {
		if got := d.accepts(id); got != want {
			f.t.Errorf("daemon %d sends requests to %s: %t, want %t", i, id, got, want)
		}
	}
}

// expectAcceptingFor checks for a while whether all daemons send requests to an
// engine.
func (f restoreFixture) expectAcceptingFor(d time.Duration, id models.EngineID, want bool) {
	f.t.Helper()
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end) && !f.t.Failed(); {
		f.advance(checkInterval)
		f.expectAccepting(id, want)
	}
}

func (d *scheduleDaemon) accepts(id models.EngineID) bool {
	for _, upstream := range d.fleet.Snapshot().ByService["s"] {
		if upstream.ID == id {
			return true
		}
	}
	return false
}

// TestChangesAfterStoreRestore guards against changes that are never read since
// their versions had been given out before.
func TestChangesAfterStoreRestore(t *testing.T) {
	restores := []struct {
		name string
		// run restores the store, and has the change written afterwards.
		run func(f restoreFixture, change func())
	}{
		{"store passes the versions read before", func(f restoreFixture, change func()) {
			f.restore(lostWrites)
			f.advance(10 * time.Millisecond)
			change()
			f.fill(lostWrites)
		}},
		{"store stays below the versions read before", func(f restoreFixture, change func()) {
			f.restore(lostWrites)
			f.advance(10 * time.Millisecond)
			change()
		}},
		{"change has the last version read before", func(f restoreFixture, change func()) {
			f.restore(lostWrites)
			f.fill(lostWrites - 1)
			change()
		}},
		{"all daemons are cut off meanwhile", func(f restoreFixture, change func()) {
			f.cutOff(f.daemons...)
			f.advance(2 * followWait)
			f.restore(lostWrites)
			change()
			f.fill(lostWrites)
			f.reconnect()
		}},
		{"the reader is cut off meanwhile", func(f restoreFixture, change func()) {
			f.cutOff(f.daemons[0])
			f.advance(2 * followWait)
			f.restore(lostWrites)
			change()
			f.fill(lostWrites)
			f.reconnect()
		}},
		{"a follower is cut off from the store and the reader meanwhile", func(f restoreFixture, change func()) {
			f.setSilent(f.daemons[0], true)
			f.cutOff(f.daemons[3])
			f.advance(2 * followWait)
			f.restore(lostWrites)
			change()
			f.fill(lostWrites)
			f.setSilent(f.daemons[0], false)
			f.reconnect()
		}},
		{"the reader is replaced meanwhile", func(f restoreFixture, change func()) {
			f.restore(lostWrites)
			f.setReader(2)
			change()
			f.fill(lostWrites)
		}},
		{"store is away for a moment", func(f restoreFixture, change func()) {
			f.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
			f.restore(lostWrites)
			f.advance(time.Second)
			f.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
			change()
			f.fill(lostWrites)
		}},
		{"copy has no history", func(f restoreFixture, change func()) {
			f.restore(lostWrites)
			f.store.Compact()
			f.advance(10 * time.Millisecond)
			change()
			f.fill(lostWrites)
		}},
		{"two restores", func(f restoreFixture, change func()) {
			f.restore(lostWrites)
			f.advance(time.Second)
			f.fill(2 * lostWrites)
			f.advance(time.Second)
			f.restore(lostWrites)
			f.advance(10 * time.Millisecond)
			change()
			f.fill(lostWrites)
		}},
	}
	changes := []struct {
		name   string
		write  func(f restoreFixture)
		expect func(f restoreFixture)
	}{
		{"configuration", func(f restoreFixture) { f.configure() }, func(f restoreFixture) { f.expectVersion(f.version) }},
		{"draining", func(f restoreFixture) { f.register(engine, "draining") }, func(f restoreFixture) { f.expectAccepting(engine, false) }},
		{"removal", func(f restoreFixture) { f.remove(engine) }, func(f restoreFixture) { f.expectAccepting(engine, false) }},
		{"registration", func(f restoreFixture) { f.register("engine-9", "ready") }, func(f restoreFixture) { f.expectAccepting("engine-9", true) }},
	}
	for _, restore := range restores {
		for _, change := range changes {
			t.Run(restore.name+"/"+change.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestoreFixture(t)
					f.expectAccepting(engine, true)
					restore.run(f, func() { change.write(f) })
					f.advance(propagationBound)
					change.expect(f)
				})
			})
		}
	}
}

// TestConfigurationIsNotRevertedByCopy guards against a return to the version
// that an older copy of the store shows.
func TestConfigurationIsNotRevertedByCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoreFixture(t)
		f.configure()
		f.advance(propagationBound)
		f.expectVersion(f.version)
		lost := f.restore(1)
		for range 10 {
			f.advance(checkInterval)
			f.expectVersion(f.version)
		}
		f.writeAgain(lost)
		f.configure()
		f.advance(propagationBound)
		f.expectVersion(f.version)
	})
}

// TestReadsAfterStoreRestore guards against calls in a tight loop by a daemon
// that asks for versions that the store no longer has.
func TestReadsAfterStoreRestore(t *testing.T) {
	const (
		duration  = 10 * time.Second
		maxCalls  = 2 * 2 * zoneSize * int(duration/time.Second) // two reads per second, table and daemon
		maxSteady = 2 * 2 * int(duration/time.Second)            // the same by the zone's reader alone
	)
	tests := []struct {
		name string
		run  func(f restoreFixture)
	}{
		{"store stays below the versions read before", func(f restoreFixture) { f.restore(lostWrites) }},
		{"daemons are cut off meanwhile", func(f restoreFixture) {
			f.cutOff(f.daemons...)
			f.advance(2 * followWait)
			f.restore(lostWrites)
			f.reconnect()
		}},
		{"copy holds one row", func(f restoreFixture) { f.store.Restore(1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoreFixture(t)
				test.run(f)
				before := f.store.Calls()
				f.advance(duration)
				if calls := f.store.Calls() - before; calls > maxCalls {
					t.Errorf("%d calls in %s after the restore, want at most %d", calls, duration, maxCalls)
				}
				before = f.store.Calls()
				f.advance(duration)
				if calls := f.store.Calls() - before; calls > maxSteady {
					t.Errorf("%d calls in the following %s, want at most %d", calls, duration, maxSteady)
				}
			})
		})
	}
}

// TestEnginesAcrossStoreRestore guards against requests to engines that have
// left, and against dropping engines that are only missing from the copy.
func TestEnginesAcrossStoreRestore(t *testing.T) {
	tests := []struct {
		name string
		run  func(f restoreFixture)
	}{
		{"engine missing from the copy is kept until it is written again", func(f restoreFixture) {
			f.register("engine-9", "ready")
			f.advance(propagationBound)
			lost := f.restore(1)
			f.expectAcceptingFor(rewriteDelay, "engine-9", true)
			f.writeAgain(lost)
			f.expectAcceptingFor(2*leaveTimeout, "engine-9", true)
		}},
		{"engine missing from the copy and not written again is dropped", func(f restoreFixture) {
			f.register("engine-9", "ready")
			f.advance(propagationBound)
			f.restore(1)
			f.advance(leaveTimeout)
			f.expectAcceptingFor(leaveTimeout, "engine-9", false)
			f.expectAccepting(engine, true)
		}},
		{"engine missing from the copy and not written again is dropped by cut-off daemons", func(f restoreFixture) {
			f.register("engine-9", "ready")
			f.advance(propagationBound)
			f.cutOff(f.daemons...)
			f.advance(followWait)
			f.restore(1)
			f.fill(lostWrites)
			f.reconnect()
			f.advance(propagationBound + leaveTimeout)
			f.expectAcceptingFor(leaveTimeout, "engine-9", false)
			f.expectAccepting(engine, true)
		}},
		{"draining engine that is ready in the copy gets no requests", func(f restoreFixture) {
			f.register(engine, "draining")
			f.advance(propagationBound)
			lost := f.restore(1)
			f.expectAcceptingFor(rewriteDelay, engine, false)
			f.writeAgain(lost)
			f.expectAcceptingFor(2*leaveTimeout, engine, false)
		}},
		{"removed engine that is registered in the copy gets no requests", func(f restoreFixture) {
			f.remove(engine)
			f.advance(propagationBound)
			lost := f.restore(1)
			f.expectAcceptingFor(rewriteDelay, engine, false)
			f.writeAgain(lost)
			f.expectAcceptingFor(2*leaveTimeout, engine, false)
		}},
		{"engine that left before the restore and started again gets requests", func(f restoreFixture) {
			f.register(engine, "draining")
			f.advance(propagationBound)
			f.restore(1)
			f.advance(rewriteDelay)
			f.register(engine, "ready")
			f.advance(propagationBound)
			f.expectAcceptingFor(leaveTimeout, engine, true)
		}},
		{"engine in the copy gets requests all the while", func(f restoreFixture) {
			f.restore(lostWrites)
			f.expectAcceptingFor(3*leaveTimeout, engine, true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(newRestoreFixture(t)) })
		})
	}
}
