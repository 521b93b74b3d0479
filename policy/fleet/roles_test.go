package fleet_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

var cost = fleet.ChangeCost{Downtime: 6 * time.Second, CacheRebuild: 2 * time.Second}

// engines returns the engines of one group, assigned to zones round-robin.
func engines(group string, zones int, roles ...models.Role) []fleet.Engine {
	var list []fleet.Engine
	for i, role := range roles {
		list = append(list, fleet.Engine{
			ID:    models.EngineID(group + "-" + strconv.Itoa(100+i)),
			Zone:  models.Zone("zone-" + strconv.Itoa(i%zones)),
			Group: group,
			Role:  role,
		})
	}
	return list
}

func repeat(role models.Role, count int) []models.Role {
	return slices.Repeat([]models.Role{role}, count)
}

func forecast(prefill, decode float64) fleet.Forecast {
	return fleet.Forecast{Mean: fleet.Work{Prefill: prefill, Decode: decode}, Lifetime: 5 * time.Minute}
}

func plan(list []fleet.Engine, f fleet.Forecast) []fleet.RoleChange {
	return fleet.PlanRoles(fleet.RoleSnapshot{
		Engines:   list,
		Forecasts: map[string]fleet.Forecast{"catalogue": f},
		Cost:      cost,
	})
}

func TestPlanRolesFollowsMix(t *testing.T) {
	split := slices.Concat(repeat(models.RolePrefill, 4), repeat(models.RoleDecode, 8))
	t.Run("shift to prefill", func(t *testing.T) {
		is := is.New(t)
		changes := plan(engines("catalogue", 2, split...), forecast(5.7, 5.1))
		is.True(len(changes) > 0)
		for _, c := range changes {
			is.Equal(c.From, models.RoleDecode)
			is.True(c.Gain > c.Cost)
		}
	})
	t.Run("no gain", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(plan(engines("catalogue", 2, split...), forecast(3, 6))), 0)
	})
	t.Run("short expected lifetime of the mix", func(t *testing.T) {
		is := is.New(t)
		f := forecast(4.15, 6.8)
		is.True(len(plan(engines("catalogue", 2, split...), f)) > 0)
		f.Lifetime = 5 * time.Second
		is.Equal(len(plan(engines("catalogue", 2, split...), f)), 0)
	})
	t.Run("engines in both roles absorb the shift", func(t *testing.T) {
		is := is.New(t)
		roles := slices.Concat(repeat(models.RolePrefill, 3), repeat(models.RoleDecode, 5), repeat(models.RoleBoth, 4))
		is.Equal(len(plan(engines("catalogue", 2, roles...), forecast(3.5, 6))), 0)
		is.Equal(len(plan(engines("catalogue", 2, roles...), forecast(5.5, 5))), 0)
	})
}

// assertPhasesKept fails if the changes take the last engine of a phase from a
// zone, or would leave the group without one after two further faults.
func assertPhasesKept(t *testing.T, list []fleet.Engine, changes []fleet.RoleChange) {
	t.Helper()
	is := is.New(t)
	changed := map[models.EngineID]bool{}
	for _, c := range changes {
		changed[c.Engine] = true
	}
	for _, phase := range []models.Role{models.RolePrefill, models.RoleDecode} {
		all := 0
		zones := map[models.Zone]int{}
		for _, e := range list {
			if !changed[e.ID] && !e.Unavailable && servesPhase(e.Role, phase) {
				all++
				zones[e.Zone]++
			}
		}
		for _, c := range changes {
			if servesPhase(c.From, phase) {
				is.True(all > 2)            // one is left after the changes and two faults
				is.True(zones[c.Zone] >= 1) // the zone keeps the phase
			}
		}
	}
}

func servesPhase(role, phase models.Role) bool {
	return role == phase || role == models.RoleBoth
}

func TestPlanRolesNeverEmptiesRole(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(6, 1))
	planned := 0
	for range 10000 {
		zones := 1 + random.IntN(4)
		var roles []models.Role
		for range 2 + random.IntN(14) {
			roles = append(roles, []models.Role{models.RolePrefill, models.RoleDecode, models.RoleBoth}[random.IntN(3)])
		}
		list := engines("catalogue", zones, roles...)
		for i := range list {
			list[i].Unavailable = random.IntN(6) == 0
			list[i].Frozen = random.IntN(6) == 0
		}
		size := float64(len(list))
		f := forecast(random.Float64()*size, random.Float64()*size)
		f.Deviation = fleet.Work{Prefill: random.Float64(), Decode: random.Float64()}
		changes := plan(slices.Clone(list), f)
		planned += len(changes)
		assertPhasesKept(t, list, changes)
		for _, c := range changes {
			i := slices.IndexFunc(list, func(e fleet.Engine) bool { return e.ID == c.Engine })
			is.True(!list[i].Unavailable && !list[i].Frozen && list[i].Role == c.From)
		}
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		is.Equal(plan(list, f), changes) // every lease holder computes the same plan
	}
	is.True(planned > 1000) // the random fleets do lead to changes
}

func TestNoRoleChangesAfterPartitionHeals(t *testing.T) {
	is := is.New(t)
	all := engines("catalogue", 2, slices.Concat(repeat(models.RolePrefill, 4), repeat(models.RoleDecode, 8))...)
	settle := func(list []fleet.Engine, f fleet.Forecast) {
		for range 10 {
			for _, c := range plan(slices.Clone(list), f) {
				i := slices.IndexFunc(list, func(e fleet.Engine) bool { return e.ID == c.Engine })
				list[i].Role = c.To
			}
		}
	}
	var sides [2][]fleet.Engine
	for _, e := range all {
		side := int(e.Zone[len(e.Zone)-1] - '0')
		sides[side] = append(sides[side], e)
	}
	for _, side := range sides {
		settle(side, forecast(2.7, 2.6))
	}
	healed := slices.Concat(sides[0], sides[1])
	is.Equal(len(plan(healed, forecast(5.4, 5.2))), 0)
}

func TestServedShareAgainstBisection(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(6, 2))
	for range 10000 {
		s := fleet.Split{Prefill: random.IntN(6), Decode: random.IntN(6), Both: random.IntN(6)}
		w := fleet.Work{Prefill: random.Float64() * 8, Decode: random.Float64() * 8}
		if random.IntN(10) == 0 {
			w.Decode = 0
		}
		low, high := 0.0, 1.0
		for range 60 {
			middle := (low + high) / 2
			over := max(0, middle*w.Prefill-float64(s.Prefill)) + max(0, middle*w.Decode-float64(s.Decode))
			if over <= fleet.MixedEfficiency*float64(s.Both) {
				low = middle
			} else {
				high = middle
			}
		}
		difference := s.ServedShare(w) - low
		is.True(difference < 1e-6 && difference > -1e-6)
	}
}

// BenchmarkPlanRoles plans up to 22 models in fleets of three sizes.
func BenchmarkPlanRoles(b *testing.B) {
	for _, size := range []int{16, 100, 600} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			snapshot := fleet.RoleSnapshot{Forecasts: map[string]fleet.Forecast{}, Cost: cost}
			groups := min(22, size/4)
			for g := range groups {
				name := "model-" + strconv.Itoa(g)
				count := size / groups
				roles := slices.Concat(repeat(models.RolePrefill, count/3), repeat(models.RoleDecode, count-count/3))
				snapshot.Engines = append(snapshot.Engines, engines(name, 6, roles...)...)
				f := forecast(float64(count)*0.5, float64(count)*0.45)
				f.Deviation = f.Mean.Scale(0.05)
				snapshot.Forecasts[name] = f
			}
			b.ReportAllocs()
			for b.Loop() {
				fleet.PlanRoles(snapshot)
			}
		})
	}
}
