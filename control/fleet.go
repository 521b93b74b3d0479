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

// FleetPeers are what the fleet's control works with.
type FleetPeers struct {
	Table         peer.Table
	Engines       peer.Engines
	Orders        peer.Orders
	Leases        peer.Leases
	Configuration peer.Configuration
	States        peer.EngineStates
	Reports       peer.Reports
	Own           peer.ReportSource // this daemon's part of the report
	Clock         peer.Clock
	Timeline      peer.Timeline
}

// FleetSettings are the settings of the fleet's control.
type FleetSettings struct {
	Daemon       models.DaemonID
	Zone         models.Zone
	Cost         fleet.ChangeCost
	Repair       fleet.RepairLimits
	CheckTimeout time.Duration // of one check of an engine's answers
	CheckEvery   time.Duration // between checks of an engine that works
	ReportAge    time.Duration // an older report tells nothing
}

// DefaultFleetSettings returns the settings of a daemon.
func DefaultFleetSettings(daemon models.DaemonID, zone models.Zone) FleetSettings {
	return FleetSettings{
		Daemon:       daemon,
		Zone:         zone,
		Cost:         fleet.ChangeCost{Downtime: 6 * time.Second, CacheRebuild: 2 * time.Second},
		Repair:       fleet.DefaultRepairLimits(),
		CheckTimeout: 5 * time.Second,
		CheckEvery:   time.Minute,
		ReportAge:    10 * time.Second,
	}
}

// Fleet keeps the engines of the zones whose lease this daemon holds as they
// ought to be: it writes the desired state of each, compares it with what is
// observed and mends the difference. Every daemon estimates the work offered,
// so that a new holder of a lease knows it.
type Fleet struct {
	peers    FleetPeers
	settings FleetSettings
	rows     *desiredRows
	demand   *demand
	budget   loadBudget
	waits    map[models.Model]bool // loads that were said to wait
	work     sync.WaitGroup        // orders and checks under way

	listedOf *models.Config // whose engines and zones follow
	listed   []models.BackendServer
	zones    []models.Zone

	mu      sync.Mutex
	watched map[models.EngineID]*watchedEngine
	plan    planned
}

// planned is the latest plan, for those who ask why.
type planned struct {
	forecasts map[string]fleet.Forecast
	changes   map[models.EngineID]fleet.RoleChange
	groups    map[models.EngineID]string
	splits    map[string]fleet.Split
}

// NewFleet returns the fleet's control.
func NewFleet(peers FleetPeers, settings FleetSettings) *Fleet {
	return &Fleet{
		peers:    peers,
		settings: settings,
		rows:     newDesiredRows(peers.Table),
		demand:   newDemand(settings),
		waits:    map[models.Model]bool{},
		watched:  map[models.EngineID]*watchedEngine{},
	}
}

// Step observes, plans, and takes each engine in charge one action further.
func (f *Fleet) Step(ctx context.Context) {
	now := f.peers.Clock.Now()
	states := f.peers.States.States()
	f.observe(now, states)
	f.demand.observe(now, f.reports(now))
	authorities := f.authorities(now)
	read := len(authorities) > 0 && f.rows.refresh(ctx) == nil
	view := f.view(now, states)
	f.remember(view, nil)
	if !read {
		return
	}
	f.adopt(ctx, now, states, authorities)
	f.planRoles(ctx, now, view, authorities)
	f.planModels(ctx, now, view, authorities)
	for _, server := range f.servers() {
		if authority, ok := authorities[server.Zone]; ok && view.reached[server.Zone] {
			f.mend(ctx, now, authority, server)
		}
	}
}

// Wait returns when no order and no check is under way.
func (f *Fleet) Wait() {
	f.work.Wait()
}

// servers lists the engines of the configuration in order of name. The list is
// made once for each configuration.
func (f *Fleet) servers() []models.BackendServer {
	config := f.peers.Configuration.Config()
	if config == f.listedOf {
		return f.listed
	}
	f.listedOf = config
	f.listed = make([]models.BackendServer, 0, len(config.Backends))
	zones := map[models.Zone]bool{}
	for _, id := range slices.Sorted(maps.Keys(config.Backends)) {
		f.listed = append(f.listed, config.Backends[id])
		zones[config.Backends[id].Zone] = true
	}
	f.zones = slices.Sorted(maps.Keys(zones))
	return f.listed
}

// reports lists the others' reports that are fresh, and this daemon's own.
func (f *Fleet) reports(now time.Time) []models.PeerReport {
	own := models.DaemonReport{Daemon: f.settings.Daemon, Zone: f.settings.Zone}
	f.peers.Own.Fill(&own)
	reports := []models.PeerReport{{Report: own, ReceivedAt: now}}
	for _, report := range f.peers.Reports.Reports() {
		if report.Report.Daemon != own.Daemon && now.Sub(report.ReceivedAt) <= f.settings.ReportAge {
			reports = append(reports, report)
		}
	}
	return reports
}

// authorities returns the leases on engines that this daemon holds, by zone.
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

// adopt writes a first row for each engine in charge that has none.
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
