package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/fleet"
)

// FleetPeers are the dependencies of a Fleet.
type FleetPeers struct {
	Table         peer.Table
	Engines       peer.Engines
	Orders        peer.Orders
	Leases        peer.Leases
	Configuration peer.Configuration
	States        peer.EngineStates
	Reports       peer.Reports
	Own           peer.ReportSource // fills in this daemon's own report
	Clock         peer.Clock
	Timeline      peer.Timeline
}

// FleetSettings configure a Fleet.
type FleetSettings struct {
	Daemon        models.DaemonID
	Zone          models.Zone
	Cost          fleet.ChangeCost
	Repair        fleet.RepairLimits
	CheckTimeout  time.Duration // for one check of an engine's answers
	CheckInterval time.Duration // between checks of a steady engine
	MaxReportAge  time.Duration // older reports are ignored
}

// DefaultFleetSettings returns the default settings for a daemon in a zone.
func DefaultFleetSettings(daemon models.DaemonID, zone models.Zone) FleetSettings {
	return FleetSettings{
		Daemon:        daemon,
		Zone:          zone,
		Cost:          fleet.ChangeCost{Downtime: 6 * time.Second, CacheRebuild: 2 * time.Second},
		Repair:        fleet.DefaultRepairLimits(),
		CheckTimeout:  5 * time.Second,
		CheckInterval: time.Minute,
		MaxReportAge:  10 * time.Second,
	}
}

// Fleet controls the engines of the zones whose lease this daemon holds. It
// writes the desired state of each engine, compares it with the observed one
// and reconciles the two. Every daemon estimates the offered work, whether or
// not it holds a lease, so that a new holder has the estimate at once.
type Fleet struct {
	peers        FleetPeers
	settings     FleetSettings
	rows         *desiredRows
	demand       *demand
	budget       loadBudget
	waitRecorded map[models.Model]bool // loads whose wait is on the time line
	tasks        sync.WaitGroup        // orders and checks in flight

	sortedFrom    *models.Config // configuration that sortedServers and zones are from
	sortedServers []models.BackendServer
	zones         []models.Zone

	mu         sync.Mutex
	watched    map[models.EngineID]*watchedEngine
	latestPlan rolePlan
}

// rolePlan is the latest plan, kept for Explain, Forecast and Groups.
type rolePlan struct {
	forecasts map[string]fleet.Forecast
	changes   map[models.EngineID]fleet.RoleChange
	groups    map[models.EngineID]string
	splits    map[string]fleet.Split
}

// NewFleet returns a controller of the fleet.
func NewFleet(peers FleetPeers, settings FleetSettings) *Fleet {
	return &Fleet{
		peers:        peers,
		settings:     settings,
		rows:         newDesiredRows(peers.Table),
		demand:       newDemand(settings),
		waitRecorded: map[models.Model]bool{},
		watched:      map[models.EngineID]*watchedEngine{},
	}
}

// Step observes and plans, and advances each engine whose zone's lease this
// daemon holds by at most one action.
func (f *Fleet) Step(ctx context.Context) {
	now := f.peers.Clock.Now()
	states := f.peers.States.States()
	f.observe(now, states)
	f.demand.observe(now, f.reports(now))
	authorities := f.authorities(now)
	read := len(authorities) > 0 && f.rows.refresh(ctx) == nil
	view := f.newPlanView(now, states)
	f.storePlan(view, nil)
	if !read {
		return
	}
	f.adopt(ctx, now, states, authorities)
	f.planRoles(ctx, now, view, authorities)
	f.planModels(ctx, now, view, authorities)
	for _, server := range f.servers() {
		if authority, ok := authorities[server.Zone]; ok && view.reachable[server.Zone] {
			f.reconcile(ctx, now, authority, server)
		}
	}
}

// Wait blocks until no order and no check is in flight.
func (f *Fleet) Wait() {
	f.tasks.Wait()
}

// servers returns the engines of the configuration, sorted by name. The list
// is rebuilt only when the configuration changes.
func (f *Fleet) servers() []models.BackendServer {
	config := f.peers.Configuration.Config()
	if config == f.sortedFrom {
		return f.sortedServers
	}
	f.sortedFrom = config
	f.sortedServers = make([]models.BackendServer, 0, len(config.Backends))
	zones := map[models.Zone]bool{}
	for _, id := range slices.Sorted(maps.Keys(config.Backends)) {
		f.sortedServers = append(f.sortedServers, config.Backends[id])
		zones[config.Backends[id].Zone] = true
	}
	f.zones = slices.Sorted(maps.Keys(zones))
	return f.sortedServers
}

// reports returns this daemon's own report and the other daemons' reports that
// are not stale.
func (f *Fleet) reports(now time.Time) []models.PeerReport {
	own := models.DaemonReport{Daemon: f.settings.Daemon, Zone: f.settings.Zone}
	f.peers.Own.Fill(&own)
	reports := []models.PeerReport{{Report: own, ReceivedAt: now}}
	for _, report := range f.peers.Reports.Reports() {
		if report.Report.Daemon != own.Daemon && now.Sub(report.ReceivedAt) <= f.settings.MaxReportAge {
			reports = append(reports, report)
		}
	}
	return reports
}

// authorities returns the valid engine leases that this daemon holds, by zone.
func (f *Fleet) authorities(now time.Time) map[models.Zone]models.Authority {
	authorities := map[models.Zone]models.Authority{}
	f.servers()
	for _, zone := range f.zones {
		if authority := f.peers.Leases.Authority(models.EngineLease(zone)); authority.Valid(now) {
			authorities[zone] = authority
		}
	}
	return authorities
}

// adopt writes the first desired state, taken from the observed one, of each
// engine that has none.
func (f *Fleet) adopt(ctx context.Context, now time.Time, states map[models.EngineID]models.EngineState, authorities map[models.Zone]models.Authority) {
	for zone, authority := range authorities {
		var rows []models.DesiredEngine
		for _, server := range f.servers() {
			state, present := states[server.Engine]
			_, known := f.rows.get(server.Engine)
			if server.Zone == zone && present && !known && !state.Changing {
				rows = append(rows, fleet.Adopt(server, state, now))
			}
		}
		if len(rows) > 0 {
			_ = f.rows.write(ctx, authority, rows)
		}
	}
}
