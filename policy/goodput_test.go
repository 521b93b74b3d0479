package policy_test

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"

	"quincewinch/models"
	"quincewinch/policy/naive"
	"quincewinch/request"
	"quincewinch/standin/engine"
)

const (
	fleetEngines = 10
	fleetDaemons = 7
)

// capacity returns how many requests per second a number of engines can answer,
// limited by the scarcest of batch slots, memory and prefill. Shares gives each
// workspace's share of the requests. All shared prefixes are assumed cached.
func capacity(engines int, shares map[models.Workspace]float64) float64 {
	cost := engine.DefaultCost()
	step := cost.StepTime.Seconds() + float64(cost.BatchLimit-1)*cost.StepGrowth.Seconds()
	var slots, pieces, prefill float64 // seconds of each resource that a mean request uses
	for workspace, share := range shares {
		sh := shapeOf(workspace)
		output := float64(sh.shortest+sh.longest) / 2
		prefilling := float64(sh.own) / cost.PrefillRate
		held := prefilling + output*step
		slots += share * held / float64(cost.BatchLimit)
		pieces += share * held * (float64(sh.shared+sh.own) + output) / float64(cost.PieceTokens*cost.Pieces)
		prefill += share * prefilling
	}
	return float64(engines) / max(slots, pieces, prefill)
}

func eightWorkspaces() []models.WorkspaceSettings {
	var workspaces []models.WorkspaceSettings
	for i, weight := range []float64{4, 4, 1, 1, 2, 1, 0.5, 0.5} {
		name := models.Workspace("w-" + strconv.Itoa(i))
		workspaces = append(workspaces, models.WorkspaceSettings{Name: name, Weight: weight})
	}
	return workspaces
}

type variant struct {
	name  string
	setUp func(*simulation)
}

var variants = []variant{
	{"naive", (*simulation).useNaivePlacer},
	{"placed", (*simulation).useLoadPlacer},
	{"queued", func(s *simulation) {
		s.useLoadPlacer()
		s.useQueue()
	}},
}

// goodput returns the fraction of the offered requests that were answered in full
// and within the latency targets.
func (s *simulation) goodput() float64 {
	var offered, onTime int
	for _, t := range s.tallies {
		offered += t.offered
		onTime += t.onTime
	}
	return float64(onTime) / float64(max(offered, 1))
}

func (s *simulation) cacheHitRatio() float64 {
	return float64(s.cachedTokens) / float64(max(s.promptTokens, 1))
}

func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.7, 1.0, 1.5} {
		for _, v := range variants {
			b.Run("load="+strconv.FormatFloat(load, 'f', 1, 64)+"/"+v.name, func(b *testing.B) {
				var goodput, hits float64
				for n := range b.N {
					s := newSimulation(uint64(n), fleetEngines, fleetDaemons, eightWorkspaces())
					v.setUp(s)
					mix := requestShares(eightWorkspaces())
					for _, workspace := range eightWorkspaces() {
						s.offer(workspace.Name, load*capacity(fleetEngines, mix)*mix[workspace.Name], s.anyDaemon)
					}
					s.run()
					goodput += s.goodput()
					hits += s.cacheHitRatio()
				}
				b.ReportMetric(goodput/float64(b.N), "goodput")
				b.ReportMetric(hits/float64(b.N), "cache-hit")
			})
		}
	}
}

// worstShare returns the minimum over the workspaces of the work done on time
// divided by the workspace's exact weighted max-min share of all work done on
// time, as computed by naive.Shares.
func (s *simulation) worstShare() float64 {
	var sum float64
	claims := map[models.Workspace]naive.Claim{}
	for workspace, t := range s.tallies {
		sum += t.onTimeTokens
		claims[workspace] = naive.Claim{Weight: s.config.Workspaces[workspace].Weight, Demand: t.offeredTokens}
	}
	if sum == 0 {
		return 0
	}
	worst := math.Inf(1)
	for workspace, share := range naive.Shares(sum, claims) {
		worst = min(worst, s.tallies[workspace].onTimeTokens/share)
	}
	return worst
}

// BenchmarkFairness has one workspace offer ten times its share of the fleet's
// capacity, and each of the others the given multiple of its share.
func BenchmarkFairness(b *testing.B) {
	const greedy = models.Workspace("w-3")
	picks := map[string]func(*simulation, models.Workspace) func() *simDaemon{
		"spread": func(s *simulation, _ models.Workspace) func() *simDaemon { return s.anyDaemon },
		"greedy-at-one-daemon": func(s *simulation, workspace models.Workspace) func() *simDaemon {
			if workspace == greedy {
				return func() *simDaemon { return s.daemons[0] }
			}
			return s.anyDaemon
		},
	}
	for _, others := range []float64{0.8, 1.0} {
		for _, pick := range slices.Sorted(maps.Keys(picks)) {
			for _, v := range []variant{variants[0], variants[2]} {
				name := "others=" + strconv.FormatFloat(others, 'f', 1, 64) + "/" + pick + "/" + v.name
				b.Run(name, func(b *testing.B) {
					var worst, without float64
					for n := range b.N {
						s := newSimulation(uint64(n), fleetEngines, fleetDaemons, eightWorkspaces())
						v.setUp(s)
						mix := requestShares(eightWorkspaces())
						rate := capacity(fleetEngines, mix)
						for _, workspace := range eightWorkspaces() {
							times := others
							if workspace.Name == greedy {
								times = 10
							}
							s.offer(workspace.Name, times*rate*mix[workspace.Name], picks[pick](s, workspace.Name))
						}
						s.run()
						worst += s.worstShare()
						without += s.goodputExcept(greedy)
					}
					b.ReportMetric(worst/float64(b.N), "worst-share")
					b.ReportMetric(without/float64(b.N), "others-goodput")
				})
			}
		}
	}
}

// requestShares returns each workspace's share of the requests when the tokens
// are divided by weight.
func requestShares(workspaces []models.WorkspaceSettings) map[models.Workspace]float64 {
	requests := map[models.Workspace]float64{}
	var sum float64
	for _, workspace := range workspaces {
		sh := shapeOf(workspace.Name)
		tokens := float64(sh.shared+sh.own) + float64(sh.shortest+sh.longest)/2
		requests[workspace.Name] = workspace.Weight / tokens
		sum += requests[workspace.Name]
	}
	for workspace := range requests {
		requests[workspace] /= sum
	}
	return requests
}

// goodputExcept returns the goodput of all workspaces but one.
func (s *simulation) goodputExcept(excluded models.Workspace) float64 {
	var offered, onTime int
	for workspace, t := range s.tallies {
		if workspace != excluded {
			offered += t.offered
			onTime += t.onTime
		}
	}
	return float64(onTime) / float64(max(offered, 1))
}

// BenchmarkPlacement measures one placement including its release.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{16, 100, 600} {
		for _, v := range variants[:2] {
			b.Run("engines="+strconv.Itoa(engines)+"/"+v.name, func(b *testing.B) {
				s := newSimulation(1, engines, 1, eightWorkspaces())
				v.setUp(s)
				s.now = s.now.Add(pollEvery)
				d := s.daemons[0]
				for range 500 {
					s.arrive("w-0", d) // fills the engines and the daemon's view of their caches
				}
				for _, e := range s.engineList {
					e.measure()
				}
				d.poll()
				exchange := s.exchange("w-0", s.prompt("w-0"))
				b.ReportAllocs()
				for b.Loop() {
					fresh := *exchange // a copy whose prompt has not been hashed yet
					placed, err := d.placer.Place(b.Context(), &fresh, nil)
					if err != nil {
						b.Fatal(err)
					}
					placed.Release(request.Result{FirstToken: true})
				}
			})
		}
	}
}
