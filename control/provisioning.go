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
	// recentNeed is how long a need is remembered before servers are given back.
	recentNeed = 30 * time.Minute
	// firstOrders is how long the work is followed before servers are ordered.
	firstOrders = time.Minute
	// evictionMemory is the span over which evictions are counted.
	evictionMemory = 24 * time.Hour
	// sameEviction joins losses in a zone to one eviction.
	sameEviction = time.Minute
	// arrivalLimit is how long an ordered server may take to be listed.
	arrivalLimit = 10 * time.Minute
	// leavingNotice is how long a server is known to leave before it is idle.
	leavingNotice = 10 * time.Second
)

// ProvisioningPeers are what the ordering of backend servers works with.
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

// Provisioning orders backend servers and gives them back, in proportion to
// the work and within the table's limits, where this daemon holds the lease on
// that. It keeps the table's rows of backend servers in step with the
// platform's list.
type Provisioning struct {
	peers     ProvisioningPeers
	fleet     *Fleet
	listed    map[models.EngineID]models.BackendServer // by the platform, at the last step
	leaving   map[models.EngineID]time.Time            // to be given back, since when
	evictions map[models.Zone][]time.Time
	arrivals  []arrival
	recent    *fleet.WindowMax
	most      float64            // greatest need of late
	pending   models.ServerOrder // whose outcome is open; its ID is empty if none is
	number    int
	recalled  models.Revision          // of the fleet's partition
	owned     map[models.EngineID]bool // listed by the platform at some time
}

// arrival is a server that was ordered and is not listed yet.
type arrival struct {
	zone  models.Zone
	cheap bool
	at    time.Time
}

// NewProvisioning returns the ordering of backend servers for a fleet.
func NewProvisioning(peers ProvisioningPeers, f *Fleet) *Provisioning {
	return &Provisioning{
		peers:     peers,
		fleet:     f,
		listed:    map[models.EngineID]models.BackendServer{},
		leaving:   map[models.EngineID]time.Time{},
		evictions: map[models.Zone][]time.Time{},
		recent:    fleet.NewWindowMax(recentNeed),
		owned:     map[models.EngineID]bool{},
	}
}

// Step follows the platform's list, and orders or gives back what is due.
func (p *Provisioning) Step(ctx context.Context) {
	now := p.peers.Clock.Now()
	if p.peers.Configuration.Config().Through == 0 {
		return
	}
	need := fleet.ServerSnapshot{Work: p.fleet.Outlook()}.Need()
	p.most = p.recent.Observe(now, need)
	authority := p.peers.Leases.Authority(models.LeaseServers)
	if !authority.Valid(now) {
		return
	}
	servers, err := p.peers.Servers.List(ctx)
	if err != nil || p.fleet.rows.refresh(ctx) != nil {
		return
	}
	p.follow(now, servers)
	if p.syncRows(ctx, authority) != nil {
		return
	}
	if p.pending.ID != "" {
		p.send(ctx, now, authority)
		return
	}
	if p.giveBackIdle(ctx, now, authority) || p.recent.ObservedFor(now) < firstOrders {
		return
	}
	p.plan(ctx, now, authority)
}

// follow takes in the platform's list: what came, and what was evicted.
func (p *Provisioning) follow(now time.Time, servers []models.BackendServer) {
	listed := map[models.EngineID]models.BackendServer{}
	for _, server := range servers {
		listed[server.Engine] = server
		p.owned[server.Engine] = true
		if _, known := p.listed[server.Engine]; !known {
			p.arrived(server)
		}
	}
	for id, server := range p.listed {
		_, still := listed[id]
		_, given := p.leaving[id]
		if !still && !given && server.Cheap {
			p.evicted(now, server)
		}
	}
	p.listed = listed
	p.arrivals = slices.DeleteFunc(p.arrivals, func(a arrival) bool { return now.Sub(a.at) > arrivalLimit })
}

func (p *Provisioning) arrived(server models.BackendServer) {
	i := slices.IndexFunc(p.arrivals, func(a arrival) bool { return a.zone == server.Zone && a.cheap == server.Cheap })
	if i >= 0 {
		p.arrivals = slices.Delete(p.arrivals, i, i+1)
	}
}

// evicted notes an eviction; servers of a zone that vanish together count once.
func (p *Provisioning) evicted(now time.Time, server models.BackendServer) {
	p.record(server.Engine, "backend server evicted", "the platform lists it no more and it was not given back")
	times := p.evictions[server.Zone]
	if len(times) == 0 || now.Sub(times[len(times)-1]) > sameEviction {
		p.evictions[server.Zone] = append(times, now)
	}
}

// gone reports whether the platform lists a server no more.
func (p *Provisioning) gone(id models.EngineID) bool {
	_, listed := p.listed[id]
	return p.owned[id] && !listed
}

// evictionRates returns the evictions an hour by zone; one a day is assumed
// beforehand.
func (p *Provisioning) evictionRates(now time.Time, zones []models.Zone) map[models.Zone]float64 {
	rates := map[models.Zone]float64{}
	for _, zone := range zones {
		count := 1
		for _, at := range p.evictions[zone] {
			if now.Sub(at) <= evictionMemory {
				count++
			}
		}
		rates[zone] = float64(count) / evictionMemory.Hours()
	}
	return rates
}

// plan begins the next order, or marks servers as leaving.
func (p *Provisioning) plan(ctx context.Context, now time.Time, authority models.Authority) {
	snapshot := p.snapshot(now)
	for _, order := range fleet.PlanServers(snapshot) {
		if order.Count > 0 {
			p.number++
			p.pending = models.ServerOrder{
				ID:    fmt.Sprintf("servers-%d-%d", authority.Fence, p.number),
				Zone:  order.Zone,
				Cheap: order.Cheap,
				Count: order.Count,
			}
			p.record("", fmt.Sprintf("order of %d backend servers in zone %s begins", order.Count, order.Zone), order.Why)
			p.send(ctx, now, authority)
			return
		}
		if id, ok := p.spared(order.GiveBack); ok {
			if p.markLeaving(ctx, authority, id) == nil {
				p.leaving[id] = now
				p.record(id, "backend server is to be given back", order.Why)
			}
			return
		}
	}
}

// snapshot is what servers are planned from.
func (p *Provisioning) snapshot(now time.Time) fleet.ServerSnapshot {
	config := p.peers.Configuration.Config()
	snapshot := fleet.ServerSnapshot{
		Work:       p.fleet.Outlook(),
		Repeatable: p.fleet.repeatable(),
		Limits:     config.Fleet,
		Prices:     fleet.Prices{Reserved: config.Fleet.Price, Cheap: config.Fleet.CheapPrice},
	}
	snapshot.RecentPeak = p.most
	if p.recent.ObservedFor(now) < recentNeed {
		snapshot.RecentPeak = math.Inf(1) // what was needed before is not known
	}
	zones := map[models.Zone]bool{}
	states := p.peers.States.States()
	known := maps.Clone(p.listed) // some may have no row yet
	maps.Copy(known, config.Backends)
	for _, id := range slices.Sorted(maps.Keys(known)) {
		server := known[id]
		zones[server.Zone] = true
		if server.Leaving || p.gone(id) || !states[id].EvictionAt.IsZero() {
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
	for _, a := range p.arrivals {
		snapshot.Servers = append(snapshot.Servers, fleet.Server{Zone: a.zone, Cheap: a.cheap})
	}
	snapshot.Zones = slices.Sorted(maps.Keys(zones))
	snapshot.Evictions = p.evictionRates(now, snapshot.Zones)
	return snapshot
}

// spared returns the first of some servers that no model would miss. One
// leaves at a time.
func (p *Provisioning) spared(candidates []models.EngineID) (models.EngineID, bool) {
	if len(p.leaving) > 0 {
		return "", false
	}
	for _, id := range candidates {
		if _, listed := p.listed[id]; listed && p.fleet.spared(id) {
			return id, true
		}
	}
	return "", false
}

// giveBackIdle gives back a leaving server whose requests have ended.
func (p *Provisioning) giveBackIdle(ctx context.Context, now time.Time, authority models.Authority) bool {
	states := p.peers.States.States()
	for _, id := range slices.Sorted(maps.Keys(p.leaving)) {
		server, listed := p.listed[id]
		if !listed {
			delete(p.leaving, id)
			continue
		}
		state, present := states[id]
		if now.Sub(p.leaving[id]) < leavingNotice || present && state.Running+state.Queued > 0 {
			continue
		}
		p.number++
		p.pending = models.ServerOrder{
			ID:       fmt.Sprintf("servers-%d-%d", authority.Fence, p.number),
			Zone:     server.Zone,
			Cheap:    server.Cheap,
			GiveBack: []string{string(id)},
		}
		p.send(ctx, now, authority)
		return true
	}
	return false
}

// send gives the pending order to the platform. While its outcome is open it
// stays pending, and goes out again under the same identity.
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
		p.arrivals = append(p.arrivals, arrival{zone: order.Zone, cheap: order.Cheap, at: now})
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
