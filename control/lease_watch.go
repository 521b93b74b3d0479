package control

import (
	"context"
	"strconv"
	"time"

	"quincewinch/models"
)

// watchedLease is a lease as last read from the table.
type watchedLease struct {
	state           models.LeaseState
	holderRevision  models.Revision // of the holder row
	renewalRevision models.Revision // of the renewal row
	unchangedSince  time.Time       // when these revisions were first seen
}

// LeaseStatus is what a daemon knows about a lease.
type LeaseStatus struct {
	State        models.LeaseState
	HeldHere     bool          // this daemon holds it with valid authority
	SinceRenewal time.Duration // since the last change to its rows was seen
}

// Statuses returns what this daemon knows about each lease.
func (l *Leases) Statuses() []LeaseStatus {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := make([]LeaseStatus, 0, len(l.watched))
	for name, w := range l.watched {
		h, mine := l.held[name]
		statuses = append(statuses, LeaseStatus{
			State:        w.state,
			HeldHere:     mine && h.authority.Valid(now),
			SinceRenewal: now.Sub(w.unchangedSince),
		})
	}
	return statuses
}

// watch reads the leases, takes over free ones and rebalances those held.
func (l *Leases) watch(ctx context.Context) {
	if !l.read(ctx) {
		return
	}
	candidates := l.candidates()
	for _, name := range l.names() {
		l.evaluate(ctx, name, candidates)
	}
}

// read reads the changed rows if a read is due, and reports whether the leases
// have been read at least once.
func (l *Leases) read(ctx context.Context) bool {
	through, known, due := l.readDue()
	if !due {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	sentAt := l.clock.Now()
	changes, err := l.table.Changes(ctx, models.PartitionLeases, through)
	now := l.clock.Now()
	if err == nil && l.platform != nil {
		l.platform.Observe(sentAt, now, changes.PlatformTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = now
	if err != nil {
		l.reachableSince = time.Time{}
		return known
	}
	if l.reachableSince.IsZero() {
		l.reachableSince = now
	}
	if l.everRead && changes.Through.Era() > l.through.Era() {
		l.forget(now)
	}
	for _, row := range changes.Rows {
		l.applyRow(row, now)
	}
	l.everRead = true
	l.renewalUncertain = false
	l.through = max(l.through, changes.Through)
	return true
}

func (l *Leases) readDue() (through models.Revision, known, due bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.through, l.everRead, l.readAt.IsZero() || now.Sub(l.readAt) >= l.settings.ReadInterval
}

// forget discards what was read and held before the table returned from an older
// copy. The caller holds l.mu.
func (l *Leases) forget(now time.Time) {
	for name, authority := range l.reclaims {
		if !authority.Valid(now) {
			delete(l.reclaims, name)
		}
	}
	for name, h := range l.held {
		if h.authority.Valid(now) {
			l.reclaims[name] = h.authority
		}
		l.recordEvent(h.state, "lost", "the table returned from an older copy")
	}
	clear(l.held)
	clear(l.watched)
}

// applyRow updates the watched lease from a row. The caller holds l.mu.
func (l *Leases) applyRow(row models.Row, now time.Time) {
	name, isHolder, ok := parseLeaseKey(row.Key)
	if !ok {
		return
	}
	w := l.watchedEntry(name, now)
	switch {
	case isHolder && row.Revision > w.holderRevision:
		state, err := decodeHolder(name, row.Value)
		if err != nil {
			return
		}
		w.state = state
		w.holderRevision = row.Revision
		w.unchangedSince = now
		if state.Era == row.Revision.Era() && state.Holder != l.self.Daemon {
			delete(l.reclaims, name)
		}
	case !isHolder && row.Revision > w.renewalRevision:
		w.renewalRevision = row.Revision
		w.unchangedSince = now
	}
}

// watchedEntry returns the entry of a lease and creates it if needed. The caller
// holds l.mu.
func (l *Leases) watchedEntry(name models.LeaseName, now time.Time) *watchedLease {
	w, ok := l.watched[name]
	if !ok {
		w = &watchedLease{state: models.LeaseState{Name: name}, unchangedSince: now}
		l.watched[name] = w
	}
	return w
}

// evaluate rebalances a lease held here, adopts one that the table shows as this
// daemon's, and contends for any other.
func (l *Leases) evaluate(ctx context.Context, name models.LeaseName, candidates []Candidate) {
	now := l.clock.Now()
	l.mu.Lock()
	w := *l.watchedEntry(name, now)
	held, isHeld := l.held[name]
	var h heldLease
	if isHeld {
		h = *held
	}
	dropped := l.droppedRevisions[name]
	leaving := l.leaving
	through := l.through
	l.mu.Unlock()
	switch {
	case leaving:
	case isHeld:
		l.rebalance(ctx, h, candidates)
	case w.state.Holder == l.self.Daemon && !w.state.Released && w.state.Era == through.Era() && w.holderRevision > dropped:
		// A takeover committed but its answer was lost.
		l.addHeld(w.state, w.holderRevision, time.Time{})
	default:
		l.contend(ctx, w, through, candidates)
	}
}

// contend takes over a lease if it is free and the delay for this daemon's rank
// has passed. The lease was read from the table up to the revision through.
func (l *Leases) contend(ctx context.Context, w watchedLease, through models.Revision, candidates []Candidate) {
	reached := l.tableReachableSince()
	if reached.IsZero() {
		return
	}
	free, why := l.freeSince(w, through.Era())
	// After an outage of the table all daemons see all leases as free at the same
	// time, so the delay by rank starts when the table became reachable.
	if free.Before(reached) {
		free = reached
	}
	turn := free.Add(time.Duration(leaseRank(w.state.Name, l.self, candidates)) * l.settings.RankDelay)
	if l.reclaimable(w.state.Name) {
		turn, why = time.Time{}, "held here when the table returned from an older copy"
	}
	if l.clock.Now().Before(turn) {
		return
	}
	started := l.clock.Now()
	state := models.LeaseState{
		Name:     w.state.Name,
		Holder:   l.self.Daemon,
		Fence:    uint64(through) + 1,
		Renewal:  w.state.Renewal + 1,
		Duration: l.settings.Duration,
		Era:      through.Era(),
	}
	revision, err := l.takeOver(ctx, w, through, state)
	if err != nil {
		l.requestRead()
		return
	}
	l.recordEvent(state, "taken over", why)
	if h, kept := l.addHeld(state, revision, l.deadline(started)); !kept {
		l.release(ctx, h, "a planned stop")
	}
}

// reclaimable reports whether this daemon still has the authority under a lease
// that it had when the table returned from an older copy.
func (l *Leases) reclaimable(name models.LeaseName) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reclaims[name].Valid(now)
}

// takeOver writes both rows of a lease if neither has changed since it was read.
func (l *Leases) takeOver(ctx context.Context, w watchedLease, through models.Revision, state models.LeaseState) (models.Revision, error) {
	holder, err := holderWrite(state)
	if err != nil {
		return 0, err
	}
	renewal, err := renewalWrite(state)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	return l.table.Transact(ctx, models.Transaction{
		Basis: through,
		Conditions: []models.Condition{
			{Key: holder.Key, Revision: w.holderRevision},
			{Key: renewal.Key, Revision: w.renewalRevision},
		},
		Writes: []models.Write{holder, renewal},
	})
}

// freeSince returns the time from which a lease may be taken over, and why. What
// the table shows of a lease counts only if it was written in the current era:
// otherwise a later holder may still have authority.
func (l *Leases) freeSince(w watchedLease, era uint64) (time.Time, string) {
	wait := max(w.state.Duration, l.settings.Duration) + l.settings.CandidateMargin
	switch {
	case w.state.Era != era:
		return w.unchangedSince.Add(wait), "nobody had held it for " + wait.String() + " since the table returned from an older copy"
	case w.holderRevision == 0:
		return w.unchangedSince, "nobody had held it"
	case w.state.Released:
		return w.unchangedSince.Add(l.settings.ReacquireDelay), string(w.state.Holder) + " had released it"
	}
	return w.unchangedSince.Add(wait), string(w.state.Holder) + " had not renewed it for " + wait.String()
}

// rebalance releases a lease that another candidate should hold. This spreads
// the leases over the daemons and keeps each zone's lease within the zone.
func (l *Leases) rebalance(ctx context.Context, h heldLease, candidates []Candidate) {
	best := candidates[0]
	for _, c := range candidates {
		if leaseRank(h.state.Name, c, candidates) == 0 {
			best = c
		}
	}
	if best == l.self || !l.rebalanceDue(h.state.Name) {
		l.clearMisplaced(h.state.Name, best)
		return
	}
	l.release(ctx, h, string(best.Daemon)+" in "+string(best.Zone)+" is the better place for it")
}

// rebalanceDue reports whether a lease has had a better holder for long enough to
// be moved. The wait doubles with each move, so that a lease does not keep moving
// between daemons that see different candidates.
func (l *Leases) rebalanceDue(name models.LeaseName) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.held[name]
	if !ok {
		return false
	}
	if h.misplacedSince.IsZero() {
		h.misplacedSince = now
	}
	wait := l.settings.RebalanceDelay << min(l.rebalances[name], maxRebalanceDoublings)
	if now.Sub(h.misplacedSince) < wait || !h.authority.Valid(now) {
		return false
	}
	l.rebalances[name]++
	return true
}

// clearMisplaced resets the wait for a move if this daemon is the best holder.
func (l *Leases) clearMisplaced(name models.LeaseName, best Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.held[name]; ok && best == l.self {
		h.misplacedSince = time.Time{}
	}
}

// tableReachableSince returns since when reads of the table have succeeded, or
// the zero time if the latest read failed.
func (l *Leases) tableReachableSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reachableSince
}

// requestRead makes the next step read the leases.
func (l *Leases) requestRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = time.Time{}
}

func formatUint(n uint64) string {
	return strconv.FormatUint(n, 10)
}
