package control

import (
	"context"
	"strconv"
	"time"

	"quincewinch/models"
)

// watchedLease is a lease as the table last showed it.
type watchedLease struct {
	state   models.LeaseState
	holder  models.Revision // of the holder row
	renewal models.Revision // of the renewal row
	since   time.Time       // when both were first seen so
}

// LeaseStatus is what a daemon knows of a lease.
type LeaseStatus struct {
	State     models.LeaseState
	Mine      bool          // held here, with authority
	Unchanged time.Duration // since its last renewal was seen
}

// Statuses returns what this daemon knows of each lease.
func (l *Leases) Statuses() []LeaseStatus {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := make([]LeaseStatus, 0, len(l.watched))
	for name, w := range l.watched {
		h, mine := l.held[name]
		statuses = append(statuses, LeaseStatus{
			State:     w.state,
			Mine:      mine && h.authority.Valid(now),
			Unchanged: now.Sub(w.since),
		})
	}
	return statuses
}

// watch reads the leases and takes over those that are free.
func (l *Leases) watch(ctx context.Context) {
	if !l.read(ctx) {
		return
	}
	candidates := l.candidates()
	for _, name := range l.names() {
		l.consider(ctx, name, candidates)
	}
}

// read reads what has changed, where it is time, and reports whether the
// leases were ever read.
func (l *Leases) read(ctx context.Context) bool {
	through, known, due := l.readDue()
	if !due {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	sent := l.clock.Now()
	changes, err := l.table.Changes(ctx, models.PartitionLeases, through)
	now := l.clock.Now()
	if err == nil && l.platform != nil {
		l.platform.Observe(sent, now, changes.PlatformTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = now
	if err != nil {
		l.reached = time.Time{}
		return known
	}
	if l.reached.IsZero() {
		l.reached = now
	}
	for _, row := range changes.Rows {
		l.take(row, now)
	}
	l.known = true
	l.doubt = false
	l.through = max(l.through, changes.Through)
	return true
}

func (l *Leases) readDue() (through models.Revision, known, due bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.through, l.known, l.readAt.IsZero() || now.Sub(l.readAt) >= l.settings.Read
}

// take notes a row of the table. The lock is held.
func (l *Leases) take(row models.Row, now time.Time) {
	name, isHolder, ok := leaseOf(row.Key)
	if !ok {
		return
	}
	w := l.watchedOf(name, now)
	switch {
	case isHolder && row.Revision > w.holder:
		state, err := decodeHolder(name, row.Value)
		if err != nil {
			return
		}
		w.state = state
		w.holder = row.Revision
		w.since = now
	case !isHolder && row.Revision > w.renewal:
		w.renewal = row.Revision
		w.since = now
	}
}

func (l *Leases) watchedOf(name models.LeaseName, now time.Time) *watchedLease {
	w, ok := l.watched[name]
	if !ok {
		w = &watchedLease{state: models.LeaseState{Name: name}, since: now}
		l.watched[name] = w
	}
	return w
}

// consider decides about one lease.
func (l *Leases) consider(ctx context.Context, name models.LeaseName, candidates []Candidate) {
	now := l.clock.Now()
	l.mu.Lock()
	w := *l.watchedOf(name, now)
	held, isHeld := l.held[name]
	var h heldLease
	if isHeld {
		h = *held
	}
	dropped := l.dropped[name]
	leaving := l.leaving
	l.mu.Unlock()
	switch {
	case leaving:
	case isHeld:
		l.rebalance(ctx, h, candidates)
	case w.state.Holder == l.self.Daemon && !w.state.Released && w.holder > dropped:
		// A takeover whose answer was lost.
		l.keep(w.state, w.holder, time.Time{})
	default:
		l.contend(ctx, w, candidates)
	}
}

// contend takes a lease over when it is free and this daemon's turn.
func (l *Leases) contend(ctx context.Context, w watchedLease, candidates []Candidate) {
	reached := l.reachedSince()
	if reached.IsZero() {
		return
	}
	free, why := l.free(w)
	// After an outage everybody finds everything free at once.
	if free.Before(reached) {
		free = reached
	}
	turn := free.Add(time.Duration(leaseRank(w.state.Name, l.self, candidates)) * l.settings.RankDelay)
	if l.clock.Now().Before(turn) {
		return
	}
	started := l.clock.Now()
	state := models.LeaseState{
		Name:     w.state.Name,
		Holder:   l.self.Daemon,
		Fence:    w.state.Fence + 1,
		Renewal:  w.state.Renewal + 1,
		Duration: l.settings.Duration,
	}
	revision, err := l.takeOver(ctx, w, state)
	if err != nil {
		l.readSoon()
		return
	}
	l.record(state, "taken over", why)
	if h, kept := l.keep(state, revision, l.deadline(started)); !kept {
		l.release(ctx, h, "a planned stop")
	}
}

// takeOver writes both rows, where neither has changed since it was watched.
func (l *Leases) takeOver(ctx context.Context, w watchedLease, state models.LeaseState) (models.Revision, error) {
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
		Conditions: []models.Condition{
			{Key: holder.Key, Revision: w.holder},
			{Key: renewal.Key, Revision: w.renewal},
		},
		Writes: []models.Write{holder, renewal},
	})
}

// free returns since when a lease may be taken, and why.
func (l *Leases) free(w watchedLease) (time.Time, string) {
	switch {
	case w.holder == 0:
		return w.since, "nobody had held it"
	case w.state.Released:
		return w.since.Add(l.settings.AfterRelease), string(w.state.Holder) + " had released it"
	}
	wait := max(w.state.Duration, l.settings.Duration) + l.settings.Margin
	return w.since.Add(wait), string(w.state.Holder) + " had not renewed it for " + wait.String()
}

// rebalance releases a lease that another candidate should hold, so that none
// holds them all and each zone's is held in the zone.
func (l *Leases) rebalance(ctx context.Context, h heldLease, candidates []Candidate) {
	best := candidates[0]
	for _, c := range candidates {
		if leaseRank(h.state.Name, c, candidates) == 0 {
			best = c
		}
	}
	if best == l.self || !l.misplaced(h.state.Name) {
		l.settled(h.state.Name, best)
		return
	}
	l.release(ctx, h, string(best.Daemon)+" in "+string(best.Zone)+" is the better place for it")
}

// misplaced reports whether a lease has had a better holder for long enough.
// The wait doubles with each move, so that views that differ settle down.
func (l *Leases) misplaced(name models.LeaseName) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.held[name]
	if !ok {
		return false
	}
	if h.misplaced.IsZero() {
		h.misplaced = now
	}
	wait := l.settings.Rebalance << min(l.moves[name], mostDoublings)
	if now.Sub(h.misplaced) < wait || !h.authority.Valid(now) {
		return false
	}
	l.moves[name]++
	return true
}

// settled forgets that a lease was misplaced, where it no longer is.
func (l *Leases) settled(name models.LeaseName, best Candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.held[name]; ok && best == l.self {
		h.misplaced = time.Time{}
	}
}

// reachedSince returns since when readings of the table have succeeded.
func (l *Leases) reachedSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached
}

func (l *Leases) readSoon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = time.Time{}
}

func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}
