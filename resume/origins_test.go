package resume_test

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/resume"
)

var (
	v1 = models.Software{Service: "llm", Version: "v1"}
	v2 = models.Software{Service: "llm", Version: "v2"}
)

// fixture is a set of origins in virtual time.
type fixture struct {
	t       *testing.T
	is      *is.I
	history history
	origins *resume.Origins
}

// history implements resume.VersionSource.
type history struct {
	versions []string
	lags     bool
}

// Candidates implements resume.VersionSource.
func (h *history) Candidates(models.ServiceName) (versions []string, current bool) {
	return slices.Clone(h.versions), !h.lags
}

// Began implements resume.VersionSource.
func (h *history) Began(models.ServiceName, time.Duration) {}

func run(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, is: is.New(t), history: history{versions: []string{"v1"}}}
		f.origins = resume.NewOrigins(&f.history, system.NewClock())
		test(f)
	})
}

// begin records an origin that is kept for some time.
func (f *fixture) begin(id models.RequestID, software models.Software, revision int, keep time.Duration) {
	f.origins.Record(id, software, revision, false, system.NewClock().Now().Add(keep))
}

func (f *fixture) advance(d time.Duration) {
	f.is.NoErr(system.NewClock().Sleep(f.t.Context(), d))
}

func (f *fixture) expect(id models.RequestID, software models.Software) {
	f.t.Helper()
	got, ok := f.origins.Lookup(id)
	f.is.True(ok)
	f.is.Equal(got, software)
}

func (f *fixture) expectUnknown(id models.RequestID) {
	f.t.Helper()
	_, ok := f.origins.Lookup(id)
	f.is.True(!ok)
}

func TestLookup(t *testing.T) {
	t.Run("latest revision", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, time.Second)
			f.begin("r", v2, 2, time.Second)
			f.expect("r", v2)
			f.begin("r", v1, 1, time.Second) // arrives late
			f.expect("r", v2)
		})
	})
	t.Run("either of two versions", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, time.Second)
			f.begin("r", models.Software{}, 2, time.Second)
			f.expectUnknown("r")
		})
	})
	t.Run("expired", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, time.Second)
			f.advance(time.Second)
			f.expectUnknown("r")
			f.origins.Step(f.t.Context())
			f.expectUnknown("r")
		})
	})
	t.Run("kept as long as its caller may resume it, whatever its age", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, 24*time.Hour)
			f.advance(24*time.Hour - time.Second)
			f.origins.Step(f.t.Context())
			f.expect("r", v1)
			f.advance(time.Second)
			f.expectUnknown("r")
		})
	})
	t.Run("deadline out of any range", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, math.MaxInt64)
			f.advance(24 * time.Hour)
			f.expectUnknown("r")
		})
		runVersions(t, func(f *versionFixture) {
			f.begin("r", v1, math.MaxInt64)
			f.follow(registered("v1"), 0)
			f.expectFound("r", v1)
		})
	})
	t.Run("request without an ID", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("", v1, 1, time.Second)
			f.expectUnknown("")
		})
	})
}

func TestSince(t *testing.T) {
	t.Run("continues where it ended", func(t *testing.T) {
		run(t, func(f *fixture) {
			for i := range 5 {
				f.begin(models.RequestID(strconv.Itoa(i)), v1, 1, time.Second)
			}
			first, next := f.origins.Since(0, resume.ScopeOwn, 3)
			f.is.Equal(len(first), 3)
			second, next := f.origins.Since(next, resume.ScopeOwn, 3)
			f.is.Equal(len(second), 2)
			f.is.Equal(next, f.origins.Head())
			rest, _ := f.origins.Since(next, resume.ScopeOwn, 3)
			f.is.Equal(len(rest), 0)
		})
	})
	t.Run("only what was learned in the scope", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("own", v1, 1, time.Second)
			f.origins.Learn([]models.StreamOrigin{{Stream: 1, Software: v2, Revision: 1, TimeLeft: time.Second}}, resume.ScopeZone)
			f.origins.Learn([]models.StreamOrigin{{Stream: 2, Software: v2, Revision: 1, TimeLeft: time.Second}}, resume.ScopeRemote)
			for scope, count := range map[resume.Scope]int{resume.ScopeOwn: 1, resume.ScopeOwn | resume.ScopeRemote: 2, resume.ScopeAll: 3} {
				origins, _ := f.origins.Since(0, scope, 10)
				f.is.Equal(len(origins), count)
			}
		})
	})
	t.Run("time left shrinks on the way", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, 3*time.Second)
			f.advance(time.Second)
			origins, _ := f.origins.Since(0, resume.ScopeOwn, 1)
			f.is.Equal(origins[0].TimeLeft, 2*time.Second)
		})
	})
	t.Run("superseded and expired ones are left out", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.begin("r", v1, 1, 2*time.Second)
			f.begin("r", v2, 2, 2*time.Second)
			f.begin("s", v1, 1, time.Second)
			f.advance(time.Second)
			f.origins.Step(f.t.Context())
			origins, _ := f.origins.Since(0, resume.ScopeOwn, 10)
			f.is.Equal(len(origins), 1)
			f.is.Equal(origins[0].Software, v2)
		})
	})
}

func TestVersions(t *testing.T) {
	run(t, func(f *fixture) {
		versions := func() []string {
			versions := f.origins.Versions("llm")
			slices.Sort(versions)
			return versions
		}
		f.begin("r", v1, 1, time.Second)
		f.begin("s", v1, 1, time.Second)
		f.begin("s", v2, 2, 2*time.Second)
		f.is.Equal(versions(), []string{"v1", "v2"})
		f.advance(time.Second)
		f.origins.Step(f.t.Context())
		f.is.Equal(versions(), []string{"v2"})
		f.is.Equal(len(f.origins.Versions("other")), 0)
	})
}

// The memory that origins take is bounded whatever callers send.
func TestOriginsAreBounded(t *testing.T) {
	run(t, func(f *fixture) {
		const begun, most = 70_000, 60_000
		for i := range begun {
			f.begin(models.RequestID(strconv.Itoa(i)), v1, 1, time.Minute)
		}
		origins, _ := f.origins.Since(0, resume.ScopeAll, begun)
		f.is.Equal(len(origins), most)
		f.expectUnknown("0") // the oldest are dropped
		f.expect(models.RequestID(strconv.Itoa(begun-1)), v1)
	})
}
