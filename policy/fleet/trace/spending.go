package trace

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

const (
	dayStep         = 10 * time.Second
	daySteps        = int(24 * time.Hour / dayStep)
	dayZones        = 4
	peakWork        = 12.0
	orderDelay      = 90 * time.Second
	priceReserved   = 1.0
	priceCheap      = 0.35
	repeatableShare = 0.9 // share of work that may be retried
	evictionsPerDay = 3   // of all cheap servers of a zone
	evictionWindow  = 24 * time.Hour
)

// Cells are a deployment's settings in the table's fleet row.
type Cells struct {
	Name   string
	Limits models.FleetLimits
}

// Deployments holds the cells of each deployment, as in the demo.
var Deployments = []Cells{
	{"tamarind", models.FleetLimits{SpendPerHour: 60, MaxPerZone: 6, CostWeight: 3, WorstWeight: 1, CheapShare: 0.6}},
	{"zarqa", models.FleetLimits{SpendPerHour: 80, MaxPerZone: 6, CostWeight: 1, WorstWeight: 3, CheapShare: 0.3}},
}

// Spending is the outcome of a day of ordering backend servers.
type Spending struct {
	Spent           float64 // currency
	Served          float64 // engine-seconds of work served
	Offered         float64 // engine-seconds of work offered
	ServedOnCheap   float64 // engine-seconds served on cheap servers
	LostToEvictions float64 // engine-seconds not served because servers were evicted
	Orders          int
}

// PerServedHour returns the spending per engine-hour of work served.
func (s Spending) PerServedHour() float64 {
	return s.Spent / (s.Served / time.Hour.Seconds())
}

// dayReplay replays a daily wave of work with evictions.
type dayReplay struct {
	limits     models.FleetLimits
	zones      []models.Zone
	servers    map[models.EngineID]*dayServer
	next       int
	estimator  *fleet.Estimator
	recentPeak *fleet.WindowMax
	evicted    map[models.Zone][]time.Duration // by zone, in order
	result     Spending
}

type dayServer struct {
	fleet.Server
	readyAt time.Duration
	// replacesEvicted marks a server ordered in place of evicted ones. Until
	// it is ready, unserved work counts as lost to evictions.
	replacesEvicted bool
}

// Spend replays a day, generated from a seed, with the limits of a deployment.
func Spend(seed uint64, limits models.FleetLimits) Spending {
	d := &dayReplay{
		limits:     limits,
		servers:    map[models.EngineID]*dayServer{},
		estimator:  fleet.NewEstimator(),
		recentPeak: fleet.NewWindowMax(30 * time.Minute),
		evicted:    map[models.Zone][]time.Duration{},
	}
	for zone := range dayZones {
		d.zones = append(d.zones, zoneName(zone))
	}
	random := rand.New(rand.NewPCG(seed, 7))
	evictions := drawEvictions(random, d.zones)
	for step := range daySteps {
		now := time.Duration(step) * dayStep
		work := dayWork(now, random)
		for _, zone := range evictions[step] {
			d.evict(now, zone)
		}
		if step > 0 {
			d.serve(now, work)
		}
		d.plan(now, work)
	}
	return d.result
}

// dayWork returns the work offered at a time of the day, with the minimum at
// midnight and the maximum at noon.
func dayWork(now time.Duration, random *rand.Rand) float64 {
	wave := 0.55 - 0.45*math.Cos(2*math.Pi*now.Hours()/24)
	return peakWork * wave * jitter(random)
}

// drawEvictions returns the zones whose cheap servers are evicted, by step.
func drawEvictions(random *rand.Rand, zones []models.Zone) map[int][]models.Zone {
	evictions := map[int][]models.Zone{}
	for _, zone := range zones {
		for range evictionsPerDay {
			step := 1 + random.IntN(daySteps-1)
			evictions[step] = append(evictions[step], zone)
		}
	}
	return evictions
}

func (d *dayReplay) evict(now time.Duration, zone models.Zone) {
	d.evicted[zone] = append(d.evicted[zone], now)
	for id, server := range d.servers {
		if server.Zone == zone && server.Cheap {
			delete(d.servers, id)
		}
	}
}

// serve records the work of a step, spread evenly over the servers. Work that
// may not be retried runs only on reserved servers.
func (d *dayReplay) serve(now time.Duration, work float64) {
	reserved, cheap := d.ready(now)
	seconds := dayStep.Seconds()
	served := min(work, reserved+cheap)
	onCheap := min(served*cheap/max(reserved+cheap, 1), work*repeatableShare)
	onReserved := min(reserved, served-onCheap)
	d.result.Offered += work * seconds
	d.result.Served += (onCheap + onReserved) * seconds
	d.result.ServedOnCheap += onCheap * seconds
	d.result.LostToEvictions += min(work-onCheap-onReserved, d.pendingReplacements(now)) * seconds
	for _, server := range d.servers {
		price := priceReserved
		if server.Cheap {
			price = priceCheap
		}
		d.result.Spent += price * dayStep.Hours()
	}
}

// ready returns the number of started servers of each kind.
func (d *dayReplay) ready(now time.Duration) (reserved, cheap float64) {
	for _, server := range d.servers {
		switch {
		case server.readyAt > now:
		case server.Cheap:
			cheap++
		default:
			reserved++
		}
	}
	return reserved, cheap
}

// pendingReplacements returns the number of replacements for evicted servers
// that have not started yet.
func (d *dayReplay) pendingReplacements(now time.Duration) float64 {
	pending := 0.0
	for _, server := range d.servers {
		if server.replacesEvicted && server.readyAt > now {
			pending++
		}
	}
	return pending
}

func (d *dayReplay) plan(now time.Duration, work float64) {
	d.estimator.Observe(time.Unix(0, 0).Add(now), fleet.Work{Decode: work})
	snapshot := fleet.ServerSnapshot{
		Zones:      d.zones,
		Work:       d.estimator.Forecast(orderDelay),
		Repeatable: repeatableShare,
		Evictions:  map[models.Zone]float64{},
		Limits:     d.limits,
		Prices:     fleet.Prices{Reserved: priceReserved, Cheap: priceCheap},
	}
	snapshot.RecentPeak = d.recentPeak.Observe(time.Unix(0, 0).Add(now), snapshot.Need())
	for _, zone := range d.zones {
		snapshot.Evictions[zone] = float64(len(d.evicted[zone])) / max(now, evictionWindow).Hours()
	}
	for _, server := range d.servers {
		snapshot.Servers = append(snapshot.Servers, server.Server)
	}
	for _, order := range fleet.PlanServers(snapshot) {
		d.apply(now, order)
	}
}

func (d *dayReplay) apply(now time.Duration, order fleet.ServerOrder) {
	d.result.Orders++
	for _, id := range order.GiveBack {
		delete(d.servers, id)
	}
	readyAt := now + orderDelay
	if now == 0 {
		readyAt = 0
	}
	evictions := d.evicted[order.Zone]
	insteadOf := order.Cheap && len(evictions) > 0 && evictions[len(evictions)-1] == now
	for range order.Count {
		d.next++
		id := models.EngineID("server-" + strconv.Itoa(d.next))
		d.servers[id] = &dayServer{
			Server:          fleet.Server{ID: id, Zone: order.Zone, Cheap: order.Cheap},
			readyAt:         readyAt,
			replacesEvicted: insteadOf,
		}
	}
}
