package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// target is a fake engine that receives orders. Crashes and lost orders are
// drawn from random.
type target struct {
	random            *rand.Rand
	state             models.EngineState
	downFor           int // seconds until it answers again
	changingFor       int // seconds until its change ends
	inProgress        models.Order
	cutRequests       int // running requests interrupted by a change
	overlappingOrders int // orders received during a change
}

// tick advances the engine by one second.
func (g *target) tick(faults bool) {
	if g.state.Running > 0 && g.random.IntN(3) == 0 {
		g.state.Running--
	}
	if !g.state.Draining && !g.state.Changing && g.random.IntN(3) == 0 {
		g.state.Running++
	}
	if g.changingFor > 0 {
		if g.changingFor--; g.changingFor == 0 {
			g.finish()
		}
	}
	if g.downFor > 0 {
		g.downFor--
	}
	if faults && g.random.IntN(20) == 0 {
		g.crash()
	}
}

// crash makes the engine unreachable and aborts its change. In half of the
// cases it also loses its role and its last order.
func (g *target) crash() {
	g.downFor = 1 + g.random.IntN(20)
	g.changingFor = 0
	g.state.Changing = false
	g.state.Running = 0
	if g.random.IntN(2) == 0 {
		g.state.Role = models.RoleBoth
		g.state.Draining = false
		g.state.LastOrder = ""
	}
}

func (g *target) finish() {
	g.state.Changing = false
	if g.inProgress.Kind == models.OrderRole {
		g.state.Role = g.inProgress.Role
	} else {
		g.state.Models = append(g.state.Models, g.inProgress.Model)
	}
}

// receive carries out an order, unless the order is lost or a duplicate.
func (g *target) receive(order models.Order, faults bool) {
	if g.downFor > 0 || faults && g.random.IntN(4) == 0 || g.state.LastOrder == order.ID {
		return
	}
	if g.state.Changing {
		g.overlappingOrders++
		return
	}
	g.state.LastOrder = order.ID
	switch order.Kind {
	case models.OrderDrain:
		g.state.Draining = true
	case models.OrderResume:
		g.state.Draining = false
	case models.OrderUnload:
		g.state.Models = slices.DeleteFunc(g.state.Models, func(m models.Model) bool { return m == order.Model })
	default:
		g.cutRequests += g.state.Running
		g.state.Changing = true
		g.changingFor = 3
		g.inProgress = order
	}
}

func (g *target) observed(missing int, checked int) fleet.Observed {
	return fleet.Observed{
		Present:        g.downFor == 0,
		State:          g.state,
		UnreachableFor: time.Duration(missing) * time.Second,
		ChecksPassed:   checked,
	}
}

// Under random crashes and lost orders, checks that the engine reaches the
// desired state once the faults stop, that no order is sent during a change,
// and that no change interrupts a running request.
func TestRepairUnderSeededFaults(t *testing.T) {
	for seed := range uint64(10000) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 5))
		g := &target{random: random, state: models.EngineState{Role: models.RoleDecode, Models: []models.Model{"catalogue"}}}
		now := time.Unix(0, 0)
		desired := fleet.Adopt(models.BackendServer{Engine: "engine-1"}, g.state, now)
		missing, checked := 0, 0
		for second := range 400 {
			faults := second < 120
			if second%40 == 10 && faults && desired.Step == models.StepSteady {
				change := fleet.RoleChange{From: desired.Role, To: []models.Role{models.RolePrefill, models.RoleDecode}[random.IntN(2)]}
				desired = fleet.BeginRoleChange(desired, change, now)
				if random.IntN(3) == 0 {
					desired.Models = []models.Model{"catalogue", "stock"}
				}
			}
			g.tick(faults)
			missing++
			if g.downFor == 0 {
				missing = 0
			}
			action := fleet.NextAction(desired, g.observed(missing, checked), now, fleet.DefaultRepairLimits())
			if action.Desired.Step != desired.Step {
				checked = 0
			}
			desired = action.Desired
			switch {
			case action.Order:
				g.receive(desired.PendingOrder, faults)
			case action.Check && g.downFor == 0:
				checked++
			}
			now = now.Add(time.Second)
		}
		is.Equal(desired.Step, models.StepSteady)
		is.Equal(g.state.Role, desired.Role)
		is.Equal(slices.Sorted(slices.Values(g.state.Models)), desired.Models)
		is.True(!g.state.Draining)
		is.Equal(g.overlappingOrders, 0)
		is.Equal(g.cutRequests, 0)
	}
}

func TestNextAction(t *testing.T) {
	now := time.Unix(100, 0)
	state := models.EngineState{Engine: "engine-1", Role: models.RoleDecode, Models: []models.Model{"catalogue"}}
	steady := fleet.Adopt(models.BackendServer{Engine: "engine-1"}, state, now)
	next := func(desired models.DesiredEngine, state models.EngineState) fleet.Action {
		return fleet.NextAction(desired, fleet.Observed{Present: true, State: state}, now, fleet.DefaultRepairLimits())
	}
	t.Run("an unconfirmed order is sent again with the same ID", func(t *testing.T) {
		is := is.New(t)
		desired := fleet.BeginRoleChange(steady, fleet.RoleChange{From: models.RoleDecode, To: models.RolePrefill}, now)
		first := next(desired, state)
		is.Equal(first.Desired.PendingOrder.Kind, models.OrderDrain)
		again := next(first.Desired, state)
		is.True(again.Order && !again.Changed)
		is.Equal(again.Desired.PendingOrder, first.Desired.PendingOrder)
	})
	t.Run("an engine that drains without an order is resumed", func(t *testing.T) {
		is := is.New(t)
		draining := state
		draining.Draining = true
		is.Equal(next(steady, draining).Desired.PendingOrder.Kind, models.OrderResume)
	})
	t.Run("an engine in the wrong role is drained", func(t *testing.T) {
		is := is.New(t)
		wrong := state
		wrong.Role = models.RolePrefill
		is.Equal(next(steady, wrong).Desired.Step, models.StepDraining)
	})
	t.Run("a drain over the limit is reverted", func(t *testing.T) {
		is := is.New(t)
		desired := fleet.BeginRoleChange(steady, fleet.RoleChange{From: models.RoleDecode, To: models.RolePrefill}, now.Add(-time.Hour))
		running := state
		running.Draining, running.Running = true, 1
		action := next(desired, running)
		is.Equal(action.Desired.Step, models.StepChecking)
		is.Equal(action.Desired.Role, models.RoleDecode)
	})
}
