package room

import (
	"maps"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// shortDecay is the time constant of the share of requests that are refused.
	shortDecay = time.Second
	// beginShort and endShort are that share from which a service counts as short of
	// room, and below which it no longer does.
	beginShort = 0.05
	endShort   = 0.01
)

// Stats are counts of the requests of a route at this daemon since its start.
type Stats struct {
	Route    string
	Refusals map[Reason]int
	Behind   int     // sent behind those that can be in time
	Forecast float64 // requests that were expected in time, of Answered
	InTime   int     // that were, of Answered
	Answered int
	Required float64 // chance of being in time that the last request which waited needed
}

// shortage is whether a service is short of room: the decaying share of its requests
// that are refused.
type shortage struct {
	share     float64
	updatedAt time.Time
	reported  bool
}

func (s *shortage) observe(refused bool, now time.Time) {
	value := 0.0
	if refused {
		value = 1
	}
	weight := 1 - math.Exp(-now.Sub(s.updatedAt).Seconds()/shortDecay.Seconds())
	s.share += max(weight, 0) * (value - s.share)
	s.updatedAt = now
}

// Change reports whether the service is short of room, and whether that has changed
// since the last call.
func (c *Controller) Change(now time.Time) (short, changed bool) {
	share := c.short.share * math.Exp(-max(now.Sub(c.short.updatedAt), 0).Seconds()/shortDecay.Seconds())
	short = share >= beginShort || c.short.reported && share >= endShort
	changed = short != c.short.reported
	c.short.reported = short
	return short, changed
}

// Served returns the share of the requests of a route that were answered lately, at all
// daemons.
func (c *Controller) Served(route string, now time.Time) float64 {
	share, _ := c.demand.route(route, now).share()
	return share
}

// Queued returns the prompt tokens that wait at engines, of all daemons.
func (c *Controller) Queued() int {
	total := 0
	for _, tokens := range c.queued {
		total += max(tokens, 0)
	}
	return total
}

// Stats returns the counts of each route, in order.
func (c *Controller) Stats() []Stats {
	var list []Stats
	for _, route := range slices.Sorted(maps.Keys(c.stats)) {
		s := *c.stats[route]
		s.Refusals = maps.Clone(s.Refusals)
		list = append(list, s)
	}
	return list
}

func (c *Controller) statsOf(route string) *Stats {
	s, ok := c.stats[route]
	if !ok {
		s = &Stats{Route: route, Refusals: map[Reason]int{}, Required: evenChance}
		c.stats[route] = s
	}
	return s
}

// record counts a decision.
func (c *Controller) record(r Request, d Decision, now time.Time) {
	c.short.observe(!d.Send, now)
	s := c.statsOf(r.Route)
	switch {
	case !d.Send:
		s.Refusals[d.Reason]++
	case d.Wait == models.WaitBehind:
		s.Behind++
	}
	if d.Wait == models.WaitQueued {
		s.Required = d.Required
	}
}
