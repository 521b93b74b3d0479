package resume_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/resume"
)

const (
	// lifetime is how long callers may resume the streams of a test.
	lifetime = 100 * time.Second
	// ended is when no caller may resume a stream of a version that left: after the
	// recorded lifetime and the time in which daemons may not know that it left.
	ended = 128*time.Second + time.Minute
)

// versionSource implements peer.UpstreamSource with changes set by a test.
type versionSource struct {
	changes models.UpstreamChanges
	err     error
}

// Follow implements peer.UpstreamSource.
func (s *versionSource) Follow(context.Context, models.Revision, time.Duration) (models.UpstreamChanges, error) {
	return s.changes, s.err
}

// daemon is what a process knows of versions and origins.
type daemon struct {
	source   versionSource
	versions *resume.Versions
	origins  *resume.Origins
	journal  *resume.Journal
	finder   *resume.Finder
}

// versionFixture is a daemon, and others that share its table, in virtual time.
type versionFixture struct {
	*daemon

	t     *testing.T
	is    *is.I
	table *table
}

func runVersions(t *testing.T, test func(f *versionFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &versionFixture{t: t, is: is.New(t), table: newTable()}
		f.restart()
		test(f)
	})
}

// newDaemon returns a process that knows nothing.
func (f *versionFixture) newDaemon() *daemon {
	d := &daemon{}
	d.versions = resume.NewVersions(&d.source, f.table, system.NewClock(), zap.NewNop())
	d.origins = resume.NewOrigins(d.versions, system.NewClock())
	duty := func() (resume.Scope, bool) { return resume.ScopeOwn, true }
	d.journal = resume.NewJournal(d.origins, d.versions, f.table, duty, system.NewClock(), zap.NewNop())
	d.finder = resume.NewFinder(d.origins, d.versions, d.journal)
	return d
}

// restart replaces the process, and with it all that daemons know.
func (f *versionFixture) restart() {
	f.daemon = f.newDaemon()
}

// follow applies changes and then follows for some time without further ones.
func (f *versionFixture) follow(changes models.UpstreamChanges, d time.Duration) {
	f.t.Helper()
	f.source.changes = changes
	for ; d >= 0; d -= time.Second {
		_, err := f.versions.Follow(f.t.Context(), 0, 0)
		f.is.Equal(err, f.source.err)
		f.source.changes = models.UpstreamChanges{}
		f.versions.Step(f.t.Context())
		f.journal.Step(f.t.Context())
		f.origins.Step(f.t.Context())
		f.is.NoErr(system.NewClock().Sleep(f.t.Context(), time.Second))
	}
}

// begin begins a stream that its caller may resume for a time.
func (f *versionFixture) begin(id models.RequestID, software models.Software, keep time.Duration) {
	f.origins.Record(id, software, 1, false, system.NewClock().Now().Add(keep))
}

func (f *versionFixture) expectFound(id models.RequestID, software models.Software) {
	f.t.Helper()
	found, err := f.finder.Find(f.t.Context(), id, []models.ServiceName{"llm"})
	f.is.NoErr(err)
	f.is.Equal(found, software)
}

func (f *versionFixture) expectNotFound(id models.RequestID) {
	f.t.Helper()
	_, err := f.finder.Find(f.t.Context(), id, []models.ServiceName{"llm"})
	f.is.True(err != nil)
}

func registered(versions ...string) models.UpstreamChanges {
	changes := models.UpstreamChanges{}
	for _, version := range versions {
		changes.Present = append(changes.Present, models.Upstream{ID: models.EngineID("e-" + version), Service: "llm", Version: version})
	}
	return changes
}

var v1Removed = models.UpstreamChanges{Removed: []models.EngineID{"e-v1"}}

func TestFind(t *testing.T) {
	t.Run("known stream while another version is the only one", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.begin("known", v1, lifetime)
			f.follow(registered("v2"), 0)
			f.expectFound("known", v1)
		})
	})
	t.Run("only version", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.expectNotFound("unknown")
			f.follow(registered("v1"), 0)
			f.expectFound("unknown", v1)
			f.expectFound("", v1) // not named
		})
	})
	t.Run("only version, at a daemon that has just started", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.restart()
			f.expectFound("unknown", v1)
			f.expectFound("", v1)
		})
	})
	t.Run("two versions side by side", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), time.Minute)
			f.expectNotFound("unknown")
			f.expectNotFound("")
		})
	})
	t.Run("version that has left", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.begin("old", v1, lifetime)
			f.follow(registered("v1", "v2"), 0)
			f.follow(v1Removed, ended-3*time.Second)
			f.expectNotFound("unknown")
			f.expectNotFound("")
			f.restart()
			f.follow(registered("v2"), 0)
			f.expectNotFound("unknown")
			f.follow(models.UpstreamChanges{}, time.Second)
			f.expectFound("unknown", v2)
		})
	})
	t.Run("version that is missing from a list", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.begin("old", v1, lifetime)
			f.follow(registered("v1", "v2"), 0)
			list := registered("v2")
			list.All = true
			f.follow(list, ended-2*time.Second)
			f.expectNotFound("unknown")
			f.follow(models.UpstreamChanges{}, time.Second)
			f.expectFound("unknown", v2)
		})
	})
	t.Run("version that left while all daemons were down", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.restart()
			f.follow(registered("v2"), time.Second)
			f.expectNotFound("unknown")
		})
	})
	t.Run("version that is known by a stream only", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v2"), 0)
			f.begin("known", v1, lifetime)
			f.expectNotFound("unknown")
			f.expectNotFound("")
		})
	})
	t.Run("engine that restarted with another version", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			restarted := registered("v1")
			restarted.Present[0].Version = "v2"
			f.follow(restarted, time.Second)
			f.expectNotFound("unknown")
		})
	})
	t.Run("stream that either version may have begun", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1", "v2"), 0)
			f.begin("uncertain", models.Software{}, lifetime)
			f.expectNotFound("uncertain")
		})
	})
	t.Run("one of two services", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			changes := registered("v1")
			changes.Present = append(changes.Present, models.Upstream{ID: "d", Service: "desk", Version: "v1"})
			f.follow(changes, 0)
			f.expectFound("unknown", v1) // other services do not count
			_, err := f.finder.Find(f.t.Context(), "unknown", []models.ServiceName{"llm", "desk"})
			f.is.True(err != nil)
		})
	})
	t.Run("record that cannot be read", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), time.Minute)
			f.table.setAway(true)
			f.expectNotFound("unknown")
			f.expectNotFound("")
			f.table.setAway(false)
			f.expectFound("unknown", v1)
		})
	})
	t.Run("store that was away when a version came", func(t *testing.T) {
		runVersions(t, func(f *versionFixture) {
			f.follow(registered("v1"), 0)
			f.table.setAway(true)
			f.follow(registered("v2"), 2*time.Second)
			f.table.setAway(false)
			f.follow(models.UpstreamChanges{}, time.Second)
			f.restart()
			f.expectNotFound("unknown")
		})
	})
}

// Guards against streams that go on at another version after their caller has waited:
// neither the age of a stream nor what a daemon remembers decides.
func TestOldStreamKeepsItsVersion(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 59 * time.Second, time.Minute, 61 * time.Second, 5 * time.Hour} {
		t.Run(age.String(), func(t *testing.T) {
			runVersions(t, func(f *versionFixture) {
				f.follow(registered("v1"), 0)
				f.begin("old", v1, age+2*time.Second)
				f.follow(registered("v2"), 0)
				f.restart() // the only one that knew the stream
				f.follow(registered("v2"), 0)
				f.is.NoErr(system.NewClock().Sleep(f.t.Context(), age-2*time.Second))
				f.expectFound("old", v1)
				f.expectNotFound("unknown")
			})
		})
	}
}

// Guards against a daemon that continues streams at the only version that it knows while
// it is out of step and another version has joined.
func TestDaemonOutOfStepContinuesNoStreamOfANewVersion(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		f.follow(registered("v1"), time.Minute)
		stale := f.daemon
		f.restart()
		f.follow(registered("v1", "v2"), 0)
		f.begin("new", v2, lifetime)
		f.daemon = stale // hears of nothing, as one that was paused or is cut off from its zone
		f.expectNotFound("new")
		f.table.setAway(true)
		f.expectNotFound("new")
	})
}

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

// While nothing changes, nothing is called.
func TestSteadyVersionsCostNoCalls(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		f.follow(registered("v1"), 10*time.Second)
		reads, writes := f.table.reads, f.table.writes
		f.begin("s", v1, time.Second)
		f.follow(models.UpstreamChanges{}, time.Hour)
		f.is.Equal(f.table.reads, reads)
		f.is.Equal(f.table.writes, writes)
	})
}

var _ peer.UpstreamSource = (*versionSource)(nil)
