package balance

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/resume"
)

const (
	// shareTTL is how long a load share of another daemon stays valid. Shares
	// are renewed well within that time, see maxShareInterval.
	shareTTL = 2 * time.Second
	// maxShareInterval is the longest time between two load shares.
	maxShareInterval = 500 * time.Millisecond
	// fullMeshLimit is the number of other daemons up to which each daemon sends
	// its load shares to all of them. Above it a daemon sends them only to the
	// leader of its zone. The leader relays them to the others of the zone and
	// exchanges the sum of the zone with the other leaders, so that the messages
	// per daemon grow neither with the number of daemons nor with that of its zone.
	fullMeshLimit = 12
	// minShareInterval is the shortest time between two load shares to fewer
	// than peersPerInterval daemons, urgentShareInterval the same after a long
	// prompt was sent, a stream has begun that callers may resume while several
	// versions serve, or an engine was seen to crash. Each further peersPerInterval
	// daemons add as much again.
	minShareInterval    = 50 * time.Millisecond
	urgentShareInterval = 20 * time.Millisecond
	peersPerInterval    = 6
	// followersPerInterval is the number of daemons of a zone that adds as much
	// again to the time between two load shares to the leader of the zone: it
	// receives those of all.
	followersPerInterval = 12
	// maxSendFailures is the number of consecutive failed sends after which a
	// daemon is considered unreachable and its connection is reopened.
	maxSendFailures = 2
	// unreachableRetry is how long a daemon then counts as unreachable. Other zones
	// send nothing to a daemon while another one leads its zone, and so would not
	// learn that it is back.
	unreachableRetry = 2 * time.Second
	// maxSharedOrigins bounds the origins of streams in one load share.
	maxSharedOrigins = 2000
	// maxQueuedPrompts bounds each queue of cached prompts that are not shared yet.
	maxQueuedPrompts = 512
)

// Members lists the other daemons, live or not.
type Members interface {
	Others() map[models.DaemonID]models.Peer
	// Listed reports whether the registrations have been read since the start, so that
	// Others has all daemons that are registered.
	Listed() bool
}

// ShareClient sends load shares to other daemons.
type ShareClient interface {
	Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) (models.ShareReceipt, error)
	Drop(address netip.AddrPort)
}

// OriginLog is the log of the origins of streams that this daemon knows.
type OriginLog interface {
	// Head returns the position of the last origin.
	Head() uint64
	// Learned reports whether an origin was learned in a scope after a position.
	Learned(position uint64, scope resume.Scope) bool
	// Urgent reports whether the other daemons need an origin soon that was learned
	// in a scope after a position.
	Urgent(position uint64, scope resume.Scope) bool
	// Since returns up to limit origins that were learned in a scope after a
	// position, and the position to continue from.
	Since(position uint64, scope resume.Scope, limit int) (origins []models.StreamOrigin, next uint64)
}

// cursor is how far a daemon has the origins of streams and the evidence that it is
// sent.
type cursor struct {
	instance uint64 // of the daemon's process; 0 before its first receipt
	position uint64 // of origins
	// fullThrough is the position up to which the daemon is sent the origins of all
	// scopes: those before it were sent to an earlier process, or to none.
	fullThrough uint64
	evidence    uint64 // revision that the daemon has confirmed
}

// sendFailures are the consecutive failed sends to a daemon.
type sendFailures struct {
	count int
	last  time.Time
}

// unreachable reports whether the daemon counts as unreachable.
func (f sendFailures) unreachable(now time.Time) bool {
	return f.count >= maxSendFailures && now.Sub(f.last) < unreachableRetry
}

// Sharer sends this daemon's load to the other daemons.
type Sharer struct {
	self     models.LoadShare // sender fields of each load share
	balancer *Balancer
	members  Members
	client   ShareClient
	origins  OriginLog
	evidence EvidenceLog
	clock    peer.Clock
	logger   *zap.Logger

	// Used only by Step.
	sharedAt       time.Time
	originHead     uint64                          // position of the last origin when the last load share was sent
	latestEvidence uint64                          // revision of the evidence when the last load share was sent
	ownEvidence    uint64                          // the same of the evidence that this daemon observed
	ownEvidenceAt  time.Time                       // when ownEvidence was first sent
	lastPeers      map[models.DaemonID]models.Peer // that the last load share was sent to
	followers      int                             // daemons of the zone with the same leader as this one; 0 at a leader
	sentZoneSum    bool                            // the sum of the zone was sent with the last load share

	mu       sync.Mutex
	sequence uint64          // of the last share
	leads    bool            // zone leader, or all other daemons are direct peers
	leader   models.DaemonID // of the zone, if load shares go to it only; empty otherwise
	inFlight map[models.DaemonID]bool
	failures map[models.DaemonID]sendFailures
	cursors  map[models.DaemonID]cursor
}

// NewSharer returns a sharer for the load of a balancer. Self identifies the
// sender.
func NewSharer(self models.LoadShare, balancer *Balancer, members Members, client ShareClient, origins OriginLog, evidence EvidenceLog, clock peer.Clock, logger *zap.Logger) *Sharer {
	return &Sharer{
		self:     self,
		balancer: balancer,
		members:  members,
		client:   client,
		origins:  origins,
		evidence: evidence,
		clock:    clock,
		logger:   logger,
		sequence: uint64(clock.Now().UnixNano()), // above those of earlier processes
		inFlight: map[models.DaemonID]bool{},
		failures: map[models.DaemonID]sendFailures{},
		cursors:  map[models.DaemonID]cursor{},
	}
}

// Step sends a load share if it is not too early after the last one and the load
// or the evidence has changed, a stream has begun, a daemon lacks urgent evidence or
// maxShareInterval has passed. A zone leader sends one even if nothing has changed,
// and exchanges zone sums at the same time.
func (s *Sharer) Step(ctx context.Context) {
	now := s.clock.Now()
	latest, own := s.evidence.Revision()
	if s.sentZoneSum {
		own = latest // others of its zone get it from their leader only
	}
	urgent := s.evidenceUrgent(own, now)
	if s.tooEarly(now.Sub(s.sharedAt), urgent) {
		return
	}
	if !urgent && !s.sentZoneSum && now.Sub(s.sharedAt) < maxShareInterval && !s.hasNews(latest) {
		return
	}
	others := s.members.Others()
	s.balancer.SetDaemons(len(others)+1, s.members.Listed())
	peers, leads := s.chooseReceivers(others)
	if s.followers > 0 && s.sending(peers) {
		return // what the next load share says once would be lost
	}
	s.balancer.setRelaying(s.relayMode(leads))
	s.mu.Lock()
	s.leads = leads || len(others) <= fullMeshLimit
	s.mu.Unlock()
	share := s.balancer.NextShare()
	head := s.origins.Head()
	s.sharedAt = now
	s.originHead = head
	s.latestEvidence = latest
	if own != s.ownEvidence {
		s.ownEvidence = own
		s.ownEvidenceAt = now
	}
	s.lastPeers = peers
	s.sentZoneSum = leads
	evidence := evidenceSnapshot{log: s.evidence, revision: latest}
	if len(others) > fullMeshLimit {
		share.Relayed = s.balancer.RelayedShares()
	}
	if leads {
		share.Relayed = append(share.Relayed, s.balancer.RelayedSums()...)
		s.sendZoneSum(ctx, &evidence, others)
	}
	s.send(ctx, share, &evidence, peers)
}

// sending reports whether a load share is on its way to one of some daemons.
func (s *Sharer) sending(peers map[models.DaemonID]models.Peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range peers {
		if s.inFlight[id] {
			return true
		}
	}
	return false
}

// hasNews reports whether the load, the known origins of streams or the evidence, now
// at a revision, have changed since the last load share.
func (s *Sharer) hasNews(evidence uint64) bool {
	return evidence != s.latestEvidence || s.balancer.Changed() || s.origins.Learned(s.originHead, s.originScope())
}

// tooEarly reports whether the next load share must wait, some time after the last
// one.
func (s *Sharer) tooEarly(sinceLast time.Duration, evidenceUrgent bool) bool {
	if sinceLast >= s.interval(minShareInterval) {
		return false
	}
	return sinceLast < s.interval(urgentShareInterval) || !evidenceUrgent && !s.urgent()
}

// interval returns the time between two load shares to the daemons that the last one
// was sent to, given that to fewer than peersPerInterval.
func (s *Sharer) interval(toFew time.Duration) time.Duration {
	return toFew * time.Duration(1+len(s.lastPeers)/peersPerInterval+s.followers/followersPerInterval)
}

// urgent reports whether the other daemons need the load or the origins of streams
// soon.
func (s *Sharer) urgent() bool {
	own, zone := s.balancer.Urgent()
	return own || zone && s.sentZoneSum || s.origins.Urgent(s.originHead, s.originScope())
}

// originScope returns the scope of the origins that this daemon sends to others.
func (s *Sharer) originScope() resume.Scope {
	if s.sentZoneSum {
		return resume.ScopeAll
	}
	return resume.ScopeOwn
}

// sendZoneSum sends the sum of this zone to the leaders of the other zones.
func (s *Sharer) sendZoneSum(ctx context.Context, evidence *evidenceSnapshot, others map[models.DaemonID]models.Peer) {
	zones := map[models.Zone]bool{}
	for _, other := range others {
		zones[other.Zone] = other.Zone != s.self.Zone
	}
	leaders := map[models.DaemonID]models.Peer{}
	for zone, remote := range zones {
		if !remote {
			continue
		}
		id := s.zoneLeader(zone, others)
		if id == "" {
			s.resetFailures(zone, others)
			continue
		}
		leaders[id] = others[id]
	}
	sum := s.balancer.NextZoneSum()
	sum.Sequence = s.nextSequence()
	sum.Address = s.self.Address
	s.sendAll(ctx, sum, evidence, leaders, resume.ScopeOwn|resume.ScopeZone)
}

// resetFailures clears the failures of a zone's daemons once all of them are
// considered unreachable, so that they are tried again: the zone may have been
// partitioned.
func (s *Sharer) resetFailures(zone models.Zone, others map[models.DaemonID]models.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, other := range others {
		if other.Zone == zone {
			delete(s.failures, id)
		}
	}
}

// Leave notifies the daemons that its load shares are for that this daemon is about to stop.
func (s *Sharer) Leave(ctx context.Context) {
	share := s.balancer.NextShare()
	share.Leaving = true
	latest, _ := s.evidence.Revision()
	s.send(ctx, share, &evidenceSnapshot{log: s.evidence, revision: latest}, s.zonePeers(s.members.Others()))
}

func (s *Sharer) send(ctx context.Context, share models.LoadShare, evidence *evidenceSnapshot, to map[models.DaemonID]models.Peer) {
	share.From = s.self.From
	share.Zone = s.self.Zone
	share.Address = s.self.Address
	share.Sequence = s.nextSequence()
	// The leader of a zone passes on what the other zones and its followers know.
	scope := resume.ScopeOwn
	if s.LeadsZone() && len(s.members.Others()) > fullMeshLimit {
		scope = resume.ScopeAll
	}
	s.sendAll(ctx, share, evidence, to, scope)
}

func (s *Sharer) nextSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.sequence
}

// sendAll sends a load share, to each daemon with the evidence if it has not
// confirmed it.
func (s *Sharer) sendAll(ctx context.Context, share models.LoadShare, evidence *evidenceSnapshot, to map[models.DaemonID]models.Peer, scope resume.Scope) {
	for id, other := range to {
		confirmed, ok := s.beginSend(id)
		if !ok {
			continue
		}
		share.Evidence = nil
		if confirmed < evidence.revision {
			share.Evidence = evidence.get(confirmed)
			confirmed = evidence.revision
		}
		go s.sendTo(ctx, id, other.Address, share, scope, confirmed)
	}
}

// beginSend marks a send to a daemon as in flight and returns the revision of the
// evidence that the daemon has confirmed. ok is false if one is in flight already.
func (s *Sharer) beginSend(id models.DaemonID) (confirmed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[id] {
		return 0, false
	}
	s.inFlight[id] = true
	return s.cursors[id].evidence, true
}

// sendTo sends a load share to a daemon. Evidence is the revision that the daemon
// then has, unless it is a new process.
func (s *Sharer) sendTo(ctx context.Context, id models.DaemonID, address netip.AddrPort, share models.LoadShare, scope resume.Scope, evidence uint64) {
	var next uint64
	share.Origins, next = s.nextOrigins(id, scope)
	receipt, err := s.client.Share(ctx, address, share)
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
	if err == nil {
		s.advance(id, receipt.Instance, next, evidence)
		if s.failures[id].count >= maxSendFailures {
			s.logger.Info("daemon reachable again", zap.String("daemon", string(id)))
		}
		delete(s.failures, id)
		return
	}
	if id == s.leader {
		s.balancer.Requeue(share)
	}
	failed := sendFailures{count: s.failures[id].count + 1, last: now}
	s.failures[id] = failed
	if failed.count == maxSendFailures {
		s.logger.Warn("daemon unreachable", zap.String("daemon", string(id)), zap.Error(err))
	}
	if failed.count%maxSendFailures == 0 {
		s.client.Drop(address)
	}
}

// nextOrigins returns the origins that a daemon is to be sent next, and the
// position that it has reached with them. A daemon that has just started is sent
// those of all scopes: the daemons that it could have had them from may be gone.
func (s *Sharer) nextOrigins(id models.DaemonID, scope resume.Scope) (origins []models.StreamOrigin, next uint64) {
	s.mu.Lock()
	c, ok := s.cursors[id]
	if !ok {
		c.fullThrough = s.origins.Head()
		s.cursors[id] = c
	}
	if s.leads && c.position < c.fullThrough {
		scope = resume.ScopeAll
	}
	s.mu.Unlock()
	return s.origins.Since(c.position, scope, maxSharedOrigins)
}

// advance records that a daemon has received origins and evidence. The caller must
// hold s.mu.
func (s *Sharer) advance(id models.DaemonID, instance, next, evidence uint64) {
	c := s.cursors[id]
	if c.instance != 0 && c.instance != instance {
		s.cursors[id] = cursor{instance: instance, fullThrough: s.origins.Head()}
		return
	}
	c.instance = instance
	c.position = next
	c.evidence = evidence
	s.cursors[id] = c
}
