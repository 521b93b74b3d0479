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
	Duration  time.Duration
	Safety    time.Duration // a holder stops so long before the lease ends
	Margin    time.Duration // a candidate waits so long after it
	Renew     time.Duration // between two renewals
	Read      time.Duration // between two readings of the leases
	Timeout   time.Duration // of one call of the table
	RankDelay time.Duration // a candidate lets each one before it go first; longer than Read
	Rebalance time.Duration // until a lease moves to a better holder
	// AfterRelease is how long a released lease stays free, so that a receiver
	// which does not check fencing numbers never sees two holders take turns
	// within a lease's duration.
	AfterRelease time.Duration
}

// DefaultLeaseSettings returns the settings of a daemon.
func DefaultLeaseSettings() LeaseSettings {
	return LeaseSettings{
		Duration:  4 * time.Second,
		Safety:    500 * time.Millisecond,
		Margin:    250 * time.Millisecond,
		Renew:     time.Second,
		Read:      time.Second,
		Timeout:   2 * time.Second,
		RankDelay: 1250 * time.Millisecond,
		Rebalance: 15 * time.Second,
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

	mu      sync.Mutex
	leaving bool
	held    map[models.LeaseName]*heldLease
	dropped map[models.LeaseName]models.Revision // holder rows that no longer are this daemon's
	watched map[models.LeaseName]*watchedLease
	moves   map[models.LeaseName]int // releases to a better holder
	known   bool                     // the leases were read once
	doubt   bool                     // the answer to the latest renewal was lost
	through models.Revision
	readAt  time.Time // of the latest reading; zero: read at once
	reached time.Time // since when readings succeed; zero: the latest failed
	tried   time.Time // when the latest renewal was sent
	renewed time.Time // when the latest renewal that succeeded was sent
}

// heldLease is a lease of this daemon. Its authority may have run out while
// the table is out of reach; a renewal brings it back, under the same number.
type heldLease struct {
	state     models.LeaseState
	authority models.Authority
	lapsed    bool // its running out is on the time line
	misplaced time.Time
}

// NewLeases returns leases of which none is held. Names lists the leases
// there are; reports tells of the other candidates, where it is nil each
// candidate tries at once.
func NewLeases(self Candidate, table peer.Table, clock peer.Clock, timeline peer.Timeline, reports peer.Reports, names func() []models.LeaseName, settings LeaseSettings) *Leases {
	return &Leases{
		self:     self,
		table:    table,
		clock:    clock,
		timeline: timeline,
		reports:  reports,
		names:    names,
		settings: settings,
		held:     map[models.LeaseName]*heldLease{},
		dropped:  map[models.LeaseName]models.Revision{},
		watched:  map[models.LeaseName]*watchedLease{},
		moves:    map[models.LeaseName]int{},
	}
}

// Sample makes each reading of the leases a sample of the platform's time. It
// goes before the first step.
func (l *Leases) Sample(platform *PlatformClock) {
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
	defer l.noteLapses()
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
	err := l.renewTogether(ctx, leases)
	switch {
	case err == nil:
	case peer.OutcomeOf(err) == peer.OutcomeConflict:
		l.renewEach(ctx, leases)
	case peer.OutcomeOf(err) == peer.OutcomeUnknown:
		l.doubtAnswers()
	}
}

// doubtAnswers keeps renewals back until a reading succeeds: a holder whose
// writes arrive while answers do not would keep a lease that it cannot use.
func (l *Leases) doubtAnswers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubt = true
	l.readAt = time.Time{}
}

// renewEach finds out which of several leases are lost.
func (l *Leases) renewEach(ctx context.Context, leases []heldLease) {
	for _, h := range leases {
		err := l.renewTogether(ctx, []heldLease{h})
		if err != nil && peer.OutcomeOf(err) == peer.OutcomeConflict {
			l.drop(h, "lost", "another daemon took it over")
		}
	}
}

func (l *Leases) renewTogether(ctx context.Context, leases []heldLease) error {
	started := l.clock.Now()
	l.try(started)
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
	l.extend(leases, started)
	return nil
}

// try notes when a renewal was sent.
func (l *Leases) try(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tried = at
}

// extend moves the deadlines of renewed leases on.
func (l *Leases) extend(leases []heldLease, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewed = started
	for _, renewed := range leases {
		h, ok := l.held[renewed.state.Name]
		if !ok || h.authority.Guard != renewed.authority.Guard {
			continue
		}
		h.state.Renewal = renewed.state.Renewal + 1
		h.authority.Deadline = l.deadline(started)
		h.lapsed = false
	}
}

// deadline is when an authority ends that rests on a write sent at started.
func (l *Leases) deadline(started time.Time) time.Time {
	return started.Add(l.settings.Duration - l.settings.Safety)
}

func (l *Leases) renewalDue(leases []heldLease) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doubt {
		return false
	}
	if now.Sub(l.renewed) < l.settings.Renew && allValid(leases, now) {
		return false
	}
	return now.Sub(l.tried) >= l.settings.Renew/2
}

func allValid(leases []heldLease, now time.Time) bool {
	for _, h := range leases {
		if !h.authority.Valid(now) {
			return false
		}
	}
	return true
}

// noteLapses puts authorities that ran out on the time line, once each.
func (l *Leases) noteLapses() {
	for _, h := range l.lapses() {
		l.record(h.state, "lapsed here", "the table did not take its renewals in time")
	}
}

func (l *Leases) lapses() []heldLease {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var lapses []heldLease
	for _, h := range l.held {
		if h.lapsed || h.authority.Valid(now) {
			continue
		}
		h.lapsed = true
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
	l.dropped[h.state.Name] = h.authority.Guard.Revision
	l.readAt = time.Time{}
	l.mu.Unlock()
	l.record(h.state, what, why)
}

// keep starts a lease of this daemon, unless it is leaving. Without a deadline
// the lease has to be renewed before it gives any authority.
func (l *Leases) keep(state models.LeaseState, revision models.Revision, deadline time.Time) (heldLease, bool) {
	h := heldLease{
		state: state,
		authority: models.Authority{
			Lease:    state.Name,
			Fence:    state.Fence,
			Deadline: deadline,
			Guard:    models.Condition{Key: holderKey(state.Name), Revision: revision},
		},
		lapsed: deadline.IsZero(),
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

func (l *Leases) record(state models.LeaseState, what, why string) {
	l.timeline.Record(models.Event{
		Kind:  models.EventLease,
		Lease: state.Name,
		What:  "lease " + string(state.Name) + " " + what + ", fencing number " + number(state.Fence),
		Why:   why,
	})
}
