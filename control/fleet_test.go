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

// shiftMix raises the share of prefill in the work from a third to more than
// half.
func shiftMix(w *world) {
	w.setOfferedLoad(5.7, 5.1)
}

func TestFleetFollowsShiftInMix(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		is.Equal(w.roles()[models.RolePrefill], 4) // no change before the shift
		shiftMix(w)
		w.run(t, 90, fleet)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
		assertWorking(t, w)
		assertExplained(t, w)
	})
}

// assertExplained fails the test unless the reason for each role change
// contains its figures.
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
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
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

// runUntilChanging calls run until an engine reports that it is changing, and
// returns that engine.
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
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		id := runUntilChanging(t, w, func() { w.run(t, 1, fleet) })
		w.engines[id].Crash()
		w.run(t, 10, fleet)
		w.engines[id].Restart()
		w.run(t, 90, fleet)
		assertWorking(t, w)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6) // the lost change was made up for
	})
}

func TestAbsentEngineIsMarkedBroken(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		id := runUntilChanging(t, w, func() { w.run(t, 1, fleet) })
		w.engines[id].Crash()
		w.run(t, 120, fleet)
		is.True(strings.Contains(strings.Join(fleet.Explain(t.Context(), id), " "), "the step is broken"))
		assertWorking(t, w, id)
		w.engines[id].Restart()
		w.run(t, 60, fleet)
		assertWorking(t, w) // the engine recovered without an operator
	})
}

func TestLostOrderAnswers(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
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
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
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
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 60, fleet)
		id := runUntilChanging(t, w, func() { w.run(t, 1, fleet) })
		w.run(t, 120, fleet)
		is.True(strings.Contains(strings.Join(fleet.Explain(t.Context(), id), " "), "over the limit of 1m0s"))
		states := visibleStates{world: w}.States()
		available := map[models.Role]int{}
		for _, state := range states {
			if !state.Changing && !state.Draining {
				available[state.Role]++
			}
		}
		is.True(available[models.RolePrefill]+available[models.RoleBoth] > 0) // both roles still have engines
		is.True(available[models.RoleDecode]+available[models.RoleBoth] > 0)
	})
}

// wrongRequestEngine answers with the ID of another request.
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

// silentEngine does not answer once a given model is loaded.
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
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 75, fleet)
		is.True(visibleStates{world: w}.States()["engine-100"].Draining)
		is.True(strings.Contains(strings.Join(fleet.Explain(t.Context(), "engine-100"), " "), "the step is broken"))
	})
}

func TestLeaseMovesDuringChange(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		old := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 60, old)
		runUntilChanging(t, w, func() { w.run(t, 1, old) })
		w.leases.transfer()
		successor := w.newFleet("entry-2", w.leases.current(), nil)
		w.run(t, 90, successor)
		is.True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
		assertWorking(t, w)
	})
}

func TestPausedHolderHasNoEffect(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		view := w.leases.current()
		view.paused = true
		old := w.newFleet("entry-1", view, nil)
		w.run(t, 60, old)
		w.leases.transfer()
		view.authority.Deadline = time.Time{} // it takes the lease for valid a while longer
		successor := w.newFleet("entry-2", w.leases.current(), nil)
		shiftMix(w)
		w.run(t, 90, old, successor)
		assertWorking(t, w)
		is.New(t).True(w.roles()[models.RolePrefill]+w.roles()[models.RoleBoth] >= 6)
	})
}

func TestZonePartitionAndRecovery(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		partitioned := false
		isCut := func(zone models.Zone) bool { return partitioned && zone == "zone-1" }
		fleet := w.newFleet("entry-1", w.leases.current(), isCut)
		w.run(t, 60, fleet)
		partitioned = true
		w.setOfferedLoad(2.7, 2.5) // this side's share of the work
		w.run(t, 120, fleet)
		changes := w.ring.Events(models.EventFilter{Kind: models.EventRole})
		is.True(len(changes) > 0) // it planned for the engines it reaches
		for _, change := range changes {
			is.Equal(w.config.Backends[change.Engine].Zone, models.Zone("zone-0"))
		}
		partitioned = false
		w.setOfferedLoad(5.4, 5)
		w.run(t, 120, fleet)
		settled := len(w.ring.Events(models.EventFilter{Kind: models.EventRole}))
		w.run(t, 120, fleet)
		is.Equal(len(w.ring.Events(models.EventFilter{Kind: models.EventRole})), settled) // no further role changes
		assertWorking(t, w)
	})
}
