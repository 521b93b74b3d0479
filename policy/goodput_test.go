package policy_test

import (
	"strconv"
	"testing"

	"quincewinch/models"
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

// shares returns each workspace's share of the requests, by its weight.
func shares(workspaces []models.WorkspaceSettings) map[models.Workspace]float64 {
	var sum float64
	for _, workspace := range workspaces {
		sum += workspace.Weight
	}
	shares := map[models.Workspace]float64{}
	for _, workspace := range workspaces {
		shares[workspace.Name] = workspace.Weight / sum
	}
	return shares
}

func eight() []models.WorkspaceSettings {
	var workspaces []models.WorkspaceSettings
	for i, weight := range []float64{4, 4, 1, 1, 2, 1, 0.5, 0.5} {
		name := models.Workspace("w-" + strconv.Itoa(i))
		workspaces = append(workspaces, models.WorkspaceSettings{Name: name, Weight: weight})
	}
	return workspaces
}

type variant struct {
	name  string
	equip func(*world)
}

var variants = []variant{
	{"naive", (*world).naive},
	{"placed", (*world).placed},
	{"queued", func(w *world) {
		w.placed()
		w.queued()
	}},
}

// goodput returns the share of the requests offered that was answered on time
// and in full.
func (w *world) goodput() float64 {
	var offered, onTime int
	for _, t := range w.tallies {
		offered += t.offered
		onTime += t.onTime
	}
	return float64(onTime) / float64(max(offered, 1))
}

func (w *world) hitShare() float64 {
	return float64(w.cached) / float64(max(w.prompt, 1))
}

func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.7, 1.0, 1.5} {
		for _, v := range variants {
			b.Run("load="+strconv.FormatFloat(load, 'f', 1, 64)+"/"+v.name, func(b *testing.B) {
				for n := range b.N {
					w := newWorld(uint64(n), fleetEngines, fleetDaemons, eight())
					v.equip(w)
					mix := shares(eight())
					for _, workspace := range eight() {
						w.offer(workspace.Name, load*capacity(fleetEngines, mix)*mix[workspace.Name], w.anyDaemon)
					}
					w.run()
					b.ReportMetric(w.goodput(), "goodput")
					b.ReportMetric(w.hitShare(), "cache-hit")
				}
			})
		}
	}
}
