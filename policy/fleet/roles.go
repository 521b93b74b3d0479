package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quincewinch/models"
)

// toleratedFaults is how many engines may fail during a change and leave a phase
// of the work with an engine yet.
const toleratedFaults = 2

// minGainRatio is how many times over a change has to repay its cost: the estimate
// errs, and the plan picks what looks best.
const minGainRatio = 2.0

// Engine is one engine as the plan sees it.
type Engine struct {
	ID          models.EngineID
	Zone        models.Zone
	Group       string // engines of one group serve the same models
	Role        models.Role
	Unavailable bool // it takes no work now, but will in its role
	Frozen      bool // no change of it may begin
}

// ChangeCost is what a change of role costs.
type ChangeCost struct {
	Downtime     time.Duration // drain and change, without work
	CacheRebuild time.Duration // work done again since the cache is lost
}

// total returns the whole time that a change takes from an engine.
func (c ChangeCost) total() time.Duration {
	return c.Downtime + c.CacheRebuild
}

// RoleSnapshot is what roles are planned from. A side of a partition holds
// just the engines and the work that it can reach.
type RoleSnapshot struct {
	Engines    []Engine
	Forecasts  map[string]Forecast // by group
	Cost       ChangeCost
	MinPerRole int // engines kept able to do each phase in a zone
}

// RoleChange is the decision to change an engine's role.
type RoleChange struct {
	Engine   models.EngineID
	Zone     models.Zone
	Group    string
	From     models.Role
	To       models.Role
	Gain     float64 // goodput expected over the life of the mix, in engine-seconds
	Cost     float64 // of the change, in engine-seconds
	Lifetime time.Duration
	Work     Work // expected
}

// Why tells the decision in a sentence with its figures.
func (c RoleChange) Why() string {
	return fmt.Sprintf("%s is expected to keep %.1f engines busy with prefill and %.1f with decode for another %s; "+
		"the change from %s to %s gains %.1f engine-seconds over that time and costs %.1f",
		c.Group, c.Work.Prefill, c.Work.Decode, c.Lifetime.Round(time.Second), c.From, c.To, c.Gain, c.Cost)
}

// PlanRoles returns the changes of role that gain more than they cost, most
// worth first. The same snapshot gives the same plan, so that the holders of
// several zones' leases agree on it without a word.
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

// group plans the engines that serve the same models.
type group struct {
	name       string
	engines    []Engine
	forecast   Forecast
	cost       ChangeCost
	minPerRole int
	all        Split                 // away ones with the role they will have
	available  Split                 // those that take work now
	zones      map[models.Zone]Split // of those that take work now
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

// plan takes the best change again and again while one is worth it.
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

// bestChange returns the change with the greatest gain above its cost, and the
// engine's place; -1 where none is worth it.
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

// evaluate returns what a change between two roles gains and costs.
func (g *group) evaluate(from, to models.Role) RoleChange {
	life := g.forecast.Lifetime
	now := expectedGoodput(g.all, g.forecast)
	then := expectedGoodput(g.all.With(from, -1).With(to, 1), g.forecast)
	without := expectedGoodput(g.all.With(from, -1), g.forecast)
	once := (now - without) * g.cost.total().Seconds()
	back := math.Exp(-life.Seconds() / priorLifetime.Seconds()) // risk of turning back
	return RoleChange{
		Group:    g.name,
		From:     from,
		To:       to,
		Gain:     (then - now) * life.Seconds(),
		Cost:     once*(1+back) + g.cost.CacheRebuild.Seconds(),
		Lifetime: life,
		Work:     g.forecast.Mean,
	}
}

// pickEngine returns the place of an engine that may change, in the zone that has
// most of the role; -1 if there is none.
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

// allowed reports whether a change leaves each phase that it takes an engine
// from with one in the zone, and one in the group even after further faults.
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

// apply makes a change in the plan: the engine is away, then in its new role.
func (g *group) apply(c RoleChange, i int) {
	g.all = g.all.With(c.From, -1).With(c.To, 1)
	g.available = g.available.With(c.From, -1)
	g.zones[c.Zone] = g.zones[c.Zone].With(c.From, -1)
	g.engines[i].Role = c.To
	g.engines[i].Unavailable = true
}

// capable returns how many engines can do a phase.
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

// Three-point Gauss-Hermite quadrature of a normal distribution.
var quadrature = []struct{ at, weight float64 }{
	{-math.Sqrt(3), 1. / 6}, {0, 2. / 3}, {math.Sqrt(3), 1. / 6},
}

// expectedGoodput returns the goodput of a split over the spread of the work.
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
