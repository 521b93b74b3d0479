package daemon

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/timeline"
)

// eventsTimeout bounds the wait for the other daemons' events.
const eventsTimeout = 2 * time.Second

// overview implements peer.Overview.
type overview struct {
	daemon *Daemon
}

// Events returns the events of all daemons in causal order. An event of this
// daemon names each one that did not answer in time.
func (o overview) Events(ctx context.Context, filter models.EventFilter) ([]models.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	d := o.daemon
	lists := [][]models.Event{d.ring.Events(filter)}
	var mu sync.Mutex
	var silent []models.Event
	var group sync.WaitGroup
	for _, member := range d.exchange.membership.Others() {
		group.Go(func() {
			vm := models.VM{Daemon: string(member.ID), Zone: member.Zone, Address: member.Address}
			events, err := d.exchange.client.Events(ctx, vm, filter)
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, events)
			if err != nil {
				silent = append(silent, d.silence(member.ID))
			}
		})
	}
	group.Wait()
	return append(timeline.Merge(filter.Limit, lists...), silent...), nil
}

// silence is an event that is shown but not kept.
func (d *Daemon) silence(id models.DaemonID) models.Event {
	return models.Event{
		Stamp:  d.ring.Stamp(),
		At:     d.clock.Now(),
		Daemon: d.id,
		Zone:   d.settings.Zone,
		Kind:   models.EventMembership,
		What:   "events of daemon " + string(id) + " are missing here",
		Why:    "it did not answer within " + eventsTimeout.String(),
	}
}

// States returns the engines' latest states.
func (o overview) States() map[models.EngineID]models.EngineState {
	return o.daemon.engines.States()
}
