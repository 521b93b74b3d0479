package routing

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// reregistrationGrace is the time, from the recovery of the store, for
	// registrations that expired during the outage to be renewed.
	reregistrationGrace = 2 * time.Second
	// leaveMargin is the part of leaveTimeout that is reserved for requests in
	// flight and for reading the registrations.
	leaveMargin = 300 * time.Millisecond
)

// Fleet follows the registrations of backend servers in the store.
type Fleet struct {
	source       peer.UpstreamSource
	clock        peer.Clock
	logger       *zap.Logger
	wait         time.Duration
	leaveTimeout time.Duration
	current      atomic.Pointer[Snapshot]
	outage       outageTracker

	// Used only by Step.
	through     models.Revision
	known       map[models.EngineID]registration
	departed    map[models.EngineID]departure
	failing     bool      // the last call to the store failed
	answeredAt  time.Time // of the last call before this one that did not
	recoveredAt time.Time // since when the store may have recovered or returned from an older copy; zero if it never did
	foundAt     time.Time // when that was found
}

// registration is a known backend server. One whose registration is missing is
// dropped at dropAt. One that had left is not used until usableAt.
type registration struct {
	upstream models.Upstream
	dropAt   time.Time // zero if it is registered
	removed  bool      // it was removed, rather than missing from an older copy
	usableAt time.Time // zero if it is usable
}

// Snapshot is a read-only snapshot of the fleet.
type Snapshot struct {
	ByID map[models.EngineID]models.Upstream
	// ByService has the servers that accept new requests, sorted by ID.
	ByService map[models.ServiceName][]models.Upstream
}

// NewFleet returns a fleet that has read nothing yet. Each call to the source
// waits up to wait for changes. A backend server whose registration is missing
// gets no more requests after leaveTimeout.
func NewFleet(source peer.UpstreamSource, clock peer.Clock, logger *zap.Logger, wait, leaveTimeout time.Duration) *Fleet {
	return &Fleet{
		source:       source,
		clock:        clock,
		logger:       logger,
		wait:         wait,
		leaveTimeout: leaveTimeout,
		outage:       outageTracker{name: "registrations", logger: logger, clock: clock},
		known:        map[models.EngineID]registration{},
		departed:     map[models.EngineID]departure{},
	}
}

// Snapshot returns the current snapshot, nil before the first read.
func (f *Fleet) Snapshot() *Snapshot {
	return f.current.Load()
}

// Step waits for one batch of changes and applies it.
func (f *Fleet) Step(ctx context.Context) {
	wait := f.nextWait()
	sentAt := f.clock.Now()
	changes, err := f.source.Follow(ctx, f.through, wait)
	now := f.clock.Now()
	if err != nil {
		f.failing = true
		_ = f.clock.Sleep(ctx, f.outage.recordFailure(err))
		return
	}
	f.outage.recordSuccess()
	if changes.All && changes.Through < f.through {
		return // read from a stale replica of the store
	}
	restored := f.through > 0 && changes.Through.Era() > f.through.Era()
	switch {
	case restored && !f.failing && now.Sub(sentAt) >= wait:
		// The call waited in vain: the store may have returned at any time since it
		// was sent.
		f.recoveredAt = sentAt
	case restored, f.failing:
		f.recoveredAt = now
	}
	if restored || f.failing {
		f.foundAt = now
	}
	f.failing = false
	f.apply(changes, restored, now)
	f.answeredAt = now
	f.through = max(f.through, changes.Through)
	f.forgetDepartures(now)
	changed := f.dropExpired(now)
	changed = f.endDelays(now) || changed
	if changed || len(changes.Present) > 0 || len(changes.Removed) > 0 || f.Snapshot() == nil {
		f.publish()
	}
}

// nextWait returns how long the next call may wait. It ends no later than the
// next registration is due to be dropped or used.
func (f *Fleet) nextWait() time.Duration {
	now := f.clock.Now()
	wait := f.outage.limitWait(f.wait)
	for _, r := range f.known {
		for _, due := range []time.Time{r.dropAt, r.usableAt} {
			if !due.IsZero() {
				wait = min(wait, max(due.Sub(now), time.Millisecond))
			}
		}
	}
	return wait
}

// apply updates the known registrations. If the store has returned from an older
// copy, a registration may be one that had been withdrawn.
func (f *Fleet) apply(changes models.UpstreamChanges, restored bool, now time.Time) {
	present := map[models.EngineID]bool{}
	for _, upstream := range changes.Present {
		if changes.All && f.known[upstream.ID].upstream.Started.After(upstream.Started) {
			continue // of before its last start: the registration since is missing
		}
		present[upstream.ID] = true
		var usableAt time.Time
		if changes.All {
			usableAt = f.usableAt(upstream, restored, now)
		}
		f.register(upstream, usableAt)
	}
	for _, id := range changes.Removed {
		f.markMissing(id, true, now)
	}
	if !changes.All {
		return
	}
	for id, r := range f.known {
		if !present[id] {
			// One that an older copy lacks is in no later list either until it registers again.
			f.markMissing(id, !restored && r.dropAt.IsZero(), now)
		}
	}
}

func (f *Fleet) register(upstream models.Upstream, usableAt time.Time) {
	upstream.Draining = upstream.Draining || f.hasDrained(upstream)
	before, ok := f.known[upstream.ID]
	f.known[upstream.ID] = registration{upstream: upstream, usableAt: usableAt}
	if usableAt.IsZero() && !upstream.Draining {
		delete(f.departed, upstream.ID)
	}
	if ok && before.upstream == upstream && before.dropAt.IsZero() {
		return
	}
	f.logger.Info("backend server registered",
		zap.String("engine", string(upstream.ID)),
		zap.String("service", string(upstream.Service)),
		zap.String("version", upstream.Version),
		zap.String("address", upstream.Address.String()),
		zap.String("zone", string(upstream.Zone)),
		zap.String("role", string(upstream.Role)),
		zap.Bool("draining", upstream.Draining),
		zap.Bool("cheap", upstream.Cheap),
	)
}

// markMissing marks a backend server whose registration is missing to be
// dropped. After an outage of the store it gets time to register again, but no
// longer than leaveTimeout less leaveMargin, and none if it was not in use.
func (f *Fleet) markMissing(id models.EngineID, removed bool, now time.Time) {
	r, ok := f.known[id]
	if !ok {
		if removed {
			f.confirmDeparture(id, now)
		}
		return
	}
	r.removed = r.removed || removed
	if !r.dropAt.IsZero() {
		f.known[id] = r
		return
	}
	r.dropAt = now
	if !f.recoveredAt.IsZero() && !r.upstream.Draining && r.usableAt.IsZero() {
		grace := f.recoveredAt.Add(reregistrationGrace).Sub(now)
		r.dropAt = now.Add(max(min(grace, f.leaveTimeout-leaveMargin), 0))
	}
	f.known[id] = r
}

// dropExpired removes the registrations that are due to be dropped, and reports
// whether there were any.
func (f *Fleet) dropExpired(now time.Time) bool {
	dropped := false
	for id, r := range f.known {
		if r.dropAt.IsZero() || now.Before(r.dropAt) {
			continue
		}
		delete(f.known, id)
		f.departed[id] = f.departureOf(r, now)
		dropped = true
		f.logger.Info("backend server removed", zap.String("engine", string(id)), zap.String("why", "its registration is missing"))
	}
	return dropped
}

// endDelays makes the backend servers usable whose delay is over, and reports
// whether there were any.
func (f *Fleet) endDelays(now time.Time) bool {
	ended := false
	for id, r := range f.known {
		if r.usableAt.IsZero() || now.Before(r.usableAt) {
			continue
		}
		r.usableAt = time.Time{}
		f.known[id] = r
		ended = true
	}
	return ended
}

func (f *Fleet) publish() {
	snapshot := &Snapshot{
		ByID:      map[models.EngineID]models.Upstream{},
		ByService: map[models.ServiceName][]models.Upstream{},
	}
	for id, r := range f.known {
		upstream := r.upstream
		upstream.Draining = upstream.Draining || !r.usableAt.IsZero()
		snapshot.ByID[id] = upstream
		if !upstream.Draining {
			snapshot.ByService[upstream.Service] = append(snapshot.ByService[upstream.Service], upstream)
		}
	}
	for _, upstreams := range snapshot.ByService {
		slices.SortFunc(upstreams, func(a, b models.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	f.current.Store(snapshot)
}
