package request

import (
	"maps"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/policy/demand"
	"quincewinch/policy/outlier"
	"quincewinch/policy/placement"
)

// snapshot returns the snapshot of a model, built anew where something has
// changed. The lock is held.
func (p *LoadPlacer) snapshot(model models.Model, now time.Time) *snapshot {
	config := p.configuration.Config()
	version, loads := p.loads.Loads()
	old, ok := p.snapshots[model]
	current := ok && old.config == config && old.version == version &&
		old.ejection == p.detector.Changes() && now.Sub(old.builtAt) < rebuildAfter
	if current {
		return old
	}
	p.dropSnapshots(config)
	s := &snapshot{config: config, version: version, ejection: p.detector.Changes(), builtAt: now}
	engines := usable(config, loads, model)
	standings := p.detector.Standings(engines, now)
	elsewhere := p.elsewhere()
	var candidates []placement.Candidate
	for _, engine := range engines {
		switch standings[engine] {
		case outlier.In:
			candidates = append(candidates, p.candidate(config.Backends[engine], loads[engine], elsewhere[engine]))
		case outlier.Probe:
			s.probes = append(s.probes, engine)
		}
	}
	s.Snapshot = placement.NewSnapshot(p.zone, candidates, p.othersRate(model), now)
	p.snapshots[model] = s
	return s
}

// dropSnapshots drops the snapshots of models without a route. The lock is
// held.
func (p *LoadPlacer) dropSnapshots(config *models.Config) {
	maps.DeleteFunc(p.snapshots, func(model models.Model, _ *snapshot) bool {
		_, ok := config.Routes[string(model)]
		return !ok
	})
}

// usable returns the engines that may get new requests for a model, in order.
func usable(config *models.Config, loads map[models.EngineID]placement.Load, model models.Model) []models.EngineID {
	var engines []models.EngineID
	for engine, load := range loads {
		server, ok := config.Backends[engine]
		if ok && placement.Usable(server, &load.State, model) {
			engines = append(engines, engine)
		}
	}
	slices.Sort(engines)
	return engines
}

func (p *LoadPlacer) candidate(server models.BackendServer, load placement.Load, elsewhere models.InflightWork) placement.Candidate {
	return placement.Candidate{
		Server:    server,
		Load:      load,
		Own:       p.book.Open(server.Engine),
		Unseen:    p.book.Since(server.Engine, load.MeasuredAt),
		Elsewhere: elsewhere,
		Slowness:  p.detector.Slowness(server.Engine),
	}
}

// elsewhere returns what the other daemons last said they have under way.
func (p *LoadPlacer) elsewhere() map[models.EngineID]models.InflightWork {
	all := map[models.EngineID]models.InflightWork{}
	for _, report := range p.reports.Reports() {
		for engine, work := range report.Report.Inflight {
			all[engine] = placement.Sum(all[engine], work)
		}
	}
	return all
}

// othersRate returns how many requests a second the other daemons meet for a
// model. The lock is held.
func (p *LoadPlacer) othersRate(model models.Model) float64 {
	kept := map[models.DaemonID]bool{}
	for _, report := range p.reports.Reports() {
		totals := map[models.Model]demand.Totals{}
		for name, work := range report.Report.Offered {
			totals[name] = demand.Totals{Requests: work.Requests, Tokens: work.PromptTokens + work.OutputTokens}
		}
		p.others.Observe(report.Report.Daemon, report.ReceivedAt, totals)
		kept[report.Report.Daemon] = true
	}
	p.others.Keep(kept)
	return p.others.Sum(model).Requests
}
