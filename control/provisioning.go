package control

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/fleet"
)

const (
	// needWindow is the time over which the peak need is kept before servers
	// are given back.
	needWindow = 30 * time.Minute
	// minObservation is how long the work is observed before servers are
	// ordered.
	minObservation = time.Minute
	// evictionWindow is the time over which evictions are counted.
	evictionWindow = 24 * time.Hour
	// evictionGroupWindow is the time within which losses in a zone count as
	// one eviction.
	evictionGroupWindow = time.Minute
	// arrivalTimeout is how long an ordered server may take to appear in the
	// platform's list. After that it no longer counts as ordered.
	arrivalTimeout = 10 * time.Minute
	// minLeavingTime is how long a server must be marked as leaving before it
	// may count as idle.
	minLeavingTime = 10 * time.Second
)

// ProvisioningPeers are the dependencies of Provisioning.
type ProvisioningPeers struct {
	Table         peer.Table
	Servers       peer.Servers
	Orders        peer.Orders
	Leases        peer.Leases
	Configuration peer.Configuration
	States        peer.EngineStates
	Clock         peer.Clock
	Timeline      peer.Timeline
}

// Provisioning orders backend servers and gives them back, according to the
// work and within the limits in the table, while this daemon holds the lease
// on ordering them. It also keeps the rows of backend servers in the table
// consistent with the platform's list.
type Provisioning struct {
	peers          ProvisioningPeers
	fleet          *Fleet
	listed         map[models.EngineID]models.BackendServer // by the platform at the last step
	leaving        map[models.EngineID]time.Time            // to be given back, with the time of marking
	evictions      map[models.Zone][]time.Time
	ordered        []orderedServer
	recentPeak     *fleet.WindowMax
	peakNeed       float64            // over needWindow
	pending        models.ServerOrder // order whose outcome is open; empty ID if none
	orderNumber    int
	leavingThrough models.Revision          // revision read by loadLeaving
	everListed     map[models.EngineID]bool // ever listed by the platform
}

// orderedServer is a server that was ordered and is not listed yet.
type orderedServer struct {
	zone  models.Zone
	cheap bool
	at    time.Time
}

// NewProvisioning returns the provisioning of backend servers for a fleet.
func NewProvisioning(peers ProvisioningPeers, f *Fleet) *Provisioning {
	return &Provisioning{
		peers:      peers,
		fleet:      f,
		listed:     map[models.EngineID]models.BackendServer{},
		leaving:    map[models.EngineID]time.Time{},
		evictions:  map[models.Zone][]time.Time{},
		recentPeak: fleet.NewWindowMax(needWindow),
		everListed: map[models.EngineID]bool{},
	}
}

// Step applies the platform's list, and orders or gives back servers as
// planned.
func (p *Provisioning) Step(ctx context.Context) {
	now := p.peers.Clock.Now()
	if p.peers.Configuration.Config().Through == 0 {
		return
	}
	need := fleet.ServerSnapshot{Work: p.fleet.Forecast()}.Need()
	p.peakNeed = p.recentPeak.Observe(now, need)
	authority := p.peers.Leases.Authority(models.LeaseServers)
	if !authority.Valid(now) {
		return
	}
	servers, err := p.peers.Servers.List(ctx)
	if err != nil || p.fleet.rows.refresh(ctx) != nil {
		return
	}
	p.applyList(now, servers)
	if p.syncRows(ctx, authority) != nil {
		return
	}
	if p.pending.ID != "" {
		p.send(ctx, now, authority)
		return
	}
	if p.giveBackIdle(ctx, now, authority) || p.recentPeak.ObservedFor(now) < minObservation {
		return
	}
	p.plan(ctx, now, authority)
}

// applyList applies the platform's list and records the servers that arrived
// and those that were evicted.
func (p *Provisioning) applyList(now time.Time, servers []models.BackendServer) {
	listed := map[models.EngineID]models.BackendServer{}
	for _, server := range servers {
		listed[server.Engine] = server
		p.everListed[server.Engine] = true
		if _, known := p.listed[server.Engine]; !known {
			p.markArrived(server)
		}
	}
	for id, server := range p.listed {
		_, stillListed := listed[id]
		_, leaving := p.leaving[id]
		if !stillListed && !leaving && server.Cheap {
			p.recordEviction(now, server)
		}
	}
	p.listed = listed
	p.ordered = slices.DeleteFunc(p.ordered, func(a orderedServer) bool { return now.Sub(a.at) > arrivalTimeout })
}

func (p *Provisioning) markArrived(server models.BackendServer) {
	i := slices.IndexFunc(p.ordered, func(a orderedServer) bool { return a.zone == server.Zone && a.cheap == server.Cheap })
	if i >= 0 {
		p.ordered = slices.Delete(p.ordered, i, i+1)
	}
}

// recordEviction records an eviction. Servers of a zone that disappear
// together count as one.
func (p *Provisioning) recordEviction(now time.Time, server models.BackendServer) {
	p.record(server.Engine, "backend server evicted", "the platform lists it no more and it was not given back")
	times := p.evictions[server.Zone]
	if len(times) == 0 || now.Sub(times[len(times)-1]) > evictionGroupWindow {
		p.evictions[server.Zone] = append(times, now)
	}
}

// delisted reports whether the platform once listed a server and no longer
// does.
func (p *Provisioning) delisted(id models.EngineID) bool {
	_, listed := p.listed[id]
	return p.everListed[id] && !listed
}

// evictionRates returns the evictions per hour by zone. One a day is added as
// a prior.
func (p *Provisioning) evictionRates(now time.Time, zones []models.Zone) map[models.Zone]float64 {
	rates := map[models.Zone]float64{}
	for _, zone := range zones {
		count := 1
		for _, at := range p.evictions[zone] {
			if now.Sub(at) <= evictionWindow {
				count++
			}
		}
		rates[zone] = float64(count) / evictionWindow.Hours()
	}
	return rates
}

// plan sends the next order, or marks a server as leaving.
func (p *Provisioning) plan(ctx context.Context, now time.Time, authority models.Authority) {
	snapshot := p.snapshot(now)
	for _, order := range fleet.PlanServers(snapshot) {
		if order.Count > 0 {
			p.orderNumber++
			p.pending = models.ServerOrder{
				ID:    fmt.Sprintf("servers-%d-%d", authority.Fence, p.orderNumber),
				Zone:  order.Zone,
				Cheap: order.Cheap,
				Count: order.Count,
			}
			p.record("", fmt.Sprintf("order of %d backend servers in zone %s begins", order.Count, order.Zone), order.Why)
			p.send(ctx, now, authority)
			return
		}
		if id, ok := p.firstDispensable(order.GiveBack); ok {
			if p.markLeaving(ctx, authority, id) == nil {
				p.leaving[id] = now
				p.record(id, "backend server is to be given back", order.Why)
			}
			return
		}
	}
}

// snapshot returns the input for planning servers.
func (p *Provisioning) snapshot(now time.Time) fleet.ServerSnapshot {
	config := p.peers.Configuration.Config()
	snapshot := fleet.ServerSnapshot{
		Work:       p.fleet.Forecast(),
		Repeatable: p.fleet.repeatableShare(),
		Limits:     config.Fleet,
		Prices:     fleet.Prices{Reserved: config.Fleet.Price, Cheap: config.Fleet.CheapPrice},
	}
	snapshot.RecentPeak = p.peakNeed
	if p.recentPeak.ObservedFor(now) < needWindow {
		snapshot.RecentPeak = math.Inf(1) // the earlier need is not known
	}
	zones := map[models.Zone]bool{}
	states := p.peers.States.States()
	known := maps.Clone(p.listed) // some may have no row yet
	maps.Copy(known, config.Backends)
	for _, id := range slices.Sorted(maps.Keys(known)) {
		server := known[id]
		zones[server.Zone] = true
		if server.Leaving || p.delisted(id) || !states[id].EvictionAt.IsZero() {
			continue
		}
		row, _ := p.fleet.rows.get(id)
		snapshot.Servers = append(snapshot.Servers, fleet.Server{
			ID:     id,
			Zone:   server.Zone,
			Cheap:  server.Cheap,
			Broken: row.Step == models.StepBroken,
		})
	}
	for _, a := range p.ordered {
		snapshot.Servers = append(snapshot.Servers, fleet.Server{Zone: a.zone, Cheap: a.cheap})
	}
	snapshot.Zones = slices.Sorted(maps.Keys(zones))
	snapshot.Evictions = p.evictionRates(now, snapshot.Zones)
	return snapshot
}

// firstDispensable returns the first candidate whose models have enough other
// engines. Only one server leaves at a time.
func (p *Provisioning) firstDispensable(candidates []models.EngineID) (models.EngineID, bool) {
	if len(p.leaving) > 0 {
		return "", false
	}
	for _, id := range candidates {
		if _, listed := p.listed[id]; listed && p.fleet.dispensable(id) {
			return id, true
		}
	}
	return "", false
}

// giveBackIdle gives back a leaving server whose requests have ended, and
// reports whether it sent an order.
func (p *Provisioning) giveBackIdle(ctx context.Context, now time.Time, authority models.Authority) bool {
	states := p.peers.States.States()
	for _, id := range slices.Sorted(maps.Keys(p.leaving)) {
		server, listed := p.listed[id]
		if !listed {
			delete(p.leaving, id)
			continue
		}
		state, present := states[id]
		if now.Sub(p.leaving[id]) < minLeavingTime || present && state.Running+state.Queued > 0 {
			continue
		}
		p.orderNumber++
		p.pending = models.ServerOrder{
			ID:       fmt.Sprintf("servers-%d-%d", authority.Fence, p.orderNumber),
			Zone:     server.Zone,
			Cheap:    server.Cheap,
			GiveBack: []string{string(id)},
		}
		p.send(ctx, now, authority)
		return true
	}
	return false
}

// send sends the pending order to the platform. While the outcome is unknown
// the order stays pending and is sent again under the same ID.
func (p *Provisioning) send(ctx context.Context, now time.Time, authority models.Authority) {
	order := p.pending
	order.Fence = authority.Fence
	err := p.peers.Orders.SendServerOrder(ctx, authority, order)
	if err != nil && peer.OutcomeOf(err) == peer.OutcomeUnknown {
		return
	}
	p.pending = models.ServerOrder{}
	if err != nil {
		p.record("", "order of backend servers "+order.ID+" failed ("+string(peer.OutcomeOf(err))+")", err.Error())
		return
	}
	for range order.Count {
		p.ordered = append(p.ordered, orderedServer{zone: order.Zone, cheap: order.Cheap, at: now})
	}
}

func (p *Provisioning) record(engine models.EngineID, what, why string) {
	p.peers.Timeline.Record(models.Event{
		Kind:   models.EventFleet,
		Engine: engine,
		Lease:  models.LeaseServers,
		What:   what,
		Why:    why,
	})
}
