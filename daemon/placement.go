package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/control"
	"quincewinch/peer"
	"quincewinch/request"
)

// queueInterval is how often queues look for late requests and for room.
const queueInterval = 20 * time.Millisecond

// newPlacer returns the placer of the line, and starts the task that feeds it
// with cache events.
func (d *Daemon) newPlacer(engines peer.Engines) *request.LoadPlacer {
	reports := d.exchange.gossip
	d.engines.Share(d.settings.Zone, reports)
	reports.RegisterReportSource(d.engines)
	seed := xxhash.Sum64String(string(d.id))
	placer := request.NewLoadPlacer(d.configuration, d.engines, reports, d.ring, d.clock, d.settings.Zone, seed)
	reports.RegisterReportSource(placer)
	d.system.Spawn(control.NewCacheFeed(engines, d.configuration, d.engines, placer), d.settings.Engines.Poll)
	return placer
}

// newQueue returns the queue before the placer, and starts its task.
func (d *Daemon) newQueue(placer *request.LoadPlacer) *request.Queue {
	d.work = request.NewWork()
	d.exchange.gossip.RegisterReportSource(d.work)
	queue := request.NewQueue(d.configuration, placer, d.exchange.gossip, d.clock, d.work)
	d.system.Spawn(queue, queueInterval)
	return queue
}
