package routing_test

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
	"quincewinch/routing"
)

// fakeRoutingSource follows a script of versions; an error stands for a failed
// call, nil for one without a configuration.
type fakeRoutingSource struct {
	script []any
	afters []models.Revision
}

// Follow implements peer.RoutingSource.
func (v *fakeRoutingSource) Follow(_ context.Context, after models.Revision, _ time.Duration) (*models.Routing, models.Revision, error) {
	v.afters = append(v.afters, after)
	next := v.script[0]
	v.script = v.script[1:]
	switch n := next.(type) {
	case error:
		return nil, after, n
	case int:
		return &models.Routing{Version: uint64(n)}, models.Revision(n), nil
	}
	return nil, after, nil
}

func TestConfiguration(t *testing.T) {
	silent := peer.NewFailure(peer.OutcomeUnknown, "silent", nil)
	tests := []struct {
		name   string
		script []any
		want   uint64 // 0 if none is in force
	}{
		{"none written yet", []any{nil}, 0},
		{"first version", []any{3}, 3},
		{"newer version", []any{3, 7}, 7},
		{"older version is ignored", []any{7, 3}, 7},
		{"kept during an outage", []any{3, silent, silent}, 3},
		{"updated after an outage", []any{3, silent, 9}, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := &fakeRoutingSource{script: test.script}
				c := routing.NewConfiguration(source, system.NewClock(), zap.NewNop(), time.Second)
				for range test.script {
					c.Step(t.Context())
				}
				var got uint64
				if current := c.Routing(); current != nil {
					got = current.Version
				}
				is.Equal(got, test.want)
			})
		})
	}
}

func TestBackoffDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := peer.NewFailure(peer.OutcomeUnknown, "silent", nil)
		source := &fakeRoutingSource{script: []any{silent, silent, silent, silent, 3, silent, 4}}
		clock := system.NewClock()
		c := routing.NewConfiguration(source, clock, zap.NewNop(), time.Second)
		var pauses []time.Duration
		for range len(source.script) {
			begun := clock.Now()
			c.Step(t.Context())
			pauses = append(pauses, clock.Now().Sub(begun))
		}
		const pause = 200 * time.Millisecond
		is.Equal(pauses, []time.Duration{pause, 2 * pause, 4 * pause, 4 * pause, 0, pause, 0})
	})
}

// fakeUpstreamSource returns the changes and the error that the test sets.
type fakeUpstreamSource struct {
	next models.UpstreamChanges
	err  error
	wait time.Duration // of the last call
}

// Follow implements peer.UpstreamSource.
func (r *fakeUpstreamSource) Follow(_ context.Context, _ models.Revision, wait time.Duration) (models.UpstreamChanges, error) {
	r.wait = wait
	next := r.next
	r.next = models.UpstreamChanges{Through: next.Through}
	return next, r.err
}

// leaveTimeout is the time after which a backend server that left gets no more
// requests.
const leaveTimeout = 2 * time.Second

// fleetFixture is a fleet with a fake source of registrations.
type fleetFixture struct {
	t      *testing.T
	is     *is.I
	source fakeUpstreamSource
	fleet  *routing.Fleet
}

func newFleetFixture(t *testing.T) *fleetFixture {
	f := &fleetFixture{t: t, is: is.New(t)}
	f.fleet = routing.NewFleet(&f.source, system.NewClock(), zap.NewNop(), time.Minute, leaveTimeout)
	return f
}

// step delivers changes to the fleet.
func (f *fleetFixture) step(changes models.UpstreamChanges) {
	f.t.Helper()
	f.source.next = changes
	f.source.err = nil
	f.fleet.Step(f.t.Context())
}

// failStep makes one call to the source fail.
func (f *fleetFixture) failStep() {
	f.source.err = peer.NewFailure(peer.OutcomeUnknown, "silent", nil)
	f.fleet.Step(f.t.Context())
}

// advance advances virtual time.
func (f *fleetFixture) advance(d time.Duration) {
	f.t.Helper()
	f.is.NoErr(system.NewClock().Sleep(f.t.Context(), d))
}

// expectAccepting checks which backend servers accept new requests.
func (f *fleetFixture) expectAccepting(ids ...models.EngineID) {
	f.t.Helper()
	var got []models.EngineID
	for _, upstream := range f.fleet.Snapshot().ByService["s"] {
		got = append(got, upstream.ID)
	}
	f.is.Equal(got, ids)
}

func upstream(id models.EngineID) models.Upstream {
	return models.Upstream{ID: id, Service: "s"}
}

func present(revision models.Revision, upstreams ...models.Upstream) models.UpstreamChanges {
	return models.UpstreamChanges{Present: upstreams, Through: revision}
}

func all(revision models.Revision, upstreams ...models.Upstream) models.UpstreamChanges {
	return models.UpstreamChanges{All: true, Present: upstreams, Through: revision}
}

func removed(revision models.Revision, ids ...models.EngineID) models.UpstreamChanges {
	return models.UpstreamChanges{Removed: ids, Through: revision}
}

func TestFleet(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fleetFixture)
	}{
		{"draining server gets no new requests", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			leaving := upstream("a")
			leaving.Draining = true
			f.step(present(2, leaving))
			f.expectAccepting("b")
		}},
		{"removed server is dropped at once while the store is reachable", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			f.step(removed(2, "a"))
			f.expectAccepting("b")
		}},
		{"server missing from a newer list is dropped", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			f.step(all(5, upstream("b")))
			f.expectAccepting("b")
		}},
		{"older list is ignored", func(f *fleetFixture) {
			f.step(all(5, upstream("a"), upstream("b")))
			f.step(all(3, upstream("a")))
			f.expectAccepting("a", "b")
		}},
		{"registration that expired in an outage is kept for the grace period", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			f.failStep()
			f.step(removed(2, "a"))
			f.expectAccepting("a", "b")
			f.step(present(3, upstream("a")))
			f.advance(3 * time.Second)
			f.step(present(3))
			f.expectAccepting("a", "b")
		}},
		{"registration not renewed after an outage is dropped", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			f.failStep()
			f.step(removed(2, "a"))
			f.advance(2 * time.Second)
			f.step(present(2))
			f.expectAccepting("b")
		}},
		{"server removed after recovery is kept for the rest of the grace period", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			f.failStep()
			f.step(present(2))
			f.advance(1500 * time.Millisecond)
			f.step(removed(3, "a"))
			f.advance(500 * time.Millisecond)
			f.step(present(3))
			f.expectAccepting("b")
		}},
		{"grace period ends before the leave timeout", func(f *fleetFixture) {
			f.step(all(1, upstream("a"), upstream("b")))
			f.failStep()
			f.step(removed(2, "a"))
			f.advance(leaveTimeout - 300*time.Millisecond)
			f.step(present(2))
			f.expectAccepting("b")
		}},
		{"wait ends when a server is due to be dropped", func(f *fleetFixture) {
			f.step(all(1, upstream("a")))
			f.failStep()
			f.step(removed(2, "a"))
			f.step(present(2))
			f.is.True(f.source.wait <= 2*time.Second)
		}},
		{"outage does not empty the fleet", func(f *fleetFixture) {
			f.step(all(1, upstream("a")))
			f.failStep()
			f.failStep()
			f.expectAccepting("a")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(newFleetFixture(t)) })
		})
	}
}
