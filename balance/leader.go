package balance

import (
	"net/netip"

	"quincewinch/models"
	"quincewinch/resume"
)

// The first daemons in touch write the origins of all streams to the store: directOriginWriters
// of those that are all direct peers, else zoneOriginWriters of the leaders of zones.
const (
	directOriginWriters = 2
	zoneOriginWriters   = 1
)

// chooseReceivers returns the daemons that the next load share goes to, and whether this
// daemon leads its zone. It sets the leader that is followed.
func (s *Sharer) chooseReceivers(others map[models.DaemonID]models.Peer) (peers map[models.DaemonID]models.Peer, leads bool) {
	peers = s.zonePeers(others)
	if len(others) <= fullMeshLimit {
		s.follow("", 0)
		return peers, false
	}
	leader := s.zoneLeader(s.self.Zone, others)
	if leader == s.self.From {
		s.follow("", 0)
		return peers, true
	}
	s.follow(leader, len(peers))
	return map[models.DaemonID]models.Peer{leader: others[leader]}, false
}

// follow sets the leader that load shares go to, empty for none, and the number of
// daemons that it leads.
func (s *Sharer) follow(leader models.DaemonID, followers int) {
	s.followers = followers
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = leader
}

// relayMode returns which load shares this daemon passes on.
func (s *Sharer) relayMode(leads bool) relayMode {
	switch {
	case leads:
		return relayAll
	case s.followers > 0:
		return relayDirect
	}
	return relayNone
}

// LeadsZone reports whether this daemon is the leader of its zone. It is true
// for every daemon that has all others as direct peers.
func (s *Sharer) LeadsZone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads
}

// Reader returns the address of the daemon through which this one follows the store:
// the leader of its zone, or for that one the leader of the first zone. other is false
// if it follows the store itself, as all daemons do while there are at most
// fullMeshLimit others.
func (s *Sharer) Reader() (address netip.AddrPort, other bool) {
	others := s.members.Others()
	if len(others) <= fullMeshLimit {
		return netip.AddrPort{}, false
	}
	id := s.zoneLeader(s.self.Zone, others)
	if id == s.self.From {
		return s.balancer.FirstZone()
	}
	return others[id].Address, true
}

// HasFollowers reports whether other daemons follow the store through this one.
func (s *Sharer) HasFollowers() bool {
	if len(s.members.Others()) <= fullMeshLimit {
		return false
	}
	return s.zoneLeader(s.self.Zone, s.members.Others()) == s.self.From
}

// OriginDuty returns the scope of the origins of streams that this daemon keeps in the
// store: those of its zone if it leads one, and its own if all daemons are direct peers. ok
// is false if the leader of its zone does so. The first daemons in touch also write for
// those that do not reach the store or run a version that does not write.
func (s *Sharer) OriginDuty() (scope resume.Scope, ok bool) {
	rank, leads := s.StandbyRank()
	direct := len(s.members.Others()) <= fullMeshLimit
	switch {
	case !leads && !direct:
		return resume.ScopeOwn | resume.ScopeZone, false
	case direct && rank < directOriginWriters, !direct && rank < zoneOriginWriters:
		return resume.ScopeAll, true
	case direct:
		return resume.ScopeOwn, true
	}
	return resume.ScopeOwn | resume.ScopeZone, true
}

// StandbyRank returns how many daemons that are in touch come before this one as
// holders of leases: of the leaders of zones, or of all daemons if each sends its load
// shares to all others. ok is false for a daemon that leads no zone.
func (s *Sharer) StandbyRank() (rank int, ok bool) {
	if !s.LeadsZone() {
		return 0, false
	}
	if len(s.members.Others()) > fullMeshLimit {
		return s.balancer.zonesBefore(), true
	}
	return s.balancer.daemonsBefore(), true
}

// zonePeers returns the daemons that this daemon's load shares are for: all others
// up to fullMeshLimit, otherwise those of its zone.
func (s *Sharer) zonePeers(others map[models.DaemonID]models.Peer) map[models.DaemonID]models.Peer {
	if len(others) <= fullMeshLimit {
		return others
	}
	peers := map[models.DaemonID]models.Peer{}
	for id, other := range others {
		if other.Zone == s.self.Zone {
			peers[id] = other
		}
	}
	return peers
}

// zoneLeader returns the daemon that exchanges sums for a zone: the reachable one
// with the lowest ID. If two daemons consider themselves the leader this is
// harmless, since each sum of a zone replaces the previous one.
func (s *Sharer) zoneLeader(zone models.Zone, others map[models.DaemonID]models.Peer) models.DaemonID {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var first models.DaemonID
	if zone == s.self.Zone {
		first = s.self.From
	}
	for id, other := range others {
		if other.Zone == zone && !s.failures[id].unreachable(now) && (first == "" || id < first) {
			first = id
		}
	}
	return first
}
