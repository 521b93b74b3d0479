package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/request"
)

// queueInterval is how often queues look for late requests and for room.
const queueInterval = 20 * time.Millisecond

// alone is the reports of a daemon that hears of no other.
type alone struct{}

// Reports implements peer.Reports.
func (alone) Reports() []models.PeerReport {
	return nil
}

// newPlacer returns the placer of the line, and starts the task that feeds it
// with cache events.
func (d *Daemon) newPlacer(engines peer.Engines) *request.LoadPlacer {
	reports := d.reports()
	d.engines.Share(d.settings.Zone, reports)
	seed := xxhash.Sum64String(string(d.id))
	placer := request.NewLoadPlacer(d.configuration, d.engines, reports, d.ring, d.clock, d.settings.Zone, seed)
	d.system.Spawn(control.NewCacheFeed(engines, d.configuration, d.engines, placer), d.settings.Engines.Poll)
	return placer
}

// newQueue returns the queue before the placer, and starts its task.
func (d *Daemon) newQueue(placer *request.LoadPlacer) *request.Queue {
	queue := request.NewQueue(d.configuration, placer, d.reports(), d.clock, request.NewWork())
	d.system.Spawn(queue, queueInterval)
	return queue
}

// reports returns the latest reports of the other daemons.
func (d *Daemon) reports() peer.Reports {
	return alone{}
}
