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
	// fewDaemons is up to how many daemons each change is shared at once. Beyond
	// that shares are the rarer the more daemons there are, so that their number
	// grows with the daemons, not with their square.
	fewDaemons = 8
	// shareStep is the least time between two shares among few daemons.
	shareStep = 50 * time.Millisecond
	// failuresToDrop is how many shares in a row may fail until the connection
	// is made anew.
	failuresToDrop = 2
	// mostPrompts bounds the prompts that wait to be shared.
	mostPrompts = 512
)

// Share returns what is to be told to the others; changed is false where the
// previous share said the same.
func (b *Balancer) Share() (share models.LoadShare, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share.Loads = map[models.EngineID]models.ServerLoad{}
	for id, s := range b.states {
		if s.running > 0 || s.reading > 0 {
			share.Loads[id] = models.ServerLoad{Running: s.running, Reading: s.reading}
		}
	}
	share.Prompts = b.unshared
	b.unshared = nil
	changed = b.changed
	b.changed = false
	return share, changed
}

// ReceiveShare takes in another daemon's share. It replaces the one before.
func (b *Balancer) ReceiveShare(share models.LoadShare) {
	now := b.clock.Now()
	snapshot := b.fleet.Snapshot()
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.shares[share.From]
	if share.Sequence <= before.sequence && now.Sub(before.receivedAt) < shareLife {
		return // overtaken by a later one
	}
	b.shares[share.From] = received{sequence: share.Sequence, receivedAt: now, loads: share.Loads}
	if share.Leaving {
		delete(b.shares, share.From)
	}
	b.sumShares(now)
	if snapshot == nil {
		return
	}
	for _, sent := range share.Prompts {
		if upstream, ok := snapshot.ByID[sent.Server]; ok {
			b.state(upstream).cache.use(sent.Parts, cacheTokens(b.capacity[upstream.Service]), now)
		}
	}
}

// sumShares adds up what the other daemons have under way. The lock is held.
func (b *Balancer) sumShares(now time.Time) {
	clear(b.others)
	for id, r := range b.shares {
		if now.Sub(r.receivedAt) >= shareLife {
			delete(b.shares, id)
			continue
		}
		for server, load := range r.loads {
			sum := b.others[server]
			sum.Running += load.Running
			sum.Reading += load.Reading
			b.others[server] = sum
		}
	}
}

// received is a share of another daemon.
type received struct {
	sequence   uint64
	receivedAt time.Time
	loads      map[models.EngineID]models.ServerLoad
}

// noteSent keeps a prompt to be shared. The lock is held.
func (b *Balancer) noteSent(server models.EngineID, parts []models.PromptPart) {
	b.changed = true
	if len(b.unshared) < mostPrompts {
		b.unshared = append(b.unshared, models.SentPrompt{Server: server, Parts: parts})
	}
}

// Members are the other daemons.
type Members interface {
	Others() map[models.DaemonID]netip.AddrPort
	Live() int
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

	mu       sync.Mutex
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
	others := s.members.Others()
	s.balancer.SetDaemons(s.members.Live())
	if now.Sub(s.sharedAt) < shareStep*time.Duration(1+len(others)/fewDaemons) {
		return
	}
	share, changed := s.balancer.Share()
	if !changed && now.Sub(s.sharedAt) < shareEvery {
		return
	}
	s.sharedAt = now
	s.send(ctx, share, others)
}

// Leave tells the others that this daemon is about to stop.
func (s *Sharer) Leave(ctx context.Context) {
	share, _ := s.balancer.Share()
	share.Leaving = true
	s.send(ctx, share, s.members.Others())
}

func (s *Sharer) send(ctx context.Context, share models.LoadShare, others map[models.DaemonID]netip.AddrPort) {
	s.sequence++
	share.From = s.self.From
	share.Zone = s.self.Zone
	share.Address = s.self.Address
	share.Sequence = s.sequence
	for id, address := range others {
		if s.begin(id) {
			go s.sendTo(ctx, id, address, share)
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
