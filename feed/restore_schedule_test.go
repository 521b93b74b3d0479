package feed_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
)

// restoreSchedule is a schedule whose store also returns from older copies.
// What is lost is written again within 2 s.
type restoreSchedule struct {
	*schedule
	first      uint64    // version of the oldest copy
	stableAt   time.Time // when the store last ended an outage
	restoredAt time.Time
	readyAt    map[models.EngineID]time.Time // when a ready registration was last written
	pending    []pendingWrite
	seen       []map[models.EngineID]acknowledgement // by each daemon
}

// pendingWrite is due at a time.
type pendingWrite struct {
	at    time.Time
	write func()
}

// acknowledgement is what a daemon has shown to know about an engine.
type acknowledgement struct {
	accepted time.Time // start of the incarnation that got requests at the last check
	left     time.Time // start of the incarnation that left
}

func newRestoreSchedule(t *testing.T, seed uint64) *restoreSchedule {
	s := &restoreSchedule{schedule: newSchedule(t, seed), readyAt: map[models.EngineID]time.Time{}}
	s.first = s.store.VersionAt(s.clock.Now())
	for range s.daemons {
		s.seen = append(s.seen, map[models.EngineID]acknowledgement{})
	}
	return s
}

// injectEvent makes one random change or fault, or a restore.
func (s *restoreSchedule) injectEvent() {
	if s.random.IntN(6) > 0 {
		s.schedule.injectEvent()
		return
	}
	s.restore()
	if s.random.IntN(3) == 0 {
		s.after(s.tenths(1, 30), s.restore)
	}
}

// restore returns the store to a copy 0.1 to 20 s old, after a short outage.
func (s *restoreSchedule) restore() {
	now := s.clock.Now()
	outage := s.tenths(0, 10)
	s.stableAt, s.restoredAt = now.Add(outage), now
	if outage > 0 {
		s.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
		s.after(outage, func() {
			if !s.clock.Now().Before(s.stableAt) {
				s.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
			}
		})
	}
	age := s.tenths(1, 1+s.random.IntN(200))
	lost := s.store.Restore(max(s.store.VersionAt(now.Add(-age)), s.first))
	written := map[string]bool{}
	for _, row := range lost {
		if written[row.Key] {
			continue
		}
		written[row.Key] = true
		delay := outage + s.tenths(0, 20)
		switch models.Partition(row.Table) {
		case platform.PartitionOperators:
			s.writtenAt = now.Add(delay)
			s.after(delay, func() {
				s.writtenAt = s.clock.Now()
				s.writeConfiguration()
			})
		case platform.PartitionUpstreams:
			id := models.EngineID(row.Key)
			s.delayRegistration(id, now.Add(delay))
			s.after(delay, func() {
				s.delayRegistration(id, s.clock.Now())
				s.writeRegistration(id)
			})
		}
	}
}

// delayRegistration sets when the state of an engine is written again.
func (s *restoreSchedule) delayRegistration(id models.EngineID, at time.Time) {
	if _, gone := s.goneAt[id]; gone {
		s.goneAt[id] = at
	}
	s.readyAt[id] = at
}

func (s *restoreSchedule) after(d time.Duration, write func()) {
	s.pending = append(s.pending, pendingWrite{s.clock.Now().Add(d), write})
}

func (s *restoreSchedule) tenths(least, most int) time.Duration {
	return time.Duration(least+s.random.IntN(most-least+1)) * checkInterval
}

// check compares the state of each daemon with what was written, and makes the
// writes that are due.
func (s *restoreSchedule) check() {
	now := s.clock.Now()
	due := s.pending
	s.pending = nil
	for _, p := range due {
		if now.Before(p.at) {
			s.pending = append(s.pending, p)
			continue
		}
		p.write()
	}
	for i, d := range s.daemons {
		s.checkConfiguration(i, d)
		if d.fleet.Snapshot() == nil {
			continue
		}
		for n := range 6 {
			s.checkEngine(i, d, engineName(n))
		}
	}
}

func (s *restoreSchedule) checkConfiguration(i int, d *scheduleDaemon) {
	now := s.clock.Now()
	var version uint64
	if current := d.configuration.Routing(); current != nil {
		version = current.Version
	}
	if version < d.version {
		s.t.Fatalf("seed %d: daemon %d returned from version %d to %d", s.seed, i, d.version, version)
	}
	d.version = version
	if version < s.version && s.overdue(d, s.writtenAt, propagationBound) {
		s.t.Fatalf("seed %d: daemon %d has version %d, %s after version %d", s.seed, i, version, now.Sub(s.writtenAt), s.version)
	}
}

func (s *restoreSchedule) checkEngine(i int, d *scheduleDaemon, id models.EngineID) {
	now := s.clock.Now()
	goneAt, gone := s.goneAt[id]
	started := s.startedAt[id]
	known := d.fleet.Snapshot().ByID[id]
	accepting := d.accepts(id)
	seen := s.seen[i][id]
	if accepting && gone && known.Started.Equal(seen.left) {
		s.t.Fatalf("seed %d: daemon %d sends requests to %s again, which it knew to have left", s.seed, i, id)
	}
	switch {
	case gone && known.Draining && known.Started.Equal(started),
		// A registration that is missing soon after a restore proves nothing.
		gone && !accepting && seen.accepted.Equal(started) && goneAt.After(s.restoredAt.Add(2*leaveTimeout)):
		seen.left = started
	}
	seen.accepted = time.Time{}
	if accepting {
		seen.accepted = known.Started
	}
	s.seen[i][id] = seen
	if accepting && gone && s.overdue(d, goneAt, propagationBound+leaveTimeout) {
		s.t.Fatalf("seed %d: daemon %d sends requests to %s, which left %s ago", s.seed, i, id, now.Sub(goneAt))
	}
	readyAt := s.readyAt[id]
	if s.startedAt[id].After(readyAt) {
		readyAt = s.startedAt[id]
	}
	if !accepting && !gone && s.overdue(d, readyAt, propagationBound) {
		s.t.Fatalf("seed %d: daemon %d sends no requests to %s, registered %s ago", s.seed, i, id, now.Sub(readyAt))
	}
}

// overdue reports whether a daemon that reaches the store must know of a write.
func (s *restoreSchedule) overdue(d *scheduleDaemon, writtenAt time.Time, bound time.Duration) bool {
	now := s.clock.Now()
	return now.Sub(writtenAt) > bound && now.Sub(s.stableAt) > bound && d.connection.HealthySince(now.Add(-2*propagationBound))
}

// TestPropagationAcrossStoreRestores checks that changes reach all daemons of a
// zone under the faults of TestPropagationInRandomSchedules, while the store also
// returns from copies 0.1 to 20 s old. It runs a fifth of the schedules, which make
// more calls.
func TestPropagationAcrossStoreRestores(t *testing.T) {
	for i := range uint64(max(*schedules/5, 1)) {
		if t.Failed() {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			s := newRestoreSchedule(t, *firstSeed+i)
			s.run(s.injectEvent, s.check)
		})
	}
}
