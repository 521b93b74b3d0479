// Package timeline keeps typed events in a ring buffer, stamped by a hybrid
// logical clock so that the events of all daemons merge in causal order.
package timeline

import (
	"slices"
	"sync"

	"quincewinch/models"
	"quincewinch/peer"
)

// Ring is a ring buffer of the latest events of one daemon.
type Ring struct {
	clock  peer.Clock
	daemon models.DaemonID
	zone   models.Zone

	mu       sync.Mutex
	stamp    models.Stamp
	events   []models.Event
	next     int
	onRecord func(models.Event)
}

// NewRing returns an empty ring that holds up to capacity events. If onRecord
// is not nil, it is called with each recorded event.
func NewRing(clock peer.Clock, daemon models.DaemonID, zone models.Zone, capacity int, onRecord func(models.Event)) *Ring {
	return &Ring{
		clock:    clock,
		daemon:   daemon,
		zone:     zone,
		events:   make([]models.Event, 0, capacity),
		onRecord: onRecord,
	}
}

// Record implements peer.Timeline.
func (r *Ring) Record(event models.Event) {
	event = r.add(event)
	if r.onRecord != nil {
		r.onRecord(event)
	}
}

// Stamp advances the logical clock and returns its stamp, for a message to
// another daemon.
func (r *Ring) Stamp() models.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(models.Stamp{})
	return r.stamp
}

// Observe advances the logical clock past the stamp of a message from another
// daemon, so that events recorded later are ordered after it.
func (r *Ring) Observe(stamp models.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(stamp)
}

// Events returns the events that match a filter, oldest first.
func (r *Ring) Events(filter models.EventFilter) []models.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []models.Event
	for _, event := range r.events {
		if filter.Match(event) {
			events = append(events, event)
		}
	}
	return Merge(filter.Limit, events)
}

// Merge returns the events of several daemons in causal order. If limit is not
// 0, it returns only the latest limit events.
func Merge(limit int, lists ...[]models.Event) []models.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b models.Event) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		}
		return 0
	})
	if limit > 0 && len(merged) > limit {
		merged = merged[len(merged)-limit:]
	}
	return merged
}

func (r *Ring) add(event models.Event) models.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(models.Stamp{})
	event.Stamp = r.stamp
	event.At = r.clock.Now()
	event.Daemon = r.daemon
	event.Zone = r.zone
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return event
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
	return event
}

// advance moves the logical clock past its own stamp and past seen. The lock
// must be held.
func (r *Ring) advance(seen models.Stamp) {
	wall := r.clock.Now().UnixNano()
	latest := r.stamp
	if latest.Before(seen) {
		latest = seen
	}
	if wall > latest.Wall {
		r.stamp = models.Stamp{Wall: wall}
		return
	}
	r.stamp = models.Stamp{Wall: latest.Wall, Logical: latest.Logical + 1}
}
