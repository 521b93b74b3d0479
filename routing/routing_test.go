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

// versions gives one version after another; an error stands for a call that
// failed.
type versions struct {
	script []any
	afters []models.Revision
}

// Follow implements peer.RoutingSource.
func (v *versions) Follow(_ context.Context, after models.Revision, _ time.Duration) (*models.Routing, models.Revision, error) {
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
				source := &versions{script: test.script}
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

func TestTriesWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := peer.NewFailure(peer.OutcomeUnknown, "silent", nil)
		source := &versions{script: []any{silent, silent, silent, silent, 3, silent, 4}}
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

// registrations gives what the test puts there.
type registrations struct {
	next models.UpstreamChanges
	err  error
	wait time.Duration // of the last call
}

// Follow implements peer.UpstreamSource.
func (r *registrations) Follow(_ context.Context, _ models.Revision, wait time.Duration) (models.UpstreamChanges, error) {
	r.wait = wait
	next := r.next
	r.next = models.UpstreamChanges{Through: next.Through}
	return next, r.err
}

// leave is within which a backend server that left gets no more requests.
const leave = 2 * time.Second

// fleetWorld is a fleet that a test changes step by step.
type fleetWorld struct {
	t      *testing.T
	is     *is.I
	source registrations
	fleet  *routing.Fleet
}

func newFleetWorld(t *testing.T) *fleetWorld {
	w := &fleetWorld{t: t, is: is.New(t)}
	w.fleet = routing.NewFleet(&w.source, system.NewClock(), zap.NewNop(), time.Minute, leave)
	return w
}

func (w *fleetWorld) step(changes models.UpstreamChanges) {
	w.t.Helper()
	w.source.next = changes
	w.source.err = nil
	w.fleet.Step(w.t.Context())
}

func (w *fleetWorld) fail() {
	w.source.err = peer.NewFailure(peer.OutcomeUnknown, "silent", nil)
	w.fleet.Step(w.t.Context())
}

// pass lets virtual time pass.
func (w *fleetWorld) pass(d time.Duration) {
	w.t.Helper()
	w.is.NoErr(system.NewClock().Sleep(w.t.Context(), d))
}

// takesWork checks which backend servers get new work.
func (w *fleetWorld) takesWork(ids ...models.EngineID) {
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
		play func(w *fleetWorld)
	}{
		{"one that drains gets no new work", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			leaving := upstream("a")
			leaving.Draining = true
			w.step(present(2, leaving))
			w.takesWork("b")
		}},
		{"one that is gone while the store is well is dropped at once", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.step(removed(2, "a"))
			w.takesWork("b")
		}},
		{"one missing in a new list is dropped", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.step(all(5, upstream("b")))
			w.takesWork("b")
		}},
		{"an older list changes nothing", func(w *fleetWorld) {
			w.step(all(5, upstream("a"), upstream("b")))
			w.step(all(3, upstream("a")))
			w.takesWork("a", "b")
		}},
		{"one that lapsed in an outage is kept until it may be back", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.fail()
			w.step(removed(2, "a"))
			w.takesWork("a", "b")
			w.step(present(3, upstream("a")))
			w.pass(3 * time.Second)
			w.step(present(3))
			w.takesWork("a", "b")
		}},
		{"and is gone where it is not", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.fail()
			w.step(removed(2, "a"))
			w.pass(2 * time.Second)
			w.step(present(2))
			w.takesWork("b")
		}},
		{"one that is gone a while after the store's return is not doubted for long", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.fail()
			w.step(present(2))
			w.pass(1500 * time.Millisecond)
			w.step(removed(3, "a"))
			w.pass(500 * time.Millisecond)
			w.step(present(3))
			w.takesWork("b")
		}},
		{"one that is gone right at the store's return gets no work for too long", func(w *fleetWorld) {
			w.step(all(1, upstream("a"), upstream("b")))
			w.fail()
			w.step(removed(2, "a"))
			w.pass(leave - 300*time.Millisecond)
			w.step(present(2))
			w.takesWork("b")
		}},
		{"a watch ends when one is due to be dropped", func(w *fleetWorld) {
			w.step(all(1, upstream("a")))
			w.fail()
			w.step(removed(2, "a"))
			w.step(present(2))
			w.is.True(w.source.wait <= 2*time.Second)
		}},
		{"an outage empties nothing", func(w *fleetWorld) {
			w.step(all(1, upstream("a")))
			w.fail()
			w.fail()
			w.takesWork("a")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.play(newFleetWorld(t)) })
		})
	}
}
