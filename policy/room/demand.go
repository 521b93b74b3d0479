package room

import (
	"math"
	"time"

	"quincewinch/models"
)

// demandDecay is the time constant with which demand and service are forgotten.
const demandDecay = 5 * time.Second

// demand keeps how many requests of each route callers have made lately, and how they
// ended, over all daemons.
type demand struct {
	routes map[string]*routeDemand
}

type routeDemand struct {
	rank                  int // 0 is the most urgent
	known                 bool
	offered, served, lost float64
	updatedAt             time.Time
}

func newDemand() demand {
	return demand{routes: map[string]*routeDemand{}}
}

func (d demand) route(name string, now time.Time) *routeDemand {
	r, ok := d.routes[name]
	if !ok {
		r = &routeDemand{updatedAt: now}
		d.routes[name] = r
	}
	r.decay(now)
	return r
}

func (d demand) add(w models.WorkspaceDemand, now time.Time) {
	r := d.route(w.Route, now)
	r.offered += float64(w.Offered)
	r.served += float64(w.Served)
	r.lost += float64(w.Lost)
}

func (r *routeDemand) decay(now time.Time) {
	factor := math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds() / demandDecay.Seconds())
	r.offered *= factor
	r.served *= factor
	r.lost *= factor
	r.updatedAt = now
}

// setRank sets the rank of a route, of which others may have told before.
func (d demand) setRank(name string, rank int, now time.Time) {
	r := d.route(name, now)
	r.rank, r.known = rank, true
}

// share returns the share of the ended requests that were answered, and their number.
func (r *routeDemand) share() (share, ended float64) {
	ended = r.served + r.lost
	if ended < 1 {
		return 1, ended
	}
	return r.served / ended, ended
}

// servedOfAll returns the share of the ended requests of all routes that were answered.
func (d demand) servedOfAll(now time.Time) float64 {
	var served, ended float64
	for name := range d.routes {
		r := d.route(name, now)
		served += r.served
		ended += r.served + r.lost
	}
	if ended < 1 {
		return 1
	}
	return served / ended
}

// neglected reports whether the requests of a route are served too seldom compared with
// all others, or with those of a less urgent route.
func (d demand) neglected(name string, now time.Time) bool {
	own := d.route(name, now)
	share, ended := own.share()
	if ended < minEnded {
		return false
	}
	if share < minServed*d.servedOfAll(now) {
		return true
	}
	return d.any(now, func(other *routeDemand) bool {
		served, _ := other.share()
		return other.rank > own.rank && share < served-maxAhead
	})
}

// aheadOfUrgent reports whether the requests of a route are served more often than
// those of a more urgent one.
func (d demand) aheadOfUrgent(name string, now time.Time) bool {
	own := d.route(name, now)
	share, _ := own.share()
	return d.any(now, func(other *routeDemand) bool {
		served, _ := other.share()
		return other.rank < own.rank && share > served+maxAhead
	})
}

// any reports whether a condition holds for a route of known rank with enough requests.
func (d demand) any(now time.Time, condition func(*routeDemand) bool) bool {
	for name := range d.routes {
		r := d.route(name, now)
		if r.known && r.served+r.lost >= minEnded && condition(r) {
			return true
		}
	}
	return false
}

// excess returns how many requests are offered for each one that is answered.
func (d demand) excess(now time.Time) float64 {
	var offered, served float64
	for name := range d.routes {
		r := d.route(name, now)
		offered += r.offered
		served += r.served
	}
	if offered < minEnded {
		return 1
	}
	return offered / max(served, 1)
}
