package routing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/routing"
)

// period is the time for which tests ask for the only version.
const period = time.Minute

// versionSource implements peer.UpstreamSource with changes set by a test.
type versionSource struct {
	changes models.UpstreamChanges
	err     error
}

// Follow implements peer.UpstreamSource.
func (s *versionSource) Follow(context.Context, models.Revision, time.Duration) (models.UpstreamChanges, error) {
	return s.changes, s.err
}

// versionFixture is a history of versions in virtual time.
type versionFixture struct {
	t        *testing.T
	is       *is.I
	source   versionSource
	versions *routing.Versions
}

func runVersions(t *testing.T, test func(f *versionFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &versionFixture{t: t, is: is.New(t)}
		f.versions = routing.NewVersions(&f.source, system.NewClock())
		test(f)
	})
}

// follow applies changes and then follows for some time without further ones.
func (f *versionFixture) follow(changes models.UpstreamChanges, d time.Duration) {
	f.t.Helper()
	f.source.changes = changes
	for ; d >= 0; d -= time.Second {
		_, err := f.versions.Follow(f.t.Context(), 0, 0)
		f.is.Equal(err, f.source.err)
		f.source.changes = models.UpstreamChanges{}
		f.is.NoErr(system.NewClock().Sleep(f.t.Context(), time.Second))
	}
}

func (f *versionFixture) expectOnly(version string) {
	f.t.Helper()
	versions, complete := f.versions.Seen("llm", period)
	f.is.True(complete)
	f.is.Equal(versions, []string{version})
}

func (f *versionFixture) expectUncertain() {
	f.t.Helper()
	versions, complete := f.versions.Seen("llm", period)
	f.is.True(!complete || len(versions) != 1)
}

func registered(versions ...string) models.UpstreamChanges {
	changes := models.UpstreamChanges{}
	for _, version := range versions {
		changes.Present = append(changes.Present, models.Upstream{ID: models.EngineID("e-" + version), Service: "llm", Version: version})
	}
	return changes
}

func TestVersionsSeen(t *testing.T) {
	t.Run("one version for the whole period", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.expectUncertain()
			f.follow(registered("v1"), period/2)
			f.expectUncertain() // another one may have been there before
			f.follow(models.UpstreamChanges{}, period/2)
			f.expectOnly("v1")
		})
	})
	t.Run("two versions side by side", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), period)
			f.expectUncertain()
		})
	})
	t.Run("version that has left within the period", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), period)
			f.follow(models.UpstreamChanges{Removed: []models.EngineID{"e-v1"}}, period/2)
			f.expectUncertain()
			f.follow(models.UpstreamChanges{}, period/2)
			f.expectOnly("v2")
		})
	})
	t.Run("version that is missing from a list", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), period)
			list := registered("v2")
			list.All = true
			f.follow(list, period/2)
			f.expectUncertain()
			f.follow(models.UpstreamChanges{}, period/2)
			f.expectOnly("v2")
		})
	})
	t.Run("engine that restarted with another version", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), period)
			restarted := registered("v1")
			restarted.Present[0].Version = "v2"
			f.follow(restarted, period/2)
			f.expectUncertain()
		})
	})
	t.Run("gap in following", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), period)
			f.expectOnly("v1")
			f.source.err = peer.NewFailure(peer.OutcomeNotDone, "away", nil)
			f.follow(models.UpstreamChanges{}, 5*time.Second)
			f.expectUncertain()
			f.source.err = nil
			f.follow(models.UpstreamChanges{}, period/2)
			f.expectUncertain() // another one may have been there during the gap
		})
	})
	t.Run("other services do not count", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			changes := registered("v1")
			changes.Present = append(changes.Present, models.Upstream{ID: "d", Service: "desk", Version: "v7"})
			f.follow(changes, period)
			f.expectOnly("v1")
		})
	})
}
