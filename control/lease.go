package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// LeaseSettings holds the durations and intervals of leases. A holder's
// authority ends Duration - HolderMargin after it began to send its last
// renewal. A candidate waits Duration + CandidateMargin from when it saw that
// renewal. The gap between the two covers clocks that run at different rates.
type LeaseSettings struct {
	Duration        time.Duration
	HolderMargin    time.Duration // a holder's authority ends this long before Duration
	CandidateMargin time.Duration // a candidate waits this long beyond Duration
	RenewInterval   time.Duration
	ReadInterval    time.Duration
	Timeout         time.Duration // of one call to the table
	RankDelay       time.Duration // takeover delay per rank; longer than ReadInterval
	RebalanceDelay  time.Duration // before a lease moves to a better holder
	// ReacquireDelay is how long a released lease stays free. It keeps a receiver
	// that does not check fencing numbers from seeing calls of two alternating
	// holders within one lease duration.
	ReacquireDelay time.Duration
}

// DefaultLeaseSettings returns the settings that a daemon uses.
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

// Candidate is a daemon that may hold leases.
type Candidate struct {
	Daemon models.DaemonID
	Zone   models.Zone
}

// Leases acquires, renews and releases leases in the platform's table.
//
// The table may return from an older copy, in which a lease has an earlier holder
// or none. A daemon then drops its leases, and may take one back at once while
// its authority from before lasts; all others wait until no such authority can be
// left. A fencing number is one more than the revision up to which its holder had
// read the table, so that no two takeovers have the same one.
type Leases struct {
	self     Candidate
	table    peer.Table
	clock    peer.Clock
	timeline peer.Timeline
	reports  peer.Reports
	names    func() []models.LeaseName
	settings LeaseSettings
	platform *PlatformClock // nil: reads are not used as samples

	mu               sync.Mutex
	leaving          bool
	held             map[models.LeaseName]*heldLease
	droppedRevisions map[models.LeaseName]models.Revision // holder row revisions of leases no longer held
	watched          map[models.LeaseName]*watchedLease
	reclaims         map[models.LeaseName]models.Authority // held when the table returned from an older copy
	rebalances       map[models.LeaseName]int              // releases in favour of a better holder
	everRead         bool                                  // the leases have been read at least once
	renewalUncertain bool                                  // the outcome of the latest renewal is unknown
	through          models.Revision                       // revision that the leases were read up to
	readAt           time.Time                             // of the latest read; zero: read at once
	reachableSince   time.Time                             // since when reads succeed; zero: the latest failed
	renewalSentAt    time.Time                             // when the latest renewal was sent
	renewedAt        time.Time                             // when the latest successful renewal was sent
}

// heldLease is a lease that this daemon holds. Its authority may expire while
// the table is unreachable; a renewal restores it under the same fencing
// number.
type heldLease struct {
	state          models.LeaseState
	authority      models.Authority
	lapseRecorded  bool // the expiry is on the time line
	misplacedSince time.Time
}

// NewLeases returns a Leases that holds none yet. names lists all leases that
// exist. reports supplies the other candidates; with nil reports a daemon
// contends for every free lease without delay.
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
		reclaims:         map[models.LeaseName]models.Authority{},
		rebalances:       map[models.LeaseName]int{},
	}
}

// SetPlatformClock makes each read of the leases a sample of the platform's
// time. It must be called before the first Step.
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

// Holds reports whether this daemon holds any lease, whether or not its
// authority is still valid, or may take one back.
func (l *Leases) Holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)+len(l.reclaims) > 0
}

// Step renews the held leases and takes over free ones.
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

// Release gives up all leases at a planned stop, so that other daemons need not
// wait for them to expire.
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
	case peer.OutcomeOf(err) == peer.OutcomeRestored:
		l.requestRead()
	}
}

// suspendRenewals stops renewals until a read succeeds. Otherwise a holder whose
// writes arrive but whose answers are lost would keep a lease that it cannot
// use.
func (l *Leases) suspendRenewals() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewalUncertain = true
	l.readAt = time.Time{}
}

// renewSeparately renews each lease in a transaction of its own, to find out
// which of them are lost.
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

// noteRenewalSent records when a renewal was sent.
func (l *Leases) noteRenewalSent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewalSentAt = at
}

// extendDeadlines extends the authority of renewed leases; started is when the
// renewal was sent.
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

// deadline returns when the authority from a write sent at started ends.
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

// recordLapses records each expired authority on the time line once.
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

// release gives up one lease. The authority ends before the row is written.
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
	// If the write fails, the lease expires instead.
	_, _ = l.table.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{h.authority.Guard},
		Writes:     []models.Write{write},
	})
}

// drop removes a lease from those held and records why.
func (l *Leases) drop(h heldLease, what, why string) {
	l.mu.Lock()
	delete(l.held, h.state.Name)
	l.droppedRevisions[h.state.Name] = h.authority.Guard.Revision
	l.readAt = time.Time{}
	l.mu.Unlock()
	l.recordEvent(h.state, what, why)
}

// addHeld adds a lease to those held, unless this daemon is leaving. With a zero
// deadline the lease gives no authority until it is renewed.
func (l *Leases) addHeld(state models.LeaseState, revision models.Revision, deadline time.Time) (heldLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := heldLease{
		state: state,
		authority: models.Authority{
			Lease:     state.Name,
			Fence:     state.Fence,
			Deadline:  deadline,
			Guard:     models.Condition{Key: holderKey(state.Name), Revision: revision},
			Continues: l.reclaims[state.Name].Fence,
		},
		lapseRecorded: deadline.IsZero(),
	}
	delete(l.reclaims, state.Name)
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
