package request_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/policy/placement"
	"quincewinch/request"
)

// enginePool is a set of engines of one model with their reported loads. It
// keeps the recorded events.
type enginePool struct {
	fakePeers
	version uint64
	loads   map[models.EngineID]placement.Load
	events  []models.Event
}

func (p *enginePool) Loads() (uint64, map[models.EngineID]placement.Load) { return p.version, p.loads }
func (p *enginePool) Record(event models.Event)                           { p.events = append(p.events, event) }

func newPool(ids ...models.EngineID) *enginePool {
	p := &enginePool{loads: map[models.EngineID]placement.Load{}}
	p.config.Backends = map[models.EngineID]models.BackendServer{}
	p.config.Routes = map[string]models.Route{"oak": {}}
	p.config.Fleet.CheapShare = 1
	for _, id := range ids {
		p.config.Backends[id] = models.BackendServer{Engine: id}
		p.loads[id] = placement.Load{MeasuredAt: system.NewClock().Now(), State: models.EngineState{
			Engine: id, Models: []models.Model{"oak"}, TotalPieces: 2048, FreePieces: 2048,
			PieceTokens: 64, PrefillRate: 20000, DecodeRate: 125,
		}}
	}
	return p
}

func (p *enginePool) placer() *request.LoadPlacer {
	clock := system.NewClock()
	return request.NewLoadPlacer(p, p, p, p, clock, "", 1)
}

func mustPlace(t *testing.T, placer *request.LoadPlacer, excluded ...models.EngineID) request.Placement {
	t.Helper()
	placed, err := placer.Place(t.Context(), newExchange(system.NewClock(), "a"), excluded)
	is.New(t).NoErr(err)
	return placed
}

func TestLoadPlacer(t *testing.T) {
	failed := request.Result{Failed: true}
	whole := request.Result{FirstToken: true, Usage: models.TokenUsage{Prompt: 3, Output: 10}}
	t.Run("spreads requests evenly while no new report arrives", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a", "b", "c").placer()
		count := map[models.EngineID]int{}
		for range 30 {
			count[mustPlace(t, placer).Server.Engine]++
		}
		is.Equal(count, map[models.EngineID]int{"a": 10, "b": 10, "c": 10})
	})
	t.Run("ejects a failing engine, probes it and readmits it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool("a", "b", "c")
			placer := p.placer()
			for range 3 {
				mustPlace(t, placer, "b", "c").Release(failed)
			}
			for range 30 {
				is.True(mustPlace(t, placer).Server.Engine != "a") // ejected
			}
			report := models.DaemonReport{}
			placer.Fill(&report)
			is.True(report.Ejected["a"] > 0) // reported to other daemons
			is.NoErr(system.NewClock().Sleep(t.Context(), report.Ejected["a"]))
			probe := mustPlace(t, placer)
			is.Equal(probe.Server.Engine, models.EngineID("a"))
			p.version++
			is.True(mustPlace(t, placer).Server.Engine != "a") // one probe at a time
			probe.Release(whole)
			is.Equal(mustPlace(t, placer, "b", "c").Server.Engine, models.EngineID("a"))
			is.Equal(len(p.events), 2) // ejected, readmitted
		})
	})
	t.Run("a request cancelled by its caller does not count as an engine failure", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a", "b", "c").placer()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 10 {
			placed, err := placer.Place(ctx, newExchange(system.NewClock(), "a"), []models.EngineID{"b", "c"})
			is.NoErr(err)
			placed.Release(failed)
		}
		is.Equal(mustPlace(t, placer, "b", "c").Server.Engine, models.EngineID("a"))
	})
	t.Run("requests that may not be repeated avoid cheap backend servers", func(t *testing.T) {
		is := is.New(t)
		p := newPool("a", "b")
		p.config.Backends["a"] = models.BackendServer{Engine: "a", Cheap: true}
		placer := p.placer()
		e := newExchange(system.NewClock(), "a")
		e.Route.Repeatable = false
		for range 20 {
			placed, err := placer.Place(t.Context(), e, nil)
			is.NoErr(err)
			is.Equal(placed.Server.Engine, models.EngineID("b"))
		}
		placed, err := placer.Place(t.Context(), e, []models.EngineID{"b"})
		is.NoErr(err)
		is.Equal(placed.Server.Engine, models.EngineID("a")) // used rather than refusing the request
	})
	t.Run("a reservation is used once, and released if unused", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a").placer()
		e := newExchange(system.NewClock(), "a")
		anyWait := func(time.Duration) bool { return true }
		is.True(!placer.Reserve(e, func(time.Duration) bool { return false }))
		is.True(placer.Reserve(e, anyWait))
		is.Equal(inflight(placer), 1)
		placed, err := placer.Place(t.Context(), e, nil)
		is.NoErr(err)
		is.Equal(inflight(placer), 1) // the reserved one
		placed.Release(whole)
		is.Equal(inflight(placer), 0)
		_, err = placer.Place(t.Context(), e, nil)
		is.NoErr(err)
		is.Equal(inflight(placer), 1) // a new one
		is.True(placer.Reserve(e, anyWait))
		placer.CancelReservation(e)
		placer.CancelReservation(e)
		is.Equal(inflight(placer), 1)
	})
	t.Run("learns the length of answers", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a").placer()
		mustPlace(t, placer).Release(whole)
		is.Equal(placer.ExpectedOutput(newExchange(system.NewClock(), "a")), 10)
	})
	t.Run("no engine", func(t *testing.T) {
		_, err := newPool().placer().Place(t.Context(), newExchange(system.NewClock(), "a"), nil)
		assertRefused(t, err, models.RefusalNoBackend, true)
	})
}

func inflight(placer *request.LoadPlacer) int {
	report := models.DaemonReport{}
	placer.Fill(&report)
	return report.Inflight["a"].Requests
}
