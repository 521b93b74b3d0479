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
	// shortFallback is the same after a call that failed within quickFailure: the
	// reader is there and does not follow the store yet, or its process has just
	// ended.
	shortFallback = time.Second
	quickFailure  = 250 * time.Millisecond
	// fallbackInterval is the shortest time in it from an answer of the store with
	// changes of a partition to the next call. All daemons of a zone call then, and
	// each change would be one more call of each.
	fallbackInterval = time.Second
	// waitDivisor divides the wait of calls to other daemons, and of calls to the
	// store on behalf of others: even if both calls hang, one after the other, a
	// change arrives in time.
	waitDivisor = 2
)

// Daemons asks other daemons for changes.
type Daemons interface {
	// Changes asks another daemon for rows of a partition that are written after
	// a revision. That daemon waits up to wait for them.
	Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error)
}

// Zone identifies the daemon that a daemon follows the store through: the zone's
// reader or, at the reader of a zone, that of the first zone.
type Zone interface {
	// Reader returns that daemon's address; other is false if this daemon follows the
	// store itself.
	Reader() (address netip.AddrPort, other bool)
	// HasFollowers reports whether other daemons follow the store through this one.
	HasFollowers() bool
}

// Source follows the store through another daemon. It follows the store directly if
// there is none to follow it through, or if that one fails.
type Source struct {
	reader  *Reader
	daemons Daemons
	zone    Zone
	clock   peer.Clock
	logger  *zap.Logger

	mu          sync.Mutex
	directUntil time.Time
	changedAt   map[models.Partition]time.Time // the last answer of the store, if it had changes
	followedVia netip.AddrPort                 // the daemon that changes come from, zero if the store
}

// NewSource returns a source that follows the store directly until another
// daemon is the zone's reader.
func NewSource(reader *Reader, daemons Daemons, zone Zone, clock peer.Clock, logger *zap.Logger) *Source {
	return &Source{reader: reader, daemons: daemons, zone: zone, clock: clock, logger: logger, changedAt: map[models.Partition]time.Time{}}
}

// Follow implements peer.ChangeSource.
func (s *Source) Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	if address, ok := s.remoteReader(after); ok {
		serves := s.zone.HasFollowers()
		if !serves {
			s.reader.Close(partition)
		}
		calledAt := s.clock.Now()
		changes, err := s.daemons.Changes(ctx, address, partition, after, wait/waitDivisor)
		if err == nil {
			s.logOrigin(address, "it reads for others", nil)
			if serves {
				s.reader.Record(partition, after, changes)
			}
			return changes, false, nil
		}
		if peer.OutcomeOf(err) == peer.OutcomeRestored {
			after = 0 // only the store has all rows
		} else {
			s.suspendRemote(s.clock.Now().Sub(calledAt))
			s.logOrigin(netip.AddrPort{}, "the daemon that reads for others did not answer", err)
		}
	} else {
		s.logOrigin(netip.AddrPort{}, "no other daemon reads for this one", nil)
	}
	s.awaitTurn(ctx, partition)
	if s.zone.HasFollowers() {
		wait /= waitDivisor
	}
	changes, all, err := s.reader.Follow(ctx, partition, after, wait)
	s.recordTurn(partition, err == nil && !all && len(changes.Rows) > 0)
	return changes, all, err
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

// suspendRemote starts the time in which the store is followed directly, after a call
// to the reader that failed after some time.
func (s *Source) suspendRemote(after time.Duration) {
	fallback := directFallback
	if after < quickFailure {
		fallback = shortFallback
	}
	until := s.clock.Now().Add(fallback)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil = until
}

// recordTurn records whether the store has just answered with changes.
func (s *Source) recordTurn(partition models.Partition, changed bool) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.changedAt, partition)
	if changed {
		s.changedAt[partition] = now
	}
}

// awaitTurn waits until the store may be called for a partition, if that is only done
// because the reader failed.
func (s *Source) awaitTurn(ctx context.Context, partition models.Partition) {
	now := s.clock.Now()
	s.mu.Lock()
	turn := now
	if now.Before(s.directUntil) {
		if next := s.changedAt[partition].Add(fallbackInterval); next.After(now) {
			turn = next
		}
	}
	s.mu.Unlock()
	// Sleep fails only when the process stops, and then the call does as well.
	_ = s.clock.Sleep(ctx, turn.Sub(now))
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
