package resume_test

import (
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/peer/system"
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
			f.is.Equal(f.table.count(models.PartitionOrigins), 0) // nothing is written for each stream
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
	t.Run("another version joined meanwhile", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.begin("s", v1, lifetime)
			f.restart()
			f.follow(registered("v1", "v2"), 0)
			f.expectFound("s", v1)
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
