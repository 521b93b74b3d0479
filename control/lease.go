package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// LeaseSettings are the times of leases. A candidate's wait, Duration plus
// Margin from when it saw the last renewal, is longer than a holder's
// authority, Duration less Safety from before it sent that renewal; what lies
// between covers clocks that run at different rates.
type LeaseSettings struct {
	Duration        time.Duration
	HolderMargin    time.Duration // a holder stops so long before the lease ends
	CandidateMargin time.Duration // a candidate waits so long after it
	RenewInterval   time.Duration // between two renewals
	ReadInterval    time.Duration // between two readings of the leases
	Timeout         time.Duration // of one call of the table
	RankDelay       time.Duration // a candidate lets each one before it go first; longer than Read
	RebalanceDelay  time.Duration // until a lease moves to a better holder
	// ReacquireDelay is how long a released lease stays free, so that a receiver
	// which does not check fencing numbers never sees two holders take turns
	// within a lease's duration.
	ReacquireDelay time.Duration
}

// DefaultLeaseSettings returns the settings of a daemon.
func DefaultLeaseSettings() LeaseSettings {
	return LeaseSettings{
		Duration:        4 * time.Second,
		HolderMargin:    500 * time.Millisecond,
		CandidateMargin: 250 * time.Millisecond,
		RenewInterval:   time.Second,
		ReadInterval:    time.Second,
		Timeout:         2 * time.Second,
		RankDelay:       1250 * time.Millisecond,
		RebalanceDelay:  15 * time.Second,
	}
}

// Candidate is a daemon that takes leases.
type Candidate struct {
	Daemon models.DaemonID
	Zone   models.Zone
}

// Leases takes, renews and gives up leases in the platform's table.
type Leases struct {
	self     Candidate
	table    peer.Table
	clock    peer.Clock
	timeline peer.Timeline
	reports  peer.Reports
	names    func() []models.LeaseName
	settings LeaseSettings
	platform *PlatformClock // nil: not sampled

	mu               sync.Mutex
	leaving          bool
	held             map[models.LeaseName]*heldLease
	droppedRevisions map[models.LeaseName]models.Revision // holder rows that no longer are this daemon's
	watched          map[models.LeaseName]*watchedLease
	rebalances       map[models.LeaseName]int // releases to a better holder
	everRead         bool                     // the leases were read once
	renewalUncertain bool                     // the answer to the latest renewal was lost
	through          models.Revision
	readAt           time.Time // of the latest reading; zero: read at once
	reachableSince   time.Time // since when readings succeed; zero: the latest failed
	renewalSentAt    time.Time // when the latest renewal was sent
	renewedAt        time.Time // when the latest renewal that succeeded was sent
}

// heldLease is a lease of this daemon. Its authority may have run out while
// the table is out of reach; a renewal brings it back, under the same number.
type heldLease struct {
	state          models.LeaseState
	authority      models.Authority
	lapseRecorded  bool // its running out is on the time line
	misplacedSince time.Time
}

// NewLeases returns leases of which none is held. Names lists the leases
// there are; reports tells of the other candidates, where it is nil each
// candidate tries at once.
func NewLeases(self Candidate, table peer.Table, clock peer.Clock, timeline peer.Timeline, reports peer.Reports, names func() []models.LeaseName, settings LeaseSettings) *Leases {
	return &Leases{
		self:             self,
		table:            table,
		clock:            clock,
		timeline:         timeline,
		reports:          reports,
		names:            names,
		settings:         settings,
		held:             map[models.LeaseName]*heldLease{},
		droppedRevisions: map[models.LeaseName]models.Revision{},
		watched:          map[models.LeaseName]*watchedLease{},
		rebalances:       map[models.LeaseName]int{},
	}
}

// SetPlatformClock makes each reading of the leases a sample of the platform's time. It
// goes before the first step.
func (l *Leases) SetPlatformClock(platform *PlatformClock) {
	l.platform = platform
}

// Authority implements peer.Leases.
func (l *Leases) Authority(name models.LeaseName) models.Authority {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.held[name]
	if !ok || !h.authority.Valid(now) {
		return models.Authority{}
	}
	return h.authority
}

// Holds reports whether this daemon holds a lease, with authority or without.
func (l *Leases) Holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) > 0
}

// Step renews what is held, and takes over what nobody holds.
func (l *Leases) Step(ctx context.Context) {
	defer l.recordLapses()
	leases := l.snapshot()
	if len(leases) == 0 || !l.renewalDue(leases) {
		l.watch(ctx)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.renew(ctx, leases) })
	group.Go(func() { l.watch(ctx) })
	group.Wait()
}

// Release gives up all leases at a planned stop, for others to take at once.
func (l *Leases) Release(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	for _, h := range l.snapshot() {
		l.release(ctx, h, "a planned stop")
	}
}

// renew renews all held leases in one transaction.
func (l *Leases) renew(ctx context.Context, leases []heldLease) {
	err := l.renewTransaction(ctx, leases)
	switch {
	case err == nil:
	case peer.OutcomeOf(err) == peer.OutcomeConflict:
		l.renewSeparately(ctx, leases)
	case peer.OutcomeOf(err) == peer.OutcomeUnknown:
		l.suspendRenewals()
	}
}

// suspendRenewals keeps renewals back until a reading succeeds: a holder whose
// writes arrive while answers do not would keep a lease that it cannot use.
func (l *Leases) suspendRenewals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewalUncertain = true
	l.readAt = time.Time{}
}

// renewSeparately finds out which of several leases are lost.
func (l *Leases) renewSeparately(ctx context.Context, leases []heldLease) {
	for _, h := range leases {
		err := l.renewTransaction(ctx, []heldLease{h})
		if err != nil && peer.OutcomeOf(err) == peer.OutcomeConflict {
			l.drop(h, "lost", "another daemon took it over")
		}
	}
}

func (l *Leases) renewTransaction(ctx context.Context, leases []heldLease) error {
	started := l.clock.Now()
	l.noteRenewalSent(started)
	var transaction models.Transaction
	for _, h := range leases {
		state := h.state
		state.Renewal++
		write, err := renewalWrite(state)
		if err != nil {
			return err
		}
		transaction.Conditions = append(transaction.Conditions, h.authority.Guard)
		transaction.Writes = append(transaction.Writes, write)
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	if _, err := l.table.Transact(ctx, transaction); err != nil {
		return err
	}
	l.extendDeadlines(leases, started)
	return nil
}

// noteRenewalSent notes when a renewal was sent.
func (l *Leases) noteRenewalSent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewalSentAt = at
}

// extendDeadlines moves the deadlines of renewed leases on.
func (l *Leases) extendDeadlines(leases []heldLease, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = started
	for _, renewed := range leases {
		h, ok := l.held[renewed.state.Name]
		if !ok || h.authority.Guard != renewed.authority.Guard {
			continue
		}
		h.state.Renewal = renewed.state.Renewal + 1
		h.authority.Deadline = l.deadline(started)
		h.lapseRecorded = false
	}
}

// deadline is when an authority ends that rests on a write sent at started.
func (l *Leases) deadline(started time.Time) time.Time {
	return started.Add(l.settings.Duration - l.settings.HolderMargin)
}

func (l *Leases) renewalDue(leases []heldLease) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewalUncertain {
		return false
	}
	if now.Sub(l.renewedAt) < l.settings.RenewInterval && allValid(leases, now) {
		return false
	}
	return now.Sub(l.renewalSentAt) >= l.settings.RenewInterval/2
}

func allValid(leases []heldLease, now time.Time) bool {
	for _, h := range leases {
		if !h.authority.Valid(now) {
			return false
		}
	}
	return true
}

// recordLapses puts authorities that ran out on the time line, once each.
func (l *Leases) recordLapses() {
	for _, h := range l.newLapses() {
		l.recordEvent(h.state, "lapsed here", "the table did not take its renewals in time")
	}
}

func (l *Leases) newLapses() []heldLease {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var lapses []heldLease
	for _, h := range l.held {
		if h.lapseRecorded || h.authority.Valid(now) {
			continue
		}
		h.lapseRecorded = true
		lapses = append(lapses, *h)
	}
	return lapses
}

// release gives up one lease. The authority ends before the row says so.
func (l *Leases) release(ctx context.Context, h heldLease, why string) {
	l.drop(h, "released", why)
	state := h.state
	state.Released = true
	write, err := holderWrite(state)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Timeout)
	defer cancel()
	// Where this fails, the lease runs out instead.
	_, _ = l.table.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{h.authority.Guard},
		Writes:     []models.Write{write},
	})
}

// drop ends a lease of this daemon.
func (l *Leases) drop(h heldLease, what, why string) {
	l.mu.Lock()
	delete(l.held, h.state.Name)
	l.droppedRevisions[h.state.Name] = h.authority.Guard.Revision
	l.readAt = time.Time{}
	l.mu.Unlock()
	l.recordEvent(h.state, what, why)
}

// addHeld starts a lease of this daemon, unless it is leaving. Without a deadline
// the lease has to be renewed before it gives any authority.
func (l *Leases) addHeld(state models.LeaseState, revision models.Revision, deadline time.Time) (heldLease, bool) {
	h := heldLease{
		state: state,
		authority: models.Authority{
			Lease:    state.Name,
			Fence:    state.Fence,
			Deadline: deadline,
			Guard:    models.Condition{Key: holderKey(state.Name), Revision: revision},
		},
		lapseRecorded: deadline.IsZero(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return h, false
	}
	l.held[state.Name] = &h
	return h, true
}

func (l *Leases) snapshot() []heldLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	leases := make([]heldLease, 0, len(l.held))
	for _, h := range l.held {
		leases = append(leases, *h)
	}
	return leases
}

func (l *Leases) recordEvent(state models.LeaseState, what, why string) {
	l.timeline.Record(models.Event{
		Kind:  models.EventLease,
		Lease: state.Name,
		What:  "lease " + string(state.Name) + " " + what + ", fencing number " + formatUint(state.Fence),
		Why:   why,
	})
}
