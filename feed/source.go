package feed

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
	// directFallback is how long the store is followed directly after another
	// daemon failed to pass on changes: what has replaced that daemon is known
	// by then. It is longer than a call of the store that fails, so that a daemon
	// that could reach neither does not begin with the other daemon again.
	directFallback = 5 * time.Second
	// waitDivisor is the part of the longest wait that a call takes which other
	// daemons depend on, or which depends on another daemon: where both fall
	// silent one after the other, a change is still known in time.
	waitDivisor = 2
)

// Daemons passes changes on between daemons.
type Daemons interface {
	// Changes asks another daemon for rows of a partition that are written after
	// a revision, and waits up to wait for them.
	Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error)
}

// Zone tells which daemon of this zone follows the store.
type Zone interface {
	// Reader returns where it listens; other is false where it is this one.
	Reader() (address netip.AddrPort, other bool)
	// HasFollowers reports whether other daemons follow the store through this one.
	HasFollowers() bool
}

// Source follows the store through the daemon that reads it for the zone, and
// directly where this one is that daemon or the other one fails.
type Source struct {
	reader  *Reader
	daemons Daemons
	zone    Zone
	clock   peer.Clock
	logger  *zap.Logger

	mu          sync.Mutex
	directUntil time.Time
	followedVia netip.AddrPort // the daemon that changes come from, zero: the store
}

// NewSource returns a source that follows the store directly until the zone has
// another reader.
func NewSource(reader *Reader, daemons Daemons, zone Zone, clock peer.Clock, logger *zap.Logger) *Source {
	return &Source{reader: reader, daemons: daemons, zone: zone, clock: clock, logger: logger}
}

// Follow implements peer.ChangeSource.
func (s *Source) Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	if address, ok := s.remoteReader(after); ok {
		s.reader.Close(partition)
		changes, err := s.daemons.Changes(ctx, address, partition, after, wait/waitDivisor)
		if err == nil {
			s.logOrigin(address, "it reads for the zone", nil)
			return changes, false, nil
		}
		s.suspendRemote()
		s.logOrigin(netip.AddrPort{}, "the daemon that reads for the zone did not answer", err)
	} else {
		s.logOrigin(netip.AddrPort{}, "no other daemon reads for the zone", nil)
	}
	if s.zone.HasFollowers() {
		wait /= waitDivisor
	}
	return s.reader.Follow(ctx, partition, after, wait)
}

// remoteReader returns the daemon to ask. Where nothing is known yet, all rows are
// needed, which the store alone has.
func (s *Source) remoteReader(after models.Revision) (netip.AddrPort, bool) {
	if after == 0 {
		return netip.AddrPort{}, false
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.directUntil) {
		return netip.AddrPort{}, false
	}
	return s.zone.Reader()
}

func (s *Source) suspendRemote() {
	until := s.clock.Now().Add(directFallback)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = until
}

// logOrigin logs where changes come from when that changes.
func (s *Source) logOrigin(through netip.AddrPort, why string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followedVia == through {
		return
	}
	s.followedVia = through
	if through.IsValid() {
		s.logger.Info("store followed through another daemon", zap.String("address", through.String()), zap.String("why", why))
		return
	}
	s.logger.Info("store followed directly", zap.String("why", why), zap.Error(err))
}
