package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// RetrySettings say how calls of the table are tried again.
type RetrySettings struct {
	AttemptTimeout time.Duration // of one attempt
	Attempts       int           // at the most, the first one included
	FirstBackoff   time.Duration // before the second attempt; doubles each time
	LongestBackoff time.Duration
	BudgetShare    float64 // retries earned by each call
	BudgetMost     float64 // retries that can be saved up
	Seed           uint64  // of the jitter
}

// DefaultRetrySettings returns settings for attempts of a timeout.
func DefaultRetrySettings(timeout time.Duration, seed uint64) RetrySettings {
	return RetrySettings{
		AttemptTimeout: timeout,
		Attempts:       4,
		FirstBackoff:   50 * time.Millisecond,
		LongestBackoff: time.Second,
		BudgetShare:    0.2,
		BudgetMost:     20,
		Seed:           seed,
	}
}

// RetryTable is a table whose calls are tried again. A transaction with an
// identity carries a marker row of that name, on the condition that the row
// was never written: of all its attempts at most one takes effect, however
// late they arrive. Where an attempt is left in doubt, the marker settles it;
// before a doubtful transaction is reported as not done, the marker is taken
// by a cancellation, which shuts out whatever may still be under way.
//
// A transaction without an identity has no marker. It is tried again only
// while it is certain that no earlier attempt took effect.
type RetryTable struct {
	table    peer.Table
	clock    peer.Clock
	settings RetrySettings
	budget   *retryBudget

	mu     sync.Mutex
	random *rand.Rand
}

// NewRetryTable returns a table that tries again on another one.
func NewRetryTable(table peer.Table, clock peer.Clock, settings RetrySettings) *RetryTable {
	return &RetryTable{
		table:    table,
		clock:    clock,
		settings: settings,
		budget:   newRetryBudget(settings.BudgetShare, settings.BudgetMost),
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
}

// Read implements peer.Table.
func (t *RetryTable) Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error) {
	var rows []models.Row
	err := t.repeat(ctx, func(ctx context.Context) error {
		var err error
		rows, err = t.table.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Changes implements peer.Table.
func (t *RetryTable) Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error) {
	var changes models.Changes
	err := t.repeat(ctx, func(ctx context.Context) error {
		var err error
		changes, err = t.table.Changes(ctx, partition, after)
		return err
	})
	return changes, err
}

// repeat tries a read until it succeeds or may not be tried again.
func (t *RetryTable) repeat(ctx context.Context, read func(ctx context.Context) error) error {
	t.budget.earn()
	for attempt := 1; ; attempt++ {
		err := t.attempt(ctx, read)
		if err == nil || !passing(err) || !t.again(ctx, attempt) {
			return err
		}
	}
}

// Transact implements peer.Table.
func (t *RetryTable) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	t.budget.earn()
	if transaction.ID == "" {
		return t.transactUnmarked(ctx, transaction)
	}
	var base models.Revision // of a marker that an earlier call cancelled
	doubt := false
	for attempt := 1; ; attempt++ {
		if doubt {
			if revision, known, err := t.look(ctx, transaction.ID, base); known {
				return revision, err
			}
		}
		revision, err := t.commit(ctx, withMarker(transaction, markerCommitted, base))
		switch {
		case err == nil:
			return revision, nil
		case peer.OutcomeOf(err) == peer.OutcomeConflict && doubt:
			return t.settle(ctx, transaction.ID, base, err)
		case peer.OutcomeOf(err) == peer.OutcomeConflict:
			if cancelled := t.cancelled(ctx, transaction.ID); cancelled > base {
				base = cancelled
				continue
			}
			return t.conflicted(ctx, transaction.ID, base, err)
		case !passing(err) && !doubt:
			return 0, err
		}
		doubt = doubt || peer.OutcomeOf(err) == peer.OutcomeUnknown
		if passing(err) && t.again(ctx, attempt) {
			continue
		}
		if !doubt {
			return 0, err
		}
		return t.settle(ctx, transaction.ID, base, err)
	}
}

func (t *RetryTable) transactUnmarked(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	for attempt := 1; ; attempt++ {
		revision, err := t.commit(ctx, transaction)
		if err == nil || peer.OutcomeOf(err) != peer.OutcomeNotDone || !t.again(ctx, attempt) {
			return revision, err
		}
	}
}

// conflicted tells an attempt that met its own marker from one whose
// conditions do not hold. Revisions only grow, so a condition that failed
// fails for every other attempt too.
func (t *RetryTable) conflicted(ctx context.Context, id string, base models.Revision, conflict error) (models.Revision, error) {
	revision, known, err := t.look(ctx, id, base)
	if known {
		return revision, err
	}
	if err != nil {
		return 0, doubtful(conflict)
	}
	return 0, conflict
}

// settle cancels a transaction in doubt, or finds that it was committed.
// Cause is what to report where it was not.
func (t *RetryTable) settle(ctx context.Context, id string, base models.Revision, cause error) (models.Revision, error) {
	_, err := t.commit(ctx, withMarker(models.Transaction{ID: id}, markerCancelled, base))
	if err == nil {
		return 0, definite(cause)
	}
	if revision, known, err := t.look(ctx, id, base); known {
		if err != nil && peer.OutcomeOf(err) == peer.OutcomeNotDone {
			return 0, definite(cause)
		}
		return revision, err
	}
	return 0, doubtful(cause)
}

// look reads a transaction's marker. Known tells that the marker decides; the
// error is then its outcome. A marker of the base revision decides nothing.
func (t *RetryTable) look(ctx context.Context, id string, base models.Revision) (models.Revision, bool, error) {
	marker, err := t.marker(ctx, id)
	if err != nil || marker.Revision <= base {
		return 0, false, err
	}
	switch {
	case marker.Deleted:
		return 0, true, peer.NewFailure(peer.OutcomeUnknown, "the marker of transaction "+id+" was cleaned up", nil)
	case string(marker.Value) == markerCancelled:
		return 0, true, peer.NewFailure(peer.OutcomeNotDone, "transaction "+id+" was cancelled", nil)
	}
	return marker.Revision, true, nil
}

// cancelled returns the revision of a marker that an earlier call of the same
// transaction cancelled, zero if there is none. On the condition of that
// revision it can be tried again; attempts of the earlier call stay shut out.
func (t *RetryTable) cancelled(ctx context.Context, id string) models.Revision {
	marker, err := t.marker(ctx, id)
	if err != nil || marker.Deleted || string(marker.Value) != markerCancelled {
		return 0
	}
	return marker.Revision
}

// marker reads a transaction's marker, one of revision 0 if there is none.
func (t *RetryTable) marker(ctx context.Context, id string) (models.Row, error) {
	var rows []models.Row
	err := t.attempt(ctx, func(ctx context.Context) error {
		var err error
		rows, err = t.table.Read(ctx, MarkerKey(id))
		return err
	})
	if err != nil || len(rows) == 0 {
		return models.Row{}, err
	}
	return rows[0], nil
}

func (t *RetryTable) commit(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	var revision models.Revision
	err := t.attempt(ctx, func(ctx context.Context) error {
		var err error
		revision, err = t.table.Transact(ctx, transaction)
		return err
	})
	return revision, err
}

func (t *RetryTable) attempt(ctx context.Context, call func(ctx context.Context) error) error {
	if ctx.Err() != nil {
		return peer.NewFailure(peer.OutcomeNotDone, "the call's time is over", ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.AttemptTimeout)
	defer cancel()
	return call(ctx)
}

// again waits for the next attempt and reports whether there is one.
func (t *RetryTable) again(ctx context.Context, attempt int) bool {
	if attempt >= t.settings.Attempts || !t.budget.spend() {
		return false
	}
	return t.clock.Sleep(ctx, t.backoff(attempt)) == nil
}

// backoff doubles with each attempt; half of it is jitter.
func (t *RetryTable) backoff(attempt int) time.Duration {
	backoff := min(t.settings.FirstBackoff<<(attempt-1), t.settings.LongestBackoff)
	t.mu.Lock()
	defer t.mu.Unlock()
	return backoff/2 + time.Duration(t.random.Int64N(int64(backoff/2)+1))
}

// passing reports whether a failed call may succeed when tried again.
func passing(err error) bool {
	outcome := peer.OutcomeOf(err)
	return outcome == peer.OutcomeNotDone || outcome == peer.OutcomeUnknown
}

// definite turns a cause into a failure that had no effect.
func definite(cause error) error {
	if outcome := peer.OutcomeOf(cause); outcome != peer.OutcomeUnknown {
		return cause
	}
	return peer.NewFailure(peer.OutcomeNotDone, "the transaction was cancelled after lost answers", cause)
}

// doubtful turns a cause into a failure that may have had its effect.
func doubtful(cause error) error {
	return peer.NewFailure(peer.OutcomeUnknown, "the transaction may have been committed", cause)
}
