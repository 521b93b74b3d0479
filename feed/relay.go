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
	// directTime is how long the store is followed directly after another
	// daemon failed to pass on changes: what has replaced that daemon is known
	// by then. It is longer than a call of the store that fails, so that a daemon
	// that could reach neither does not begin with the other daemon again.
	directTime = 5 * time.Second
	// waitParts is the part of the longest wait that a call takes which other
	// daemons depend on, or which depends on another daemon: where both fall
	// silent one after the other, a change is still known in time.
	waitParts = 2
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
	// Shared reports whether other daemons follow the store through this one.
	Shared() bool
}

// Relay follows the store through the daemon that reads it for the zone, and
// directly where this one is that daemon or the other one fails.
type Relay struct {
	reader  *Reader
	daemons Daemons
	zone    Zone
	clock   peer.Clock
	logger  *zap.Logger

	mu          sync.Mutex
	directUntil time.Time
	through     netip.AddrPort // the daemon that changes come from, zero: the store
}

// NewRelay returns a relay that follows the store directly until the zone has
// another reader.
func NewRelay(reader *Reader, daemons Daemons, zone Zone, clock peer.Clock, logger *zap.Logger) *Relay {
	return &Relay{reader: reader, daemons: daemons, zone: zone, clock: clock, logger: logger}
}

// Follow implements peer.ChangeSource.
func (r *Relay) Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	if address, ok := r.other(after); ok {
		r.reader.Close(partition)
		changes, err := r.daemons.Changes(ctx, address, partition, after, wait/waitParts)
		if err == nil {
			r.note(address, "it reads for the zone", nil)
			return changes, false, nil
		}
		r.avoid()
		r.note(netip.AddrPort{}, "the daemon that reads for the zone did not answer", err)
	} else {
		r.note(netip.AddrPort{}, "no other daemon reads for the zone", nil)
	}
	if r.zone.Shared() {
		wait /= waitParts
	}
	return r.reader.Follow(ctx, partition, after, wait)
}

// other returns the daemon to ask. Where nothing is known yet, all rows are
// needed, which the store alone has.
func (r *Relay) other(after models.Revision) (netip.AddrPort, bool) {
	if after == 0 {
		return netip.AddrPort{}, false
	}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.directUntil) {
		return netip.AddrPort{}, false
	}
	return r.zone.Reader()
}

func (r *Relay) avoid() {
	until := r.clock.Now().Add(directTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directUntil = until
}

// note logs where changes come from when that changes.
func (r *Relay) note(through netip.AddrPort, why string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.through == through {
		return
	}
	r.through = through
	if through.IsValid() {
		r.logger.Info("store followed through another daemon", zap.String("address", through.String()), zap.String("why", why))
		return
	}
	r.logger.Info("store followed directly", zap.String("why", why), zap.Error(err))
}
