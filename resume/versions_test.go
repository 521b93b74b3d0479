package resume_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
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
	scope resume.Scope // of the origins that the daemon writes
}

func runVersions(t *testing.T, test func(f *versionFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &versionFixture{t: t, is: is.New(t), table: newTable(), scope: resume.ScopeOwn}
		f.restart()
		test(f)
	})
}

// newDaemon returns a process that knows nothing.
func (f *versionFixture) newDaemon() *daemon {
	d := &daemon{}
	d.versions = resume.NewVersions(&d.source, f.table, system.NewClock(), zap.NewNop())
	d.origins = resume.NewOrigins(d.versions, system.NewClock())
	duty := func() (resume.Scope, bool) { return f.scope, true }
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

// learn adds a stream of another daemon.
func (f *versionFixture) learn(id models.RequestID, software models.Software) {
	origin := models.StreamOrigin{Stream: models.StreamID(xxhash.Sum64String(string(id))), Software: software, Revision: 1, TimeLeft: lifetime}
	f.origins.Learn([]models.StreamOrigin{origin}, resume.ScopeRemote)
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

// While nothing changes, nothing is called. A stream costs the row that tells its origin,
// which is written and deleted.
func TestSteadyVersionsCostNoCalls(t *testing.T) {
	runVersions(t, func(f *versionFixture) {
		f.follow(registered("v1"), 10*time.Second)
		reads, writes := f.table.reads, f.table.writes
		f.follow(models.UpstreamChanges{}, time.Hour)
		f.is.Equal(f.table.reads, reads)
		f.is.Equal(f.table.writes, writes)
		f.begin("s", v1, 2*time.Second)
		f.follow(models.UpstreamChanges{}, time.Hour)
		f.is.Equal(f.table.reads, reads)
		f.is.Equal(f.table.writes, writes+2)
	})
}
