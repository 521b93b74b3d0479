package request

import (
	"context"
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
	standings := p.detector.Statuses(engines, now)
	var candidates []placement.Candidate
	for _, engine := range engines {
		switch standings[engine] {
		case outlier.InService:
			candidates = append(candidates, p.candidate(config.Backends[engine], loads[engine]))
		case outlier.ProbeDue:
			s.probes = append(s.probes, engine)
		}
	}
	s.Snapshot = placement.NewSnapshot(p.zone, candidates, p.rates(model), now)
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

func (p *LoadPlacer) candidate(server models.BackendServer, load placement.Load) placement.Candidate {
	return placement.Candidate{
		Server:     server,
		Load:       load,
		Own:        p.book.Inflight(server.Engine),
		Unreported: p.book.ChangeSince(server.Engine, load.MeasuredAt),
		Others:     p.elsewhere[server.Engine],
		Slowness:   p.detector.Slowness(server.Engine),
	}
}

// self names this daemon among the daemons of a tracker.
const self = models.DaemonID("")

// Step implements control.Task: it takes in the other daemons' reports, away
// from the requests' way.
func (p *LoadPlacer) Step(context.Context) {
	reports := p.reports.Reports()
	elsewhere := map[models.EngineID]models.InflightWork{}
	for _, report := range reports {
		for engine, work := range report.Report.Inflight {
			elsewhere[engine] = placement.Sum(elsewhere[engine], work)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.elsewhere = elsewhere
	p.observeReports(reports)
	p.own.Observe(self, p.clock.Now(), maps.Clone(p.sent))
}

// observeReports takes in the rates at which other daemons meet requests. The
// lock is held.
func (p *LoadPlacer) observeReports(reports []models.PeerReport) {
	kept := map[models.DaemonID]bool{}
	for _, report := range reports {
		daemon := report.Report.Daemon
		offered := map[models.Model]demand.Totals{}
		for name, work := range report.Report.Offered {
			offered[name] = demand.Totals{Requests: work.Requests}
		}
		started := map[models.Workspace]demand.Totals{}
		for workspace, work := range report.Report.Work {
			started[workspace] = demand.Totals{Requests: work.Requests + work.Refused, Tokens: work.Requests}
		}
		p.others.Observe(daemon, report.ReceivedAt, offered)
		p.started.Observe(daemon, report.ReceivedAt, started)
		kept[daemon] = true
	}
	p.others.Keep(kept)
	p.started.Keep(kept)
}

// rates returns how many requests a second this daemon and the others send to
// engines for a model: of the others those offered, less the share that they
// refuse. The lock is held.
func (p *LoadPlacer) rates(model models.Model) placement.Rates {
	others := p.others.Sum(model).Requests
	if all := p.started.Total(); all.Requests > 0 {
		others *= all.Tokens / all.Requests
	}
	return placement.Rates{Own: p.own.Rate(self, model).Requests, Others: others}
}
