package resume_test

import (
	"context"
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/peer/system"
)

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

// Guards against callers that are refused because another one, whose call they share, has
// gone.
func TestReadOfACallerThatHasGoneServesTheOthers(t *testing.T) {
	for name, id := range map[string]models.RequestID{"of the record": "unknown", "of stored origins": "stored"} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, func(f *versionFixture) {
				changes := registered("v1")
				if id == "stored" {
					changes = registered("v1", "v2")
				}
				f.follow(changes, 0)
				f.begin("stored", v1, lifetime)
				f.journal.Step(f.t.Context())
				f.restart()
				f.table.delay = 100 * time.Millisecond
				find := func(ctx context.Context) chan error {
					done := make(chan error, 1)
					go func() {
						_, err := f.finder.Find(ctx, id, []models.ServiceName{"llm"})
						done <- err
					}()
					f.is.NoErr(system.NewClock().Sleep(f.t.Context(), f.table.delay/10))
					return done
				}
				var reading chan error
				if id == "unknown" {
					reading = find(f.t.Context()) // the next two share the call after this one's
				}
				leaving, leave := context.WithCancel(f.t.Context())
				_ = find(leaving)
				found := find(f.t.Context())
				f.is.NoErr(system.NewClock().Sleep(f.t.Context(), 5*f.table.delay/4))
				leave()
				f.is.NoErr(<-found)
				if reading != nil {
					f.is.NoErr(<-reading)
				}
			})
		})
	}
}
