package balance

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// shareTTL is how long a share of another daemon counts; it is renewed
	// well within that.
	shareTTL = 2 * time.Second
	// maxShareInterval is the longest time between two shares.
	maxShareInterval = 500 * time.Millisecond
	// fullMeshLimit is up to how many other daemons each one tells all others.
	// Beyond that it tells those of its zone, and one daemon a zone exchanges
	// sums with the other zones, so that the messages of one daemon do not grow
	// with all daemons.
	fullMeshLimit = 12
	// minShareInterval is the least time between two shares to few others, urgentStep
	// where a long prompt was sent; they are as much longer as there are more
	// others than stepOthers.
	minShareInterval    = 50 * time.Millisecond
	urgentShareInterval = 20 * time.Millisecond
	peersPerInterval    = 6
	// maxSendFailures is how many shares in a row may fail until the connection
	// is made anew.
	maxSendFailures = 2
	// maxQueuedPrompts bounds the prompts that wait to be shared.
	maxQueuedPrompts = 512
)

// Members are the other daemons.
type Members interface {
	Others() map[models.DaemonID]models.Peer
}

// ShareClient carries shares to the other daemons.
type ShareClient interface {
	Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) error
	Drop(address netip.AddrPort)
}

// Sharer tells the other daemons what this one has under way.
type Sharer struct {
	self     models.LoadShare // what each share says of the sender
	balancer *Balancer
	members  Members
	client   ShareClient
	clock    peer.Clock
	logger   *zap.Logger

	// Used by Step alone.
	sequence    uint64
	sharedAt    time.Time
	lastPeers   int  // daemons that the last share went to
	sentZoneSum bool // the last share went with the sum of the zone

	mu       sync.Mutex
	leads    bool // for its zone, or for itself where the daemons are few
	inFlight map[models.DaemonID]bool
	failures map[models.DaemonID]int
}

// NewSharer returns a sharer of a balancer. Self names the sender.
func NewSharer(self models.LoadShare, balancer *Balancer, members Members, shares ShareClient, clock peer.Clock, logger *zap.Logger) *Sharer {
	return &Sharer{
		self:     self,
		balancer: balancer,
		members:  members,
		client:   shares,
		clock:    clock,
		logger:   logger,
		sequence: uint64(clock.Now().UnixNano()), // above those of an earlier process
		inFlight: map[models.DaemonID]bool{},
		failures: map[models.DaemonID]int{},
	}
}

// Step shares what has changed.
func (s *Sharer) Step(ctx context.Context) {
	now := s.clock.Now()
	if now.Sub(s.sharedAt) < s.minInterval() {
		return
	}
	others := s.members.Others()
	s.balancer.SetDaemons(len(others) + 1)
	near := s.directPeers(others)
	speaks := len(near) < len(others) && s.zoneLeader(s.self.Zone, others) == s.self.From
	s.mu.Lock()
	s.leads = speaks || len(near) == len(others)
	s.mu.Unlock()
	share, changed := s.balancer.NextShare()
	if !changed && !speaks && now.Sub(s.sharedAt) < maxShareInterval {
		return
	}
	s.sharedAt = now
	s.lastPeers = len(near)
	s.sentZoneSum = speaks
	if speaks {
		share.Relayed = s.balancer.RelayedSums()
		s.sendZoneSum(ctx, others)
	}
	s.send(ctx, share, near)
}

// minInterval returns the least time between the last share and the next one.
func (s *Sharer) minInterval() time.Duration {
	step := minShareInterval
	if own, zone := s.balancer.Urgent(); own || zone && s.sentZoneSum {
		step = urgentShareInterval
	}
	return step * time.Duration(1+s.lastPeers/peersPerInterval)
}

// LeadsZone reports whether this daemon speaks for its zone, or for itself as all
// do where the daemons are few.
func (s *Sharer) LeadsZone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leads
}

// Reader returns where the daemon listens that reads the store for this zone;
// other is false where that is this one. Where the daemons are few each reads
// for itself.
func (s *Sharer) Reader() (address netip.AddrPort, other bool) {
	others := s.members.Others()
	if len(others) <= fullMeshLimit {
		return netip.AddrPort{}, false
	}
	id := s.zoneLeader(s.self.Zone, others)
	if id == s.self.From {
		return netip.AddrPort{}, false
	}
	return others[id].Address, true
}

// Shared reports whether other daemons follow the store through this one.
func (s *Sharer) Shared() bool {
	if len(s.members.Others()) <= fullMeshLimit {
		return false
	}
	_, other := s.Reader()
	return !other
}

// directPeers returns the daemons that are told what this one has under way: all
// where they are few, else those of its zone.
func (s *Sharer) directPeers(others map[models.DaemonID]models.Peer) map[models.DaemonID]models.Peer {
	if len(others) <= fullMeshLimit {
		return others
	}
	near := map[models.DaemonID]models.Peer{}
	for id, other := range others {
		if other.Zone == s.self.Zone {
			near[id] = other
		}
	}
	return near
}

// zoneLeader returns the daemon that exchanges sums for a zone: the first by name
// that answers. Two that take themselves for it do no harm: a zone's sum
// replaces the one before.
func (s *Sharer) zoneLeader(zone models.Zone, others map[models.DaemonID]models.Peer) models.DaemonID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first models.DaemonID
	if zone == s.self.Zone {
		first = s.self.From
	}
	for id, other := range others {
		if other.Zone == zone && s.failures[id] < maxSendFailures && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// sendZoneSum gives the sum of this zone to the speakers of the others.
func (s *Sharer) sendZoneSum(ctx context.Context, others map[models.DaemonID]models.Peer) {
	zones := map[models.Zone]bool{}
	for _, other := range others {
		zones[other.Zone] = other.Zone != s.self.Zone
	}
	speakers := map[models.DaemonID]models.Peer{}
	for zone, foreign := range zones {
		if !foreign {
			continue
		}
		id := s.zoneLeader(zone, others)
		if id == "" {
			s.resetFailures(zone, others)
			continue
		}
		speakers[id] = others[id]
	}
	sum := s.balancer.NextZoneSum()
	s.sequence++
	sum.Sequence = s.sequence
	sum.Address = s.self.Address
	s.sendAll(ctx, sum, speakers)
}

// resetFailures forgets the failures of a zone's daemons, none of which answered: the
// zone may have been cut off.
func (s *Sharer) resetFailures(zone models.Zone, others map[models.DaemonID]models.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, other := range others {
		if other.Zone == zone {
			delete(s.failures, id)
		}
	}
}

// Leave tells the others that this daemon is about to stop.
func (s *Sharer) Leave(ctx context.Context) {
	share, _ := s.balancer.NextShare()
	share.Leaving = true
	s.send(ctx, share, s.directPeers(s.members.Others()))
}

func (s *Sharer) send(ctx context.Context, share models.LoadShare, to map[models.DaemonID]models.Peer) {
	s.sequence++
	share.From = s.self.From
	share.Zone = s.self.Zone
	share.Address = s.self.Address
	share.Sequence = s.sequence
	s.sendAll(ctx, share, to)
}

func (s *Sharer) sendAll(ctx context.Context, share models.LoadShare, to map[models.DaemonID]models.Peer) {
	for id, other := range to {
		if s.beginSend(id) {
			go s.sendTo(ctx, id, other.Address, share)
		}
	}
}

// beginSend reports whether no share to a daemon is under way, and notes that one
// is from now on.
func (s *Sharer) beginSend(id models.DaemonID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[id] {
		return false
	}
	s.inFlight[id] = true
	return true
}

func (s *Sharer) sendTo(ctx context.Context, id models.DaemonID, address netip.AddrPort, share models.LoadShare) {
	err := s.client.Share(ctx, address, share)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
	if err == nil {
		if s.failures[id] >= maxSendFailures {
			s.logger.Info("daemon regained", zap.String("daemon", string(id)))
		}
		delete(s.failures, id)
		return
	}
	s.failures[id]++
	if s.failures[id] == maxSendFailures {
		s.logger.Warn("daemon lost", zap.String("daemon", string(id)), zap.Error(err))
	}
	if s.failures[id]%maxSendFailures == 0 {
		s.client.Drop(address)
	}
}
