package resume_test

import (
	"strconv"
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/resume"
)

// Guards against streams that none can take up after the loss of all daemons.
func TestStreamsAreTakenUpAfterTheLossOfAllDaemons(t *testing.T) {
	t.Run("one version", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.begin("s", v1, lifetime)
			f.restart()
			f.follow(registered("v1"), 0)
			f.expectFound("s", v1)
			f.is.Equal(f.table.count(models.PartitionOrigins), 0) // it was lost before it was written
		})
	})
	t.Run("two versions", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.begin("before the release", v1, lifetime)
			f.follow(registered("v2"), 0)
			f.begin("old", v1, lifetime)
			f.begin("new", v2, lifetime)
			f.journal.Step(f.t.Context())
			f.begin("not written yet", v2, lifetime)
			f.restart()
			f.expectFound("before the release", v1)
			f.expectFound("old", v1)
			f.expectFound("new", v2)
			f.expectNotFound("not written yet")
		})
	})
	// Guards against streams that none can take up once another version has joined.
	for name, joins := range map[string]func(f *versionFixture){
		"another version joined meanwhile": func(f *versionFixture) {
			f.restart()
			f.follow(registered("v1", "v2"), 0)
		},
		"another version joined just before": func(f *versionFixture) {
			f.follow(registered("v2"), 0)
			f.restart()
			f.follow(registered("v1", "v2"), 0)
		},
		"another version joined after the return": func(f *versionFixture) {
			f.restart()
			f.follow(registered("v1"), time.Second)
			f.follow(registered("v2"), 0)
		},
		"two others joined meanwhile": func(f *versionFixture) {
			f.restart()
			f.follow(registered("v1", "v2", "v3"), 0)
		},
		"another replaced it meanwhile, and all were lost once more": func(f *versionFixture) {
			f.restart()
			f.follow(registered("v2"), time.Second)
			f.restart()
			f.follow(registered("v2"), 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, func(f *versionFixture) {
				f.follow(registered("v1"), 0)
				f.begin("s", v1, lifetime)
				f.follow(models.UpstreamChanges{}, 0)
				f.begin("not written yet", v1, lifetime)
				joins(f)
				f.expectFound("s", v1)
				_, err := f.finder.Find(f.t.Context(), "not written yet", []models.ServiceName{"llm"})
				if err == nil {
					f.expectFound("not written yet", v1)
				}
			})
		})
	}
	t.Run("older copy of the store before", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.begin("s", v1, lifetime)
			f.follow(models.UpstreamChanges{}, 0)
			f.table.restore()
			f.follow(models.UpstreamChanges{}, 0)
			f.restart()
			f.follow(registered("v1", "v2"), 0)
			f.expectFound("s", v1)
		})
	})
	t.Run("daemon that did not reach the store", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), 0)
			f.learn("of another daemon", v2)
			f.scope = resume.ScopeOwn
			f.follow(models.UpstreamChanges{}, 0)
			f.is.Equal(f.table.count(models.PartitionOrigins), 0)
			f.scope = resume.ScopeAll // this daemon writes for the others now
			f.follow(models.UpstreamChanges{}, 0)
			f.restart()
			f.expectFound("of another daemon", v2)
		})
	})
	t.Run("store that was away when streams began", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), 0)
			f.table.setAway(true)
			f.begin("s", v2, lifetime)
			f.journal.Step(f.t.Context())
			f.table.setAway(false)
			f.journal.Step(f.t.Context())
			f.restart()
			f.expectFound("s", v2)
		})
	})
}

// Guards against streams that go on at the version which served before, on the ground
// that the lost daemons had not recorded the other one: a daemon that does not reach the
// store uses new servers all the same.
func TestStreamOfAVersionThatJoinedUnrecordedIsNotContinuedByTheOther(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		f.follow(registered("v1"), 0)
		f.table.setAway(true)
		f.follow(registered("v2"), 0)
		f.begin("s", v2, lifetime)
		f.restart()
		f.table.setAway(false)
		f.follow(registered("v1", "v2"), 0)
		f.expectNotFound("s")
	})
}

// The rows of streams that no caller can resume are deleted, also those of processes
// that have ended.
func TestOriginsAreDeletedFromTheStore(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		f.follow(registered("v1", "v2"), 0)
		for range 5 {
			f.begin(models.RequestID(system.NewClock().Now().String()), v1, 10*time.Second)
			f.follow(models.UpstreamChanges{}, 0)
		}
		f.is.Equal(f.table.count(models.PartitionOrigins), 5)
		f.follow(models.UpstreamChanges{}, 20*time.Second)
		f.is.Equal(f.table.count(models.PartitionOrigins), 0)
		f.begin("s", v1, 10*time.Second)
		f.follow(models.UpstreamChanges{}, 0)
		f.restart()
		f.is.NoErr(system.NewClock().Sleep(f.t.Context(), 20*time.Second))
		f.expectNotFound("unknown")
		f.is.Equal(f.table.count(models.PartitionOrigins), 0)
	})
}

// Rows that have expired are deleted together.
func TestExpiredOriginsAreDeletedTogether(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		const seconds, deletesEach = 60, 5
		f.follow(registered("v1"), 0)
		commits := f.table.commits
		for i := range seconds {
			f.begin(models.RequestID(strconv.Itoa(i)), v1, time.Second)
			f.follow(models.UpstreamChanges{}, 0)
		}
		f.is.True(f.table.commits-commits <= seconds+seconds/deletesEach)
	})
}

// What is written does not grow with the streams that begin, while one version serves.
func TestOriginsAreWrittenTogetherWhileOneVersionServes(t *testing.T) {
	for scope, writesPerSecond := range map[resume.Scope]int{resume.ScopeAll: 2, resume.ScopeOwn: 1, resume.ScopeOwn | resume.ScopeZone: 1} {
		runVersions(t, func(f *versionFixture) { f.expectWrites(scope, writesPerSecond) })
	}
}

// expectWrites checks the rows that a daemon writes at most while streams begin.
func (f *versionFixture) expectWrites(scope resume.Scope, perSecond int) {
	const seconds, streamsPerSecond = 10, 20
	f.scope = scope
	f.follow(registered("v1"), 0)
	writes := f.table.writes
	for i := range seconds * streamsPerSecond {
		f.begin(models.RequestID(strconv.Itoa(i)), v1, lifetime)
		_, err := f.versions.Follow(f.t.Context(), 0, 0)
		f.is.NoErr(err)
		f.journal.Step(f.t.Context())
		f.is.NoErr(system.NewClock().Sleep(f.t.Context(), time.Second/streamsPerSecond))
	}
	f.is.True(f.table.writes-writes <= seconds*perSecond)
}

// Streams that last for hours do not fill the store with small rows.
func TestRowsOfLongStreamsAreMerged(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		const streams, rows = 3000, 1100
		f.follow(registered("v1"), 0)
		for i := range streams {
			f.begin(models.RequestID(strconv.Itoa(i)), v1, 10*time.Hour)
			f.follow(models.UpstreamChanges{}, 0)
			f.is.True(f.table.count(models.PartitionOrigins) <= rows)
		}
		f.restart()
		f.follow(registered("v1", "v2"), 0)
		for i := range streams {
			f.expectFound(models.RequestID(strconv.Itoa(i)), v1)
		}
	})
}
