package detour

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxDaemons is the number of other daemons that are asked for one call.
	maxDaemons = 4
	// unusablePause is how long a daemon that cannot make calls is not asked.
	unusablePause = time.Second
	// provenFor is how long a daemon is preferred that has made a call.
	provenFor = 5 * time.Second
)

// Members are the other daemons.
type Members interface {
	// Live returns those that are in contact with this daemon.
	Live() map[models.DaemonID]models.Peer
}

// daemons chooses other daemons to make calls.
type daemons struct {
	members Members
	zone    models.Zone // of this daemon
	clock   peer.Clock

	mu            sync.Mutex
	provenAt      map[models.DaemonID]time.Time
	unusableUntil map[models.DaemonID]time.Time
}

func newDaemons(members Members, zone models.Zone, clock peer.Clock) *daemons {
	return &daemons{members: members, zone: zone, clock: clock, provenAt: map[models.DaemonID]time.Time{}, unusableUntil: map[models.DaemonID]time.Time{}}
}

// candidate is a daemon that may make a call.
type candidate struct {
	id models.DaemonID
	models.Peer
	proven bool
}

// choose returns the daemons to ask, in order: those that have made calls lately, those
// of this zone first; then one more of this zone and those of others, because a zone may
// be cut off as a whole.
func (d *daemons) choose() []candidate {
	list := d.usable()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	neighbour := slices.IndexFunc(list, func(c candidate) bool { return !c.proven && c.Zone == d.zone })
	rank := func(i int) int { // the lowest is asked first
		c := list[i]
		switch {
		case c.proven && c.Zone == d.zone:
			return 0
		case c.proven:
			return 1
		case i == neighbour:
			return 2
		case c.Zone != d.zone:
			return 3
		}
		return 4
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return rank(i) - rank(j) })
	chosen := make([]candidate, 0, maxDaemons)
	for _, i := range order[:min(len(order), maxDaemons)] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

// usable returns the other daemons that may make a call.
func (d *daemons) usable() []candidate {
	now := d.clock.Now()
	others := d.members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.provenAt {
		if _, ok := others[id]; !ok {
			delete(d.provenAt, id)
		}
	}
	for id, until := range d.unusableUntil {
		if !now.Before(until) {
			delete(d.unusableUntil, id)
		}
	}
	list := make([]candidate, 0, len(others))
	for id, other := range others {
		if now.Before(d.unusableUntil[id]) {
			continue
		}
		proven, made := d.provenAt[id]
		list = append(list, candidate{id: id, Peer: other, proven: made && now.Sub(proven) < provenFor})
	}
	return list
}

// proved records that a daemon has made a call.
func (d *daemons) proved(id models.DaemonID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.provenAt[id] = d.clock.Now()
}

// failed records that a daemon cannot make calls at the moment.
func (d *daemons) failed(id models.DaemonID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.provenAt, id)
	d.unusableUntil[id] = d.clock.Now().Add(unusablePause)
}
