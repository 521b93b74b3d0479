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

// snapshot returns the snapshot of a model, rebuilt if the configuration, a load
// or an ejection has changed or it has reached snapshotMaxAge. The lock is held.
func (p *LoadPlacer) snapshot(model models.Model, now time.Time) *snapshot {
	config := p.configuration.Config()
	version, loads := p.loads.Loads()
	old, ok := p.snapshots[model]
	current := ok && old.config == config && old.loadsVersion == version &&
		old.ejectionVersion == p.detector.Changes() && now.Sub(old.builtAt) < snapshotMaxAge
	if current {
		return old
	}
	p.dropSnapshots(config)
	s := &snapshot{config: config, loadsVersion: version, ejectionVersion: p.detector.Changes(), builtAt: now}
	engines := usableEngines(config, loads, model)
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

// dropSnapshots drops the snapshots of models that have no route. The lock is
// held.
func (p *LoadPlacer) dropSnapshots(config *models.Config) {
	maps.DeleteFunc(p.snapshots, func(model models.Model, _ *snapshot) bool {
		_, ok := config.Routes[string(model)]
		return !ok
	})
}

// usableEngines returns the sorted IDs of the engines that accept new requests
// for a model.
func usableEngines(config *models.Config, loads map[models.EngineID]placement.Load, model models.Model) []models.EngineID {
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
		Others:     p.otherInflight[server.Engine],
		Slowness:   p.detector.Slowness(server.Engine),
	}
}

// ownKey is the daemon ID under which ownRates keeps this daemon's totals.
const ownKey = models.DaemonID("")

// Step implements control.Task. It processes the reports of the other daemons
// here, so that placing a request doesn't have to.
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
	p.otherInflight = elsewhere
	p.observeReports(reports)
	p.ownRates.Observe(ownKey, p.clock.Now(), maps.Clone(p.ownTotals))
}

// observeReports updates the rates at which requests are offered to other
// daemons. In otherAdmissions, Requests are the offered requests and Tokens
// those that were admitted. The lock is held.
func (p *LoadPlacer) observeReports(reports []models.PeerReport) {
	reporting := map[models.DaemonID]bool{}
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
		p.otherRates.Observe(daemon, report.ReceivedAt, offered)
		p.otherAdmissions.Observe(daemon, report.ReceivedAt, started)
		reporting[daemon] = true
	}
	p.otherRates.Keep(reporting)
	p.otherAdmissions.Keep(reporting)
}

// rates returns how many requests a second this daemon and the other daemons
// send to engines for a model. That of the others is their rate of offered
// requests times the share that they admit. The lock is held.
func (p *LoadPlacer) rates(model models.Model) placement.Rates {
	others := p.otherRates.Sum(model).Requests
	if admissions := p.otherAdmissions.Total(); admissions.Requests > 0 {
		others *= admissions.Tokens / admissions.Requests
	}
	return placement.Rates{Own: p.ownRates.Rate(ownKey, model).Requests, Others: others}
}
