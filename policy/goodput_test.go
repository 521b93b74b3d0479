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

// capacity returns how many requests a second a number of engines can answer
// of a mix, given by the share of each workspace, if each shared prefix is
// cached: what the scarcest of batch, memory and prefill allows.
func capacity(engines int, shares map[models.Workspace]float64) float64 {
	cost := engine.DefaultCost()
	step := cost.StepTime.Seconds() + float64(cost.BatchLimit-1)*cost.StepGrowth.Seconds()
	var slots, pieces, prefill float64 // seconds of each that a mean request takes
	for workspace, share := range shares {
		s := shapeOf(workspace)
		output := float64(s.shortest+s.longest) / 2
		prefilling := float64(s.own) / cost.PrefillRate
		held := prefilling + output*step
		slots += share * held / float64(cost.BatchLimit)
		pieces += share * held * (float64(s.shared+s.own) + output) / float64(cost.PieceTokens*cost.Pieces)
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
	{"queued", func(w *simulation) {
		w.useLoadPlacer()
		w.useQueue()
	}},
}

// goodput returns the share of the requests offered that was answered on time
// and in full.
func (w *simulation) goodput() float64 {
	var offered, onTime int
	for _, t := range w.tallies {
		offered += t.offered
		onTime += t.onTime
	}
	return float64(onTime) / float64(max(offered, 1))
}

func (w *simulation) hitShare() float64 {
	return float64(w.cachedTokens) / float64(max(w.promptTokens, 1))
}

func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.7, 1.0, 1.5} {
		for _, v := range variants {
			b.Run("load="+strconv.FormatFloat(load, 'f', 1, 64)+"/"+v.name, func(b *testing.B) {
				var goodput, hits float64
				for n := range b.N {
					w := newSimulation(uint64(n), fleetEngines, fleetDaemons, eightWorkspaces())
					v.setUp(w)
					mix := requestShares(eightWorkspaces())
					for _, workspace := range eightWorkspaces() {
						w.offer(workspace.Name, load*capacity(fleetEngines, mix)*mix[workspace.Name], w.anyDaemon)
					}
					w.run()
					goodput += w.goodput()
					hits += w.hitShare()
				}
				b.ReportMetric(goodput/float64(b.N), "goodput")
				b.ReportMetric(hits/float64(b.N), "cache-hit")
			})
		}
	}
}

// worstShare returns the least of the workspaces' work on time over its share: the
// exact weighted max-min share, by the naive division, of all work on time.
func (w *simulation) worstShare() float64 {
	var sum float64
	claims := map[models.Workspace]naive.Claim{}
	for workspace, t := range w.tallies {
		sum += t.onTimeTokens
		claims[workspace] = naive.Claim{Weight: w.config.Workspaces[workspace].Weight, Demand: t.offeredTokens}
	}
	if sum == 0 {
		return 0
	}
	worst := math.Inf(1)
	for workspace, share := range naive.Shares(sum, claims) {
		worst = min(worst, w.tallies[workspace].onTimeTokens/share)
	}
	return worst
}

// BenchmarkFairness has one workspace offer ten times its share of the
// fleet's work, the others as given.
func BenchmarkFairness(b *testing.B) {
	const greedy = models.Workspace("w-3")
	picks := map[string]func(*simulation, models.Workspace) func() *simDaemon{
		"spread": func(w *simulation, _ models.Workspace) func() *simDaemon { return w.anyDaemon },
		"greedy-at-one-daemon": func(w *simulation, workspace models.Workspace) func() *simDaemon {
			if workspace == greedy {
				return func() *simDaemon { return w.daemons[0] }
			}
			return w.anyDaemon
		},
	}
	for _, others := range []float64{0.8, 1.0} {
		for _, pick := range slices.Sorted(maps.Keys(picks)) {
			for _, v := range []variant{variants[0], variants[2]} {
				name := "others=" + strconv.FormatFloat(others, 'f', 1, 64) + "/" + pick + "/" + v.name
				b.Run(name, func(b *testing.B) {
					var worst, without float64
					for n := range b.N {
						w := newSimulation(uint64(n), fleetEngines, fleetDaemons, eightWorkspaces())
						v.setUp(w)
						mix := requestShares(eightWorkspaces())
						rate := capacity(fleetEngines, mix)
						for _, workspace := range eightWorkspaces() {
							times := others
							if workspace.Name == greedy {
								times = 10
							}
							w.offer(workspace.Name, times*rate*mix[workspace.Name], picks[pick](w, workspace.Name))
						}
						w.run()
						worst += w.worstShare()
						without += w.goodputExcept(greedy)
					}
					b.ReportMetric(worst/float64(b.N), "worst-share")
					b.ReportMetric(without/float64(b.N), "others-goodput")
				})
			}
		}
	}
}

// requestShares returns each workspace's share of the requests if each has its
// share of the tokens by weight.
func requestShares(workspaces []models.WorkspaceSettings) map[models.Workspace]float64 {
	requests := map[models.Workspace]float64{}
	var sum float64
	for _, workspace := range workspaces {
		s := shapeOf(workspace.Name)
		tokens := float64(s.shared+s.own) + float64(s.shortest+s.longest)/2
		requests[workspace.Name] = workspace.Weight / tokens
		sum += requests[workspace.Name]
	}
	for workspace := range requests {
		requests[workspace] /= sum
	}
	return requests
}

// goodputOf returns the goodput of all workspaces but one.
func (w *simulation) goodputExcept(left models.Workspace) float64 {
	var offered, onTime int
	for workspace, t := range w.tallies {
		if workspace != left {
			offered += t.offered
			onTime += t.onTime
		}
	}
	return float64(onTime) / float64(max(offered, 1))
}

// BenchmarkPlacement is one whole placement and its release.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{16, 100, 600} {
		for _, v := range variants[:2] {
			b.Run("engines="+strconv.Itoa(engines)+"/"+v.name, func(b *testing.B) {
				w := newSimulation(1, engines, 1, eightWorkspaces())
				v.setUp(w)
				w.now = w.now.Add(pollEvery)
				d := w.daemons[0]
				for range 500 {
					w.arrive("w-0", d) // fills the engines and what is known of their caches
				}
				for _, e := range w.engineList {
					e.measure()
				}
				d.poll()
				exchange := w.exchange("w-0", w.prompt("w-0"))
				b.ReportAllocs()
				for b.Loop() {
					fresh := *exchange // its prompt is yet to be hashed
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
