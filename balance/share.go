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
	// shareLife is how long a share of another daemon counts; it is renewed
	// well within that.
	shareLife = 2 * time.Second
	// shareEvery is the longest time between two shares.
	shareEvery = 500 * time.Millisecond
	// fewDaemons is up to how many other daemons each one tells all others.
	// Beyond that it tells those of its zone, and one daemon a zone exchanges
	// sums with the other zones, so that the messages of one daemon do not grow
	// with all daemons.
	fewDaemons = 12
	// shareStep is the least time between two shares to few others, urgentStep
	// where a long prompt was sent; they are as much longer as there are more
	// others than stepOthers.
	shareStep  = 50 * time.Millisecond
	urgentStep = 20 * time.Millisecond
	stepOthers = 6
	// failuresToDrop is how many shares in a row may fail until the connection
	// is made anew.
	failuresToDrop = 2
	// mostPrompts bounds the prompts that wait to be shared.
	mostPrompts = 512
)

// Members are the other daemons.
type Members interface {
	Others() map[models.DaemonID]models.Peer
}

// Shares carries shares to the other daemons.
type Shares interface {
	Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) error
	Drop(address netip.AddrPort)
}

// Sharer tells the other daemons what this one has under way.
type Sharer struct {
	self     models.LoadShare // what each share says of the sender
	balancer *Balancer
	members  Members
	shares   Shares
	clock    peer.Clock
	logger   *zap.Logger

	// Used by Step alone.
	sequence uint64
	sharedAt time.Time
	told     int  // daemons that the last share went to
	spoke    bool // the last share went with the sum of the zone

	mu       sync.Mutex
	speaks   bool // for its zone, or for itself where the daemons are few
	busy     map[models.DaemonID]bool
	failures map[models.DaemonID]int
}

// NewSharer returns a sharer of a balancer. Self names the sender.
func NewSharer(self models.LoadShare, balancer *Balancer, members Members, shares Shares, clock peer.Clock, logger *zap.Logger) *Sharer {
	return &Sharer{
		self:     self,
		balancer: balancer,
		members:  members,
		shares:   shares,
		clock:    clock,
		logger:   logger,
		sequence: uint64(clock.Now().UnixNano()), // above those of an earlier process
		busy:     map[models.DaemonID]bool{},
		failures: map[models.DaemonID]int{},
	}
}

// Step shares what has changed.
func (s *Sharer) Step(ctx context.Context) {
	now := s.clock.Now()
	if now.Sub(s.sharedAt) < s.pause() {
		return
	}
	others := s.members.Others()
	s.balancer.SetDaemons(len(others) + 1)
	near := s.near(others)
	speaks := len(near) < len(others) && s.speaker(s.self.Zone, others) == s.self.From
	s.mu.Lock()
	s.speaks = speaks || len(near) == len(others)
	s.mu.Unlock()
	share, changed := s.balancer.Share()
	if !changed && !speaks && now.Sub(s.sharedAt) < shareEvery {
		return
	}
	s.sharedAt = now
	s.told = len(near)
	s.spoke = speaks
	if speaks {
		share.Relayed = s.balancer.Sums()
		s.speak(ctx, others)
	}
	s.send(ctx, share, near)
}

// pause returns the least time between the last share and the next one.
func (s *Sharer) pause() time.Duration {
	step := shareStep
	if own, zone := s.balancer.Urgent(); own || zone && s.spoke {
		step = urgentStep
	}
	return step * time.Duration(1+s.told/stepOthers)
}

// Speaks reports whether this daemon speaks for its zone, or for itself as all
// do where the daemons are few.
func (s *Sharer) Speaks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speaks
}

// Reader returns where the daemon listens that reads the store for this zone;
// other is false where that is this one. Where the daemons are few each reads
// for itself.
func (s *Sharer) Reader() (address netip.AddrPort, other bool) {
	others := s.members.Others()
	if len(others) <= fewDaemons {
		return netip.AddrPort{}, false
	}
	id := s.speaker(s.self.Zone, others)
	if id == s.self.From {
		return netip.AddrPort{}, false
	}
	return others[id].Address, true
}

// HasFollowers reports whether other daemons follow the store through this one.
func (s *Sharer) HasFollowers() bool {
	if len(s.members.Others()) <= fewDaemons {
		return false
	}
	_, other := s.Reader()
	return !other
}

// near returns the daemons that are told what this one has under way: all
// where they are few, else those of its zone.
func (s *Sharer) near(others map[models.DaemonID]models.Peer) map[models.DaemonID]models.Peer {
	if len(others) <= fewDaemons {
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

// speaker returns the daemon that exchanges sums for a zone: the first by name
// that answers. Two that take themselves for it do no harm: a zone's sum
// replaces the one before.
func (s *Sharer) speaker(zone models.Zone, others map[models.DaemonID]models.Peer) models.DaemonID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first models.DaemonID
	if zone == s.self.Zone {
		first = s.self.From
	}
	for id, other := range others {
		if other.Zone == zone && s.failures[id] < failuresToDrop && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// speak gives the sum of this zone to the speakers of the others.
func (s *Sharer) speak(ctx context.Context, others map[models.DaemonID]models.Peer) {
	zones := map[models.Zone]bool{}
	for _, other := range others {
		zones[other.Zone] = other.Zone != s.self.Zone
	}
	speakers := map[models.DaemonID]models.Peer{}
	for zone, foreign := range zones {
		if !foreign {
			continue
		}
		id := s.speaker(zone, others)
		if id == "" {
			s.forgive(zone, others)
			continue
		}
		speakers[id] = others[id]
	}
	sum := s.balancer.ZoneShare()
	s.sequence++
	sum.Sequence = s.sequence
	sum.Address = s.self.Address
	s.sendAll(ctx, sum, speakers)
}

// forgive forgets the failures of a zone's daemons, none of which answered: the
// zone may have been cut off.
func (s *Sharer) forgive(zone models.Zone, others map[models.DaemonID]models.Peer) {
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
	share, _ := s.balancer.Share()
	share.Leaving = true
	s.send(ctx, share, s.near(s.members.Others()))
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
		if s.begin(id) {
			go s.sendTo(ctx, id, other.Address, share)
		}
	}
}

// begin reports whether no share to a daemon is under way, and notes that one
// is from now on.
func (s *Sharer) begin(id models.DaemonID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[id] {
		return false
	}
	s.busy[id] = true
	return true
}

func (s *Sharer) sendTo(ctx context.Context, id models.DaemonID, address netip.AddrPort, share models.LoadShare) {
	err := s.shares.Share(ctx, address, share)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, id)
	if err == nil {
		if s.failures[id] >= failuresToDrop {
			s.logger.Info("daemon regained", zap.String("daemon", string(id)))
		}
		delete(s.failures, id)
		return
	}
	s.failures[id]++
	if s.failures[id] == failuresToDrop {
		s.logger.Warn("daemon lost", zap.String("daemon", string(id)), zap.Error(err))
	}
	if s.failures[id]%failuresToDrop == 0 {
		s.shares.Drop(address)
	}
}
