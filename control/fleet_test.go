package control_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/standin/engine"
)

const engineCount = 12

// shiftMix lets the mix move from a third of prefill to more than half.
func shiftMix(w *world) {
	w.setOfferedLoad(5.7, 5.1)
}

func TestFleetFollowsShiftInMix(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		is.Equal(w.roles()[models.RolePrefill], 4) // nothing to change before the swing
		shiftMix(w)
		w.run(t, 90, fleet)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
		assertWorking(t, w)
		assertExplained(t, w)
	})
}

// assertExplained fails unless each change of role tells its figures.
func assertExplained(t *testing.T, w *world) {
	t.Helper()
	is := is.New(t)
	events := w.ring.Events(models.EventFilter{Kind: models.EventRole})
	is.True(len(events) > 0)
	for _, event := range events {
		is.True(strings.Contains(event.Why, "engine-seconds over that time and costs"))
	}
}

func TestExplainTellsFiguresAndState(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 10, fleet)
		text := strings.Join(fleet.Explain(t.Context(), "engine-100"), " ")
		is.True(strings.Contains(text, "reports role prefill"))
		is.True(strings.Contains(text, "4 for prefill, 8 for decode"))
		is.True(strings.Contains(text, "the step is steady"))
		groups := fleet.Groups()
		is.Equal(len(groups), 1)
		is.Equal(groups[0].Split.Prefill, 4)
		is.Equal(groups[0].ServedShare, 1.0)
	})
}

// runUntilChanging runs until an engine is in the midst of its change, and returns it.
func runUntilChanging(t *testing.T, w *world, run func()) models.EngineID {
	t.Helper()
	shiftMix(w)
	for range 60 {
		run()
		for id, state := range (visibleStates{world: w}).States() {
			if state.Changing {
				return id
			}
		}
	}
	is.New(t).Fail() // no change began
	return ""
}

func TestCrashDuringChange(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		id := runUntilChanging(t, w, func() { w.run(t, 1, fleet) })
		w.engines[id].Crash()
		w.run(t, 10, fleet)
		w.engines[id].Restart()
		w.run(t, 90, fleet)
		assertWorking(t, w)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6) // its change was made up for
	})
}

func TestAbsentEngineIsMarkedBroken(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		id := runUntilChanging(t, w, func() { w.run(t, 1, fleet) })
		w.engines[id].Crash()
		w.run(t, 120, fleet)
		is.True(strings.Contains(strings.Join(fleet.Explain(t.Context(), id), " "), "the step is broken"))
		assertWorking(t, w, id)
		w.engines[id].Restart()
		w.run(t, 60, fleet)
		assertWorking(t, w) // it came back by itself
	})
}

func TestLostOrderAnswers(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		for _, e := range w.engines {
			e.SetFaults(engine.Faults{LoseOrderAnswer: true})
		}
		shiftMix(w)
		w.run(t, 90, fleet)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
		assertWorking(t, w)
	})
}

func TestRoleChangeKeepsLongRequests(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		for _, e := range w.engines {
			e.SetFaults(engine.Faults{Slow: time.Second})
		}
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		shiftMix(w)
		w.run(t, 180, fleet)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
	})
}

func TestStuckChange(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		w.cost.RoleTime = time.Hour
		for i := range engineCount {
			w.add(engineName(i), w.config.Backends[engineName(i)].Zone, startRole(i, engineCount))
		}
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		id := runUntilChanging(t, w, func() { w.run(t, 1, fleet) })
		w.run(t, 120, fleet)
		is.True(strings.Contains(strings.Join(fleet.Explain(t.Context(), id), " "), "over the limit of 1m0s"))
		states := visibleStates{world: w}.States()
		able := map[models.Role]int{}
		for _, state := range states {
			if !state.Changing && !state.Draining {
				able[state.Role]++
			}
		}
		is.True(able[models.RolePrefill]+able[models.RoleBoth] > 0) // neither role was emptied
		is.True(able[models.RoleDecode]+able[models.RoleBoth] > 0)
	})
}

// wrongRequestEngine gives answers that belong to another request.
type wrongRequestEngine struct {
	peer.Engine
}

// Generate implements peer.Engine.
func (c wrongRequestEngine) Generate(ctx context.Context, generation models.Generation) (peer.TokenStream, error) {
	if c.Engine == nil {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "no engine", nil)
	}
	stream, err := c.Engine.Generate(ctx, generation)
	return wrongRequestStream{stream}, err
}

type wrongRequestStream struct {
	peer.TokenStream
}

// Next implements peer.TokenStream.
func (c wrongRequestStream) Next(ctx context.Context) (models.Piece, error) {
	piece, err := c.TokenStream.Next(ctx)
	piece.Request = "another"
	return piece, err
}

// silentEngine gives no answer once a model is loaded.
type silentEngine struct {
	*engine.Engine
	model models.Model
}

// Generate implements peer.Engine.
func (s silentEngine) Generate(ctx context.Context, generation models.Generation) (peer.TokenStream, error) {
	if state, err := s.State(ctx); err == nil && slices.Contains(state.Models, s.model) {
		return nil, peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	}
	return s.Engine.Generate(ctx, generation)
}

func TestEngineWithWrongAnswersIsDrained(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		w.faulty["engine-100"] = wrongRequestEngine{w.engines["engine-100"]}
		fleet := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 75, fleet)
		is.True(visibleStates{world: w}.States()["engine-100"].Draining)
		is.True(strings.Contains(strings.Join(fleet.Explain(t.Context(), "engine-100"), " "), "the step is broken"))
	})
}

func TestLeaseMovesDuringChange(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		old := w.holder("entry-1", w.leases.current(), nil)
		w.run(t, 60, old)
		runUntilChanging(t, w, func() { w.run(t, 1, old) })
		w.leases.transfer()
		successor := w.holder("entry-2", w.leases.current(), nil)
		w.run(t, 90, successor)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
		assertWorking(t, w)
	})
}

func TestPausedHolderHasNoEffect(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		belief := w.leases.current()
		belief.paused = true
		old := w.holder("entry-1", belief, nil)
		w.run(t, 60, old)
		w.leases.transfer()
		belief.authority.Deadline = time.Time{} // it still believes in its lease for a while
		successor := w.holder("entry-2", w.leases.current(), nil)
		shiftMix(w)
		w.run(t, 90, old, successor)
		assertWorking(t, w)
		is.New(t).True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
	})
}

func TestZonePartitionAndRecovery(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		isCut := false
		cut := func(zone models.Zone) bool { return isCut && zone == "zone-1" }
		fleet := w.holder("entry-1", w.leases.current(), cut)
		w.run(t, 60, fleet)
		isCut = true
		w.setOfferedLoad(2.7, 2.5) // one side's share of the work
		w.run(t, 120, fleet)
		changes := w.ring.Events(models.EventFilter{Kind: models.EventRole})
		is.True(len(changes) > 0) // the side planned for what it reached
		for _, change := range changes {
			is.Equal(w.config.Backends[change.Engine].Zone, models.Zone("zone-0"))
		}
		isCut = false
		w.setOfferedLoad(5.4, 5)
		w.run(t, 120, fleet)
		settled := len(w.ring.Events(models.EventFilter{Kind: models.EventRole}))
		w.run(t, 120, fleet)
		is.Equal(len(w.ring.Events(models.EventFilter{Kind: models.EventRole})), settled) // no thrash
		assertWorking(t, w)
	})
}
