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

// pool is some engines of one model and what daemons know of them.
type pool struct {
	others
	version uint64
	loads   map[models.EngineID]placement.Load
	events  []models.Event
}

func (p *pool) Loads() (uint64, map[models.EngineID]placement.Load) { return p.version, p.loads }
func (p *pool) Record(event models.Event)                           { p.events = append(p.events, event) }

func newPool(ids ...models.EngineID) *pool {
	p := &pool{loads: map[models.EngineID]placement.Load{}}
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

func (p *pool) placer() *request.LoadPlacer {
	clock := system.NewClock()
	return request.NewLoadPlacer(p, p, p, p, clock, "", 1)
}

func place(t *testing.T, placer *request.LoadPlacer, excluded ...models.EngineID) request.Placement {
	t.Helper()
	placed, err := placer.Place(t.Context(), exchange(system.NewClock(), "a"), excluded)
	is.New(t).NoErr(err)
	return placed
}

func TestLoadPlacer(t *testing.T) {
	failed := request.Result{Failed: true}
	whole := request.Result{FirstToken: true, Usage: models.TokenUsage{Prompt: 3, Output: 10}}
	t.Run("spreads what it sends between two reports", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a", "b", "c").placer()
		count := map[models.EngineID]int{}
		for range 30 {
			count[place(t, placer).Server.Engine]++
		}
		is.Equal(count, map[models.EngineID]int{"a": 10, "b": 10, "c": 10})
	})
	t.Run("takes out an engine that fails, probes it and lets it in again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool("a", "b", "c")
			placer := p.placer()
			for range 3 {
				place(t, placer, "b", "c").Release(failed)
			}
			for range 30 {
				is.True(place(t, placer).Server.Engine != "a") // out
			}
			report := models.DaemonReport{}
			placer.Fill(&report)
			is.True(report.Ejected["a"] > 0) // the others are told
			is.NoErr(system.NewClock().Sleep(t.Context(), report.Ejected["a"]))
			probe := place(t, placer)
			is.Equal(probe.Server.Engine, models.EngineID("a"))
			p.version++
			is.True(place(t, placer).Server.Engine != "a") // one probe at a time
			probe.Release(whole)
			is.Equal(place(t, placer, "b", "c").Server.Engine, models.EngineID("a"))
			is.Equal(len(p.events), 2) // taken out, let in again
		})
	})
	t.Run("a caller that goes does not count against the engine", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a", "b", "c").placer()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 10 {
			placed, err := placer.Place(ctx, exchange(system.NewClock(), "a"), []models.EngineID{"b", "c"})
			is.NoErr(err)
			placed.Release(failed)
		}
		is.Equal(place(t, placer, "b", "c").Server.Engine, models.EngineID("a"))
	})
	t.Run("work that may not be repeated avoids cheap backend servers", func(t *testing.T) {
		is := is.New(t)
		p := newPool("a", "b")
		p.config.Backends["a"] = models.BackendServer{Engine: "a", Cheap: true}
		placer := p.placer()
		e := exchange(system.NewClock(), "a")
		e.Route.Repeatable = false
		for range 20 {
			placed, err := placer.Place(t.Context(), e, nil)
			is.NoErr(err)
			is.Equal(placed.Server.Engine, models.EngineID("b"))
		}
		placed, err := placer.Place(t.Context(), e, []models.EngineID{"b"})
		is.NoErr(err)
		is.Equal(placed.Server.Engine, models.EngineID("a")) // rather than refuse it
	})
	t.Run("a reservation is used once, and given back if unused", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a").placer()
		e := exchange(system.NewClock(), "a")
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
		placer.Unreserve(e)
		placer.Unreserve(e)
		is.Equal(inflight(placer), 1)
	})
	t.Run("learns how long answers are", func(t *testing.T) {
		is := is.New(t)
		placer := newPool("a").placer()
		place(t, placer).Release(whole)
		is.Equal(placer.Expect(exchange(system.NewClock(), "a")), 10)
	})
	t.Run("no engine", func(t *testing.T) {
		_, err := newPool().placer().Place(t.Context(), exchange(system.NewClock(), "a"), nil)
		assertRefused(t, err, models.RefusalNoBackend, true)
	})
}

func inflight(placer *request.LoadPlacer) int {
	report := models.DaemonReport{}
	placer.Fill(&report)
	return report.Inflight["a"].Requests
}
