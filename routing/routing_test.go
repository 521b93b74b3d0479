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

// fakeRoutingSource gives one version after another; an error stands for a call that
// failed.
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
		want   uint64 // 0: none in force
	}{
		{"none yet", []any{nil}, 0},
		{"the first one", []any{3}, 3},
		{"a later one", []any{3, 7}, 7},
		{"never back to an older one", []any{7, 3}, 7},
		{"kept through an outage", []any{3, silent, silent}, 3},
		{"taken up after an outage", []any{3, silent, 9}, 9},
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

// fakeUpstreamSource gives what the test puts there.
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

// leaveTimeout is within which a backend server that left gets no more requests.
const leaveTimeout = 2 * time.Second

// fleetFixture is a fleet that a test changes step by step.
type fleetFixture struct {
	t      *testing.T
	is     *is.I
	source fakeUpstreamSource
	fleet  *routing.Fleet
}

func newFleetFixture(t *testing.T) *fleetFixture {
	w := &fleetFixture{t: t, is: is.New(t)}
	w.fleet = routing.NewFleet(&w.source, system.NewClock(), zap.NewNop(), time.Minute, leaveTimeout)
	return w
}

func (w *fleetFixture) step(changes models.UpstreamChanges) {
	w.t.Helper()
	w.source.next = changes
	w.source.err = nil
	w.fleet.Step(w.t.Context())
}

func (w *fleetFixture) failStep() {
	w.source.err = peer.NewFailure(peer.OutcomeUnknown, "silent", nil)
	w.fleet.Step(w.t.Context())
}

// advance lets virtual time pass.
func (w *fleetFixture) advance(d time.Duration) {
	w.t.Helper()
	w.is.NoErr(system.NewClock().Sleep(w.t.Context(), d))
}

// expectAccepting checks which backend servers get new work.
func (w *fleetFixture) expectAccepting(ids ...models.EngineID) {
	w.t.Helper()
	var got []models.EngineID
	for _, upstream := range w.fleet.Snapshot().ByService["s"] {
		got = append(got, upstream.ID)
	}
	w.is.Equal(got, ids)
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
		play func(w *fleetFixture)
	}{
		{"one that drains gets no new work", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			leaving := upstream("a")
			leaving.Draining = true
			w.step(present(2, leaving))
			w.expectAccepting("b")
		}},
		{"one that is gone while the store is well is dropped at once", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.step(removed(2, "a"))
			w.expectAccepting("b")
		}},
		{"one missing in a new list is dropped", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.step(all(5, upstream("b")))
			w.expectAccepting("b")
		}},
		{"an older list changes nothing", func(w *fleetFixture) {
			w.step(all(5, upstream("a"), upstream("b")))
			w.step(all(3, upstream("a")))
			w.expectAccepting("a", "b")
		}},
		{"one that lapsed in an outage is kept until it may be back", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.failStep()
			w.step(removed(2, "a"))
			w.expectAccepting("a", "b")
			w.step(present(3, upstream("a")))
			w.advance(3 * time.Second)
			w.step(present(3))
			w.expectAccepting("a", "b")
		}},
		{"and is gone where it is not", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.failStep()
			w.step(removed(2, "a"))
			w.advance(2 * time.Second)
			w.step(present(2))
			w.expectAccepting("b")
		}},
		{"one that is gone a while after the store's return is not doubted for long", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.failStep()
			w.step(present(2))
			w.advance(1500 * time.Millisecond)
			w.step(removed(3, "a"))
			w.advance(500 * time.Millisecond)
			w.step(present(3))
			w.expectAccepting("b")
		}},
		{"one that is gone right at the store's return gets no work for too long", func(w *fleetFixture) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.failStep()
			w.step(removed(2, "a"))
			w.advance(leaveTimeout - 300*time.Millisecond)
			w.step(present(2))
			w.expectAccepting("b")
		}},
		{"a watch ends when one is due to be dropped", func(w *fleetFixture) {
			w.step(all(1, upstream("a")))
			w.failStep()
			w.step(removed(2, "a"))
			w.step(present(2))
			w.is.True(w.source.wait <= 2*time.Second)
		}},
		{"an outage empties nothing", func(w *fleetFixture) {
			w.step(all(1, upstream("a")))
			w.failStep()
			w.failStep()
			w.expectAccepting("a")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.play(newFleetFixture(t)) })
		})
	}
}
