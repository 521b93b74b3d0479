package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quincewinch/models"
)

// toleratedFaults is how many engines may fail during a change while each phase
// still has an engine.
const toleratedFaults = 2

// minGainRatio is the minimum ratio of a change's gain to its cost. It is
// above 1 because the estimates are noisy and picking the best candidate
// favours those that are overestimated.
const minGainRatio = 2.0

// Engine is an engine in a RoleSnapshot.
type Engine struct {
	ID          models.EngineID
	Zone        models.Zone
	Group       string // the engines of a group serve the same models
	Role        models.Role
	Unavailable bool // takes no work at present, but will in its role
	Frozen      bool // no change may be started
}

// ChangeCost is the cost of a change of role.
type ChangeCost struct {
	Downtime     time.Duration // drain and change, during which the engine takes no work
	CacheRebuild time.Duration // work repeated because the KV cache is lost
}

// total returns the engine time that a change costs.
func (c ChangeCost) total() time.Duration {
	return c.Downtime + c.CacheRebuild
}

// RoleSnapshot is the input of PlanRoles. During a partition it holds only the
// engines and the work on this side.
type RoleSnapshot struct {
	Engines    []Engine
	Forecasts  map[string]Forecast // by group
	Cost       ChangeCost
	MinPerRole int // engines that remain able to do each phase in a zone
}

// RoleChange is the decision to change an engine's role.
type RoleChange struct {
	Engine   models.EngineID
	Zone     models.Zone
	Group    string
	From     models.Role
	To       models.Role
	Gain     float64       // additional goodput expected over Lifetime, in engine-seconds
	Cost     float64       // of the change, in engine-seconds
	Lifetime time.Duration // of the mix, expected
	Work     Work          // expected
}

// Why explains the decision in a sentence with its figures.
func (c RoleChange) Why() string {
	return fmt.Sprintf("%s is expected to keep %.1f engines busy with prefill and %.1f with decode for another %s; "+
		"the change from %s to %s gains %.1f engine-seconds over that time and costs %.1f",
		c.Group, c.Work.Prefill, c.Work.Decode, c.Lifetime.Round(time.Second), c.From, c.To, c.Gain, c.Cost)
}

// PlanRoles returns the changes of role whose gain sufficiently exceeds their
// cost, in descending order of net gain. It is deterministic, so that the lease
// holders of several zones compute the same plan without coordination.
func PlanRoles(s RoleSnapshot) []RoleChange {
	groups := map[string][]Engine{}
	for _, e := range s.Engines {
		groups[e.Group] = append(groups[e.Group], e)
	}
	var changes []RoleChange
	for name, engines := range groups {
		slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(string(a.ID), string(b.ID)) })
		g := newGroup(name, engines, s)
		changes = append(changes, g.plan()...)
	}
	slices.SortFunc(changes, func(a, b RoleChange) int {
		if order := compareFloats(b.Gain-b.Cost, a.Gain-a.Cost); order != 0 {
			return order
		}
		return strings.Compare(string(a.Engine), string(b.Engine))
	})
	return changes
}

// group plans the roles of the engines that serve the same models.
type group struct {
	name       string
	engines    []Engine
	forecast   Forecast
	cost       ChangeCost
	minPerRole int
	all        Split                 // unavailable engines count in their future role
	available  Split                 // engines that take work at present
	zones      map[models.Zone]Split // available engines by zone
}

func newGroup(name string, engines []Engine, s RoleSnapshot) *group {
	g := &group{
		name:       name,
		engines:    engines,
		forecast:   s.Forecasts[name],
		cost:       s.Cost,
		minPerRole: max(s.MinPerRole, 1),
		zones:      map[models.Zone]Split{},
	}
	for _, e := range engines {
		g.all = g.all.With(e.Role, 1)
		if !e.Unavailable {
			g.available = g.available.With(e.Role, 1)
			g.zones[e.Zone] = g.zones[e.Zone].With(e.Role, 1)
		}
	}
	return g
}

// plan applies the best change repeatedly until none is worth its cost.
func (g *group) plan() []RoleChange {
	var changes []RoleChange
	for range g.engines {
		best, index := g.bestChange()
		if index < 0 {
			return changes
		}
		changes = append(changes, best)
		g.apply(best, index)
	}
	return changes
}

// bestChange returns the change with the highest net gain and the index of its
// engine, or -1 if no change is worth its cost.
func (g *group) bestChange() (RoleChange, int) {
	var best RoleChange
	index := -1
	for _, from := range allRoles {
		for _, to := range allRoles {
			if from == to {
				continue
			}
			candidate := g.evaluate(from, to)
			if candidate.Gain <= minGainRatio*candidate.Cost || index >= 0 && candidate.Gain-candidate.Cost <= best.Gain-best.Cost {
				continue
			}
			if i := g.pickEngine(from, to); i >= 0 {
				candidate.Engine, candidate.Zone = g.engines[i].ID, g.engines[i].Zone
				best, index = candidate, i
			}
		}
	}
	return best, index
}

var allRoles = []models.Role{models.RolePrefill, models.RoleDecode, models.RoleBoth}

// evaluate estimates the gain and the cost of changing one engine between two
// roles. The cost of the downtime is counted again with the probability that
// the mix reverts and the change has to be undone, which falls with the
// expected lifetime of the mix.
func (g *group) evaluate(from, to models.Role) RoleChange {
	lifetime := g.forecast.Lifetime
	current := expectedGoodput(g.all, g.forecast)
	after := expectedGoodput(g.all.With(from, -1).With(to, 1), g.forecast)
	during := expectedGoodput(g.all.With(from, -1), g.forecast)
	downtime := (current - during) * g.cost.total().Seconds()
	reversal := math.Exp(-lifetime.Seconds() / priorLifetime.Seconds()) // probability that the mix reverts
	return RoleChange{
		Group:    g.name,
		From:     from,
		To:       to,
		Gain:     (after - current) * lifetime.Seconds(),
		Cost:     downtime*(1+reversal) + g.cost.CacheRebuild.Seconds(),
		Lifetime: lifetime,
		Work:     g.forecast.Mean,
	}
}

// pickEngine returns the index of an engine that may change, in the zone with
// the most engines in the role, or -1 if there is none.
func (g *group) pickEngine(from, to models.Role) int {
	picked := -1
	for i, e := range g.engines {
		if e.Role != from || e.Unavailable || e.Frozen || !g.allowed(e, to) {
			continue
		}
		if picked < 0 || countRole(g.zones[e.Zone], from) > countRole(g.zones[g.engines[picked].Zone], from) {
			picked = i
		}
	}
	return picked
}

// allowed reports whether each phase that loses an engine by a change keeps at
// least minPerRole engines in the zone and more than toleratedFaults in the
// group.
func (g *group) allowed(e Engine, to models.Role) bool {
	zone := g.zones[e.Zone].With(e.Role, -1)
	left := g.available.With(e.Role, -1)
	after := g.all.With(e.Role, -1).With(to, 1)
	for _, phase := range []models.Role{models.RolePrefill, models.RoleDecode} {
		if e.Role != phase && e.Role != models.RoleBoth {
			continue
		}
		if capable(zone, phase) < g.minPerRole || min(capable(left, phase), capable(after, phase)) <= toleratedFaults {
			return false
		}
	}
	return true
}

// apply records a change in the plan: the engine is unavailable and then serves
// in its new role.
func (g *group) apply(c RoleChange, i int) {
	g.all = g.all.With(c.From, -1).With(c.To, 1)
	g.available = g.available.With(c.From, -1)
	g.zones[c.Zone] = g.zones[c.Zone].With(c.From, -1)
	g.engines[i].Role = c.To
	g.engines[i].Unavailable = true
}

// capable returns the number of engines that can do a phase.
func capable(s Split, phase models.Role) int {
	return countRole(s, phase) + s.Both
}

func countRole(s Split, role models.Role) int {
	switch role {
	case models.RolePrefill:
		return s.Prefill
	case models.RoleDecode:
		return s.Decode
	}
	return s.Both
}

// quadrature holds the nodes and weights of the three-point Gauss-Hermite
// quadrature of the standard normal distribution.
var quadrature = []struct{ at, weight float64 }{
	{-math.Sqrt(3), 1. / 6}, {0, 2. / 3}, {math.Sqrt(3), 1. / 6},
}

// expectedGoodput returns the expected goodput of a split over the distribution
// of the work.
func expectedGoodput(s Split, f Forecast) float64 {
	sum := 0.0
	for _, p := range quadrature {
		for _, d := range quadrature {
			w := Work{
				Prefill: max(0, f.Mean.Prefill+p.at*f.Deviation.Prefill),
				Decode:  max(0, f.Mean.Decode+d.at*f.Deviation.Decode),
			}
			sum += p.weight * d.weight * s.Goodput(w)
		}
	}
	return sum
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
