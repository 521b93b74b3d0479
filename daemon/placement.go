package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/control"
	"quincewinch/peer"
	"quincewinch/request"
)

const (
	// queueInterval is how often queues check for expired requests and for free
	// capacity.
	queueInterval = 20 * time.Millisecond
	// limitInterval is how often each daemon's shares of the limits are
	// recomputed.
	limitInterval = 250 * time.Millisecond
)

// newPlacer returns the placer of the filter chain. It starts its task and the
// task that feeds it cache events of the engines.
func (d *Daemon) newPlacer(engines peer.Engines) *request.LoadPlacer {
	reports := d.exchange.gossip
	d.engines.SplitByZone(d.settings.Zone, reports)
	reports.RegisterReportSource(d.engines)
	seed := xxhash.Sum64String(string(d.id))
	placer := request.NewLoadPlacer(d.configuration, d.engines, reports, d.ring, d.clock, d.settings.Zone, seed)
	reports.RegisterReportSource(placer)
	d.system.Spawn(placer, d.settings.Engines.Poll)
	d.system.Spawn(control.NewCacheFeed(engines, d.configuration, d.engines, placer), d.settings.Engines.Poll)
	return placer
}

// newAdmission returns the limits and the queue, which requests pass before the
// placer, and starts their tasks.
func (d *Daemon) newAdmission(placer *request.LoadPlacer) (*request.Limits, *request.Queue) {
	d.work = request.NewWorkCounter()
	reports := d.exchange.gossip
	reports.RegisterReportSource(d.work)
	limits := request.NewLimits(d.id, placer, reports, d.clock, d.work)
	queue := request.NewQueue(d.configuration, placer, reports, d.clock, d.work)
	d.system.Spawn(limits, limitInterval)
	d.system.Spawn(queue, queueInterval)
	return limits, queue
}
