package control

import (
	"context"

	"quincewinch/models"
	"quincewinch/table"
)

const (
	// readerFanout is how many table readers of other zones a table reader
	// exchanges with at each step. It also limits the unregistered VMs
	// contacted at each step.
	readerFanout = 3
	// confirmFanout limits the targets of a step: once as many are chosen, no
	// more daemons are added to ask them for confirmation.
	confirmFanout = 16
)

// targets returns the daemons to exchange with at this step: all others if
// there are at most maxMeshMembers, else a subset. VMs that are listed but not
// registered are added.
func (g *Gossip) targets() []target {
	others := g.membership.Others()
	chosen := map[models.DaemonID]bool{}
	if len(others) <= maxMeshMembers {
		for _, member := range others {
			chosen[member.ID] = true
		}
	} else {
		g.chooseSubset(chosen, others)
	}
	var targets []target
	for _, member := range others {
		if chosen[member.ID] {
			targets = append(targets, targetOf(member))
		}
	}
	for i, vm := range g.membership.Unregistered() {
		if i < readerFanout {
			targets = append(targets, target{vm: vm})
		}
	}
	return targets
}

// chooseSubset chooses one daemon at random, the table readers of this zone and
// daemons that have yet to confirm this one as open. A table reader also
// chooses readers of other zones at random, and, when its evidence is old, the
// daemons whose answers can renew it.
func (g *Gossip) chooseSubset(chosen map[models.DaemonID]bool, others []table.Member) {
	chosen[others[g.random.IntN(len(others))].ID] = true
	for _, reader := range g.membership.Readers(g.self.Zone) {
		chosen[reader.ID] = true
	}
	roster := g.configuration.Roster()
	for id := range g.editing.Unconfirmed(roster) {
		if len(chosen) < confirmFanout {
			chosen[id] = true
		}
	}
	if !g.membership.Reader() {
		return
	}
	readers := g.otherReaders(others)
	for range min(readerFanout, len(readers)) {
		chosen[readers[g.random.IntN(len(readers))].ID] = true
	}
	if g.clock.Now().Sub(g.configuration.Evidence().At) > evidenceRefreshAge {
		for id := range g.editing.MembersToAsk(roster) {
			chosen[id] = true
		}
	}
}

// otherReaders returns the table readers of the other zones.
func (g *Gossip) otherReaders(others []table.Member) []table.Member {
	zones := map[models.Zone]bool{g.self.Zone: true}
	var readers []table.Member
	for _, member := range others {
		if !zones[member.Zone] {
			zones[member.Zone] = true
			readers = append(readers, g.membership.Readers(member.Zone)...)
		}
	}
	return readers
}

// Propagator forwards new rows to the other daemons without waiting for the
// next exchange. Beyond maxMeshMembers others, rows go along a tree: to the
// table readers of all zones, and from each reader to its own zone.
type Propagator struct {
	gossip *Gossip
}

// NewPropagator returns a task that forwards rows over the given exchange.
func NewPropagator(gossip *Gossip) *Propagator {
	return &Propagator{gossip: gossip}
}

// Step forwards rows if any arrived since the last step.
func (p *Propagator) Step(ctx context.Context) {
	if p.gossip.configuration.ConsumeUpdated() {
		p.gossip.exchangeAll(ctx, p.targets())
	}
}

func (p *Propagator) targets() []target {
	g := p.gossip
	others := g.membership.Others()
	fullMesh := len(others) <= maxMeshMembers
	reader := g.membership.Reader()
	readers := map[models.DaemonID]bool{}
	for _, member := range append(g.otherReaders(others), g.membership.Readers(g.self.Zone)...) {
		readers[member.ID] = true
	}
	var targets []target
	for _, member := range others {
		if fullMesh || readers[member.ID] || reader && member.Zone == g.self.Zone {
			targets = append(targets, targetOf(member))
		}
	}
	return targets
}
