package routing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxFollowGap is the longest time between two answers of the store in which no
	// version is assumed to have come and gone unseen. It is longer than a call
	// that waits for changes.
	maxFollowGap = 3 * time.Second
	// versionRetention is how long a version is remembered after its last
	// registration is gone.
	versionRetention = 10 * time.Minute
)

// Versions follows which software versions are registered. It implements
// peer.UpstreamSource and relay.VersionHistory.
type Versions struct {
	source peer.UpstreamSource
	clock  peer.Clock

	mu            sync.Mutex
	registered    map[models.EngineID]models.Software
	lastSeen      map[models.Software]time.Time // of versions that were registered before
	followedSince time.Time                     // without a gap
	followedAt    time.Time                     // the last answer; zero if there was none
}

// NewVersions returns a source that passes on the registrations of another one
// and remembers their versions.
func NewVersions(source peer.UpstreamSource, clock peer.Clock) *Versions {
	return &Versions{
		source:     source,
		clock:      clock,
		registered: map[models.EngineID]models.Software{},
		lastSeen:   map[models.Software]time.Time{},
	}
}

// Follow implements peer.UpstreamSource.
func (v *Versions) Follow(ctx context.Context, after models.Revision, wait time.Duration) (models.UpstreamChanges, error) {
	changes, err := v.source.Follow(ctx, after, wait)
	if err == nil {
		v.record(changes)
	}
	return changes, err
}

// record applies changes that were read just now.
func (v *Versions) record(changes models.UpstreamChanges) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.followedAt.IsZero() || now.Sub(v.followedAt) > maxFollowGap {
		v.followedSince = now
	}
	v.followedAt = now
	if changes.All {
		for id := range v.registered {
			v.remove(id, now)
		}
	}
	for _, id := range changes.Removed {
		v.remove(id, now)
	}
	for _, upstream := range changes.Present {
		v.remove(upstream.ID, now)
		v.registered[upstream.ID] = upstream.Software()
	}
	for software, seen := range v.lastSeen {
		if now.Sub(seen) > versionRetention {
			delete(v.lastSeen, software)
		}
	}
}

// remove removes a registration. The caller must hold v.mu.
func (v *Versions) remove(id models.EngineID, now time.Time) {
	if software, ok := v.registered[id]; ok {
		v.lastSeen[software] = now
		delete(v.registered, id)
	}
}

// Seen implements relay.VersionHistory. A period above versionRetention is not
// covered.
func (v *Versions) Seen(service models.ServiceName, period time.Duration) (versions []string, complete bool) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	found := map[string]bool{}
	for _, software := range v.registered {
		if software.Service == service {
			found[software.Version] = true
		}
	}
	for software, seen := range v.lastSeen {
		if software.Service == service && now.Sub(seen) <= period {
			found[software.Version] = true
		}
	}
	complete = period <= versionRetention && now.Sub(v.followedAt) <= maxFollowGap && now.Sub(v.followedSince) >= period
	return slices.Collect(maps.Keys(found)), complete
}
