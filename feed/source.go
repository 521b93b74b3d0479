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
	// directFallback is how long the store is followed directly after the zone's
	// reader failed to pass on changes; its replacement is known by then. It is
	// longer than a failing call to the store, so that a daemon that reaches
	// neither keeps trying the store and does not return to the reader.
	directFallback = 5 * time.Second
	// waitDivisor divides the wait of calls to the zone's reader, and of the
	// reader's own calls to the store: even if both calls hang, one after the
	// other, a change arrives in time.
	waitDivisor = 2
)

// Daemons asks other daemons for changes.
type Daemons interface {
	// Changes asks another daemon for rows of a partition that are written after
	// a revision. That daemon waits up to wait for them.
	Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error)
}

// Zone identifies the zone's reader, the daemon that follows the store for the
// zone.
type Zone interface {
	// Reader returns the reader's address; other is false if the reader is this
	// daemon.
	Reader() (address netip.AddrPort, other bool)
	// HasFollowers reports whether other daemons follow the store through this one.
	HasFollowers() bool
}

// Source follows the store through the zone's reader. It follows the store
// directly if this daemon is the reader or the reader fails.
type Source struct {
	reader  *Reader
	daemons Daemons
	zone    Zone
	clock   peer.Clock
	logger  *zap.Logger

	mu          sync.Mutex
	directUntil time.Time
	followedVia netip.AddrPort // the daemon that changes come from, zero if the store
}

// NewSource returns a source that follows the store directly until another
// daemon is the zone's reader.
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
		if peer.OutcomeOf(err) == peer.OutcomeRestored {
			after = 0 // only the store has all rows
		} else {
			s.suspendRemote()
			s.logOrigin(netip.AddrPort{}, "the daemon that reads for the zone did not answer", err)
		}
	} else {
		s.logOrigin(netip.AddrPort{}, "no other daemon reads for the zone", nil)
	}
	if s.zone.HasFollowers() {
		wait /= waitDivisor
	}
	return s.reader.Follow(ctx, partition, after, wait)
}

// remoteReader returns the reader to ask, false if the store is to be followed
// directly. The first call needs all rows, which only the store has.
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

// suspendRemote starts the time in which the store is followed directly.
func (s *Source) suspendRemote() {
	until := s.clock.Now().Add(directFallback)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = until
}

// logOrigin logs a switch between the store and another daemon as the origin of
// changes.
func (s *Source) logOrigin(via netip.AddrPort, why string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followedVia == via {
		return
	}
	s.followedVia = via
	if via.IsValid() {
		s.logger.Info("following the store through another daemon", zap.String("address", via.String()), zap.String("why", why))
		return
	}
	s.logger.Info("following the store directly", zap.String("why", why), zap.Error(err))
}
