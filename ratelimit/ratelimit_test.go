package ratelimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/policy/limit"
	"quincewinch/ratelimit"
	"quincewinch/relay"
)

// view is a daemon among four, in one zone.
type view struct {
	routing  *models.Routing
	unlisted bool
}

func (v *view) Routing() *models.Routing { return v.routing }

func (v *view) Group() limit.Group {
	if v.unlisted {
		return limit.Group{}
	}
	others := map[models.DaemonID]int{"vm-2": 1, "vm-3": 1, "vm-4": 1}
	return limit.Group{Listed: true, Sources: others, Zone: map[models.DaemonID]bool{"vm-2": true, "vm-3": true, "vm-4": true}}
}

// daemon is a daemon with limits whose requests end after some runs.
type daemon struct {
	*ratelimit.Limits
	view *view
	runs int
}

func newDaemon(perSecond float64) *daemon {
	v := &view{routing: &models.Routing{Version: 1, RateLimits: map[models.Workspace]models.RateLimit{"w": {PerSecond: perSecond, Burst: perSecond}}}}
	l := ratelimit.New(v, limit.JointSettings{Filled: true}, prometheus.NewRegistry(), system.NewClock(), zap.NewNop())
	return &daemon{Limits: l, view: v, runs: 1}
}

// serve offers requests of a workspace for some seconds and returns how many are admitted
// in a second.
func (d *daemon) serve(is *is.I, workspace models.Workspace, seconds int, heard func()) float64 {
	is.Helper()
	admitted := 0
	handler := relay.Chain(relay.HandlerFunc(func(_ context.Context, e *relay.Exchange) error {
		admitted++
		e.Runs = d.runs
		return nil
	}), d.Filter())
	for range seconds * 100 {
		d.Step(context.Background())
		heard()
		if err := handler.Handle(context.Background(), &relay.Exchange{Routing: d.view.routing, Workspace: workspace}); err != nil {
			refusal := relay.RefusalOf(err)
			is.Equal(refusal.Code, models.RefusalRateLimit)
			is.True(refusal.NotRun && refusal.RetryAfter > 0)
		}
		is.NoErr(system.NewClock().Sleep(context.Background(), 10*time.Millisecond))
	}
	return float64(admitted) / float64(seconds)
}

func TestDaemonThatDoesNotKnowTheOthersUsesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(40)
		d.view.unlisted = true
		is := is.New(t)
		is.True(d.serve(is, "w", 5, func() {}) < 2)
	})
}

func TestLimitOfDaemonThatLosesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDaemon(40)
		hear := func(offered float64) func() {
			return func() {
				for _, id := range []models.DaemonID{"vm-2", "vm-3", "vm-4"} {
					d.Learn(id, map[models.Workspace]models.LimitUse{"w": {Epoch: 1, Offered: offered}})
				}
			}
		}
		d.serve(is, "w", 10, hear(100))
		is.True(d.Report(false)["w"].Offered > 80)
		alone := d.serve(is, "w", 20, func() {})
		is.True(alone > 7 && alone < 14) // its part by what is offered, not all
		is.Equal(d.serve(is, "other", 1, func() {}), 100.0)
		d.runs = 0
		is.Equal(d.serve(is, "w", 5, hear(0)), 100.0) // what did not run is given back
		d.view.routing = &models.Routing{Version: 2}
		is.Equal(d.serve(is, "w", 1, func() {}), 100.0)
	})
}
