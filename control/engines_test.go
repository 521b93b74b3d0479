package control_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/standin/engine"
)

// enginePool is a set of engines with the configuration that names them.
type enginePool struct {
	config  models.Config
	engines map[models.EngineID]peer.Engine
	reports []models.PeerReport
}

func (p *enginePool) Config() *models.Config                         { return &p.config }
func (p *enginePool) Evidence() models.Evidence                      { return models.Evidence{} }
func (p *enginePool) Watch() <-chan struct{}                         { return nil }
func (p *enginePool) Engine(server models.BackendServer) peer.Engine { return p.engines[server.Engine] }

func (p *enginePool) Reports() []models.PeerReport { return p.reports }

func newEnginePool(clock peer.Clock, ids ...models.EngineID) *enginePool {
	p := &enginePool{engines: map[models.EngineID]peer.Engine{}}
	p.config.Through = 1
	p.config.Backends = map[models.EngineID]models.BackendServer{}
	for _, id := range ids {
		p.config.Backends[id] = models.BackendServer{Engine: id, Zone: "here"}
		p.engines[id] = engine.New(clock, engine.Settings{ID: id, Models: []models.Model{"oak"}, Cost: engine.DefaultCost()})
	}
	return p
}

// hangingEngine does not answer requests for its state.
type hangingEngine struct{ peer.Engine }

func (h hangingEngine) State(ctx context.Context) (models.EngineState, error) {
	<-ctx.Done()
	return models.EngineState{}, peer.NewFailure(peer.OutcomeUnknown, "no answer", ctx.Err())
}

// fastClockEngine has a clock that is an hour ahead.
type fastClockEngine struct{ peer.Engine }

func (s fastClockEngine) State(ctx context.Context) (models.EngineState, error) {
	state, err := s.Engine.State(ctx)
	state.MeasuredAt = state.MeasuredAt.Add(time.Hour)
	return state, err
}

func TestEngines(t *testing.T) {
	t.Run("engine that hangs does not delay others", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			clock := system.NewClock()
			p := newEnginePool(clock, "a", "b")
			p.engines["b"] = hangingEngine{p.engines["b"]}
			engines := control.NewEngines(p, p, clock, 5*time.Second)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			started := clock.Now()
			engines.Step(ctx)
			is.True(clock.Now().Sub(started) < 250*time.Millisecond) // before the next poll is due
			states := engines.States()
			is.Equal(len(states), 1)
			is.Equal(states["a"].Engine, models.EngineID("a"))
		})
	})
	t.Run("engine clock that is ahead is corrected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			clock := system.NewClock()
			p := newEnginePool(clock, "a")
			p.engines["a"] = fastClockEngine{p.engines["a"]}
			engines := control.NewEngines(p, p, clock, 5*time.Second)
			engines.Step(t.Context())
			_, loads := engines.Loads()
			is.True(loads["a"].MeasuredAt.Equal(clock.Now()))
		})
	})
	t.Run("large fleet takes other zones from reports", func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		var ids []models.EngineID
		for i := range 70 {
			ids = append(ids, models.EngineID("e-"+strconv.Itoa(i)))
		}
		p := newEnginePool(clock, ids...)
		p.config.Backends["e-0"] = models.BackendServer{Engine: "e-0", Zone: "there"}
		p.engines["e-0"] = nil // polling it would panic
		p.reports = []models.PeerReport{{ReceivedAt: clock.Now(), Report: models.DaemonReport{
			States: map[models.EngineID]models.EngineState{"e-0": {Engine: "e-0", Running: 7}},
		}}}
		engines := control.NewEngines(p, p, clock, 5*time.Second)
		engines.SplitByZone("here", p)
		engines.Step(t.Context())
		is.Equal(engines.States()["e-0"].Running, 7)
		report := models.DaemonReport{}
		engines.Fill(&report)
		is.Equal(len(report.States), 69) // engines of this daemon's zone
	})
	t.Run("crashed engine is dropped", func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		p := newEnginePool(clock, "a")
		engines := control.NewEngines(p, p, clock, 5*time.Second)
		engines.Step(t.Context())
		is.Equal(len(engines.States()), 1)
		p.engines["a"].(*engine.Engine).Crash()
		engines.Step(t.Context())
		is.Equal(len(engines.States()), 0)
	})
}

// recordingIndex is a CacheIndex that records calls.
type recordingIndex struct {
	sequence uint64
	resets   int
}

func (i *recordingIndex) CacheSequence(models.EngineID) uint64 { return i.sequence }
func (i *recordingIndex) ExpireCache()                         {}
func (i *recordingIndex) ResetCache(models.EngineID) {
	i.resets++
	i.sequence = 0
}
func (i *recordingIndex) ApplyCacheEvents(_ models.EngineID, events []models.CacheEvent) {
	i.sequence = events[len(events)-1].Sequence
}

func TestCacheFeed(t *testing.T) {
	is := is.New(t)
	clock := system.NewClock()
	p := newEnginePool(clock, "a")
	e := p.engines["a"].(*engine.Engine)
	engines := control.NewEngines(p, p, clock, time.Second)
	index := &recordingIndex{}
	feed := control.NewCacheFeed(p, p, engines, index)
	step := func() {
		engines.Step(t.Context())
		feed.Step(t.Context())
	}
	is.NoErr(e.Import(t.Context(), models.KVHandle{Handle: string(make([]byte, 640))}))
	step()
	is.Equal(index.sequence, uint64(10)) // one event for each block
	e.Crash()
	e.Restart()
	step()
	is.Equal(index.resets, 1) // the restart emptied its cache
}
