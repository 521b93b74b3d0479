package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// RetrySettings configures how calls of the table are retried.
type RetrySettings struct {
	AttemptTimeout time.Duration // of a single attempt
	MaxAttempts    int           // including the first
	InitialBackoff time.Duration // before the second attempt; doubles each time
	MaxBackoff     time.Duration
	BudgetRatio    float64 // retries earned by each call
	BudgetCapacity float64 // retries that can be saved up
	Seed           uint64  // seed of the jitter
}

// DefaultRetrySettings returns the defaults with the given attempt timeout and
// jitter seed.
func DefaultRetrySettings(timeout time.Duration, seed uint64) RetrySettings {
	return RetrySettings{
		AttemptTimeout: timeout,
		MaxAttempts:    4,
		InitialBackoff: 50 * time.Millisecond,
		MaxBackoff:     time.Second,
		BudgetRatio:    0.2,
		BudgetCapacity: 20,
		Seed:           seed,
	}
}

// RetryTable retries failed calls of another table.
//
// A transaction with an ID also writes a marker row named by the ID, on the
// condition that the row was never written. So at most one of its attempts
// takes effect, however late they arrive. If the outcome of an attempt is
// unknown, the marker tells it. Before such a transaction is reported as not
// done, a cancellation is written to the marker, which makes every attempt
// still in flight fail.
//
// The table may return from an older copy without the marker. A transaction with
// an ID is therefore tied to the era that the table was last seen in, so that
// attempts still in flight fail as well.
//
// A transaction without an ID has no marker. It is retried only while it is
// certain that no earlier attempt took effect.
type RetryTable struct {
	table    peer.Table
	clock    peer.Clock
	settings RetrySettings
	budget   *retryBudget

	mu     sync.Mutex
	random *rand.Rand
	seen   models.Revision // latest revision in any answer
}

// NewRetryTable returns a table that retries calls of another one.
func NewRetryTable(table peer.Table, clock peer.Clock, settings RetrySettings) *RetryTable {
	return &RetryTable{
		table:    table,
		clock:    clock,
		settings: settings,
		budget:   newRetryBudget(settings.BudgetRatio, settings.BudgetCapacity),
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
}

// Read implements peer.Table.
func (t *RetryTable) Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error) {
	var rows []models.Row
	err := t.retryRead(ctx, func(ctx context.Context) error {
		var err error
		rows, err = t.table.Read(ctx, keys...)
		return err
	})
	for _, row := range rows {
		t.observe(row.Revision)
	}
	return rows, err
}

// Changes implements peer.Table.
func (t *RetryTable) Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error) {
	var changes models.Changes
	err := t.retryRead(ctx, func(ctx context.Context) error {
		var err error
		changes, err = t.table.Changes(ctx, partition, after)
		return err
	})
	t.observe(changes.Through)
	return changes, err
}

// observe records a revision in an answer.
func (t *RetryTable) observe(revision models.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = max(t.seen, revision)
}

// latestSeen returns the latest revision in any answer.
func (t *RetryTable) latestSeen() models.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}

// Era returns the latest era in any answer, 0 before the first.
func (t *RetryTable) Era() uint64 {
	return t.latestSeen().Era()
}

// retryRead repeats a read until it succeeds, fails for good or may not be
// retried any more.
func (t *RetryTable) retryRead(ctx context.Context, read func(ctx context.Context) error) error {
	t.budget.deposit()
	for attempt := 1; ; attempt++ {
		err := t.attempt(ctx, read)
		if err == nil || !retryable(err) || !t.waitForRetry(ctx, attempt) {
			return err
		}
	}
}

// Transact implements peer.Table.
func (t *RetryTable) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	t.budget.deposit()
	if transaction.ID == "" {
		return t.transactWithoutMarker(ctx, transaction)
	}
	if transaction.Basis == 0 {
		transaction.Basis = t.latestSeen()
	}
	var markerRevision models.Revision // of a cancellation by an earlier call
	inDoubt := false
	for attempt := 1; ; attempt++ {
		if inDoubt {
			if revision, known, err := t.outcomeFromMarker(ctx, transaction.ID, markerRevision); known {
				return revision, err
			}
		}
		revision, err := t.transactOnce(ctx, withMarker(transaction, markerCommitted, markerRevision))
		switch {
		case err == nil:
			return revision, nil
		case peer.OutcomeOf(err) == peer.OutcomeConflict && inDoubt:
			return t.resolveInDoubt(ctx, transaction.ID, markerRevision, err)
		case peer.OutcomeOf(err) == peer.OutcomeConflict:
			if cancelled := t.cancelledRevision(ctx, transaction.ID); cancelled > markerRevision {
				markerRevision = cancelled
				continue
			}
			return t.resolveConflict(ctx, transaction.ID, markerRevision, err)
		case !retryable(err) && !inDoubt:
			return 0, err
		}
		inDoubt = inDoubt || peer.OutcomeOf(err) == peer.OutcomeUnknown
		if retryable(err) && t.waitForRetry(ctx, attempt) {
			continue
		}
		if !inDoubt {
			return 0, err
		}
		return t.resolveInDoubt(ctx, transaction.ID, markerRevision, err)
	}
}

func (t *RetryTable) transactWithoutMarker(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	for attempt := 1; ; attempt++ {
		revision, err := t.transactOnce(ctx, transaction)
		if err == nil || peer.OutcomeOf(err) != peer.OutcomeNotDone || !t.waitForRetry(ctx, attempt) {
			return revision, err
		}
	}
}

// resolveConflict tells an attempt that conflicted with the marker of an
// earlier one from an attempt whose own conditions do not hold. Revisions only
// grow, so a condition that failed once fails for every other attempt too.
func (t *RetryTable) resolveConflict(ctx context.Context, id string, markerRevision models.Revision, conflict error) (models.Revision, error) {
	revision, known, err := t.outcomeFromMarker(ctx, id, markerRevision)
	if known {
		return revision, err
	}
	if err != nil {
		return 0, asUnknown(conflict)
	}
	return 0, conflict
}

// resolveInDoubt cancels a transaction whose outcome is unknown, or finds that
// it was committed. If neither can be established, the outcome stays unknown.
// Cause is the error of the last attempt.
func (t *RetryTable) resolveInDoubt(ctx context.Context, id string, markerRevision models.Revision, cause error) (models.Revision, error) {
	_, err := t.transactOnce(ctx, withMarker(models.Transaction{ID: id}, markerCancelled, markerRevision))
	if err == nil {
		return 0, asNotDone(cause)
	}
	if revision, known, err := t.outcomeFromMarker(ctx, id, markerRevision); known {
		if err != nil && peer.OutcomeOf(err) == peer.OutcomeNotDone {
			return 0, asNotDone(cause)
		}
		return revision, err
	}
	return 0, asUnknown(cause)
}

// outcomeFromMarker reads a transaction's marker. If the bool is true, the
// marker determines the outcome, and the error is nil only for a commit. If it
// is false, the outcome is open: the marker could not be read, or it is not
// newer than markerRevision.
func (t *RetryTable) outcomeFromMarker(ctx context.Context, id string, markerRevision models.Revision) (models.Revision, bool, error) {
	marker, err := t.readMarker(ctx, id)
	if err != nil || marker.Revision <= markerRevision {
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

// cancelledRevision returns the revision of the marker if an earlier call of
// the same transaction was cancelled, otherwise 0. On the condition of that
// revision the transaction can be retried; late attempts of the earlier call
// still fail.
func (t *RetryTable) cancelledRevision(ctx context.Context, id string) models.Revision {
	marker, err := t.readMarker(ctx, id)
	if err != nil || marker.Deleted || string(marker.Value) != markerCancelled {
		return 0
	}
	return marker.Revision
}

// readMarker reads a transaction's marker row. If there is none, the row's
// revision is 0.
func (t *RetryTable) readMarker(ctx context.Context, id string) (models.Row, error) {
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

func (t *RetryTable) transactOnce(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	var revision models.Revision
	err := t.attempt(ctx, func(ctx context.Context) error {
		var err error
		revision, err = t.table.Transact(ctx, transaction)
		return err
	})
	t.observe(revision)
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

// waitForRetry waits for the backoff and reports whether another attempt may be
// made.
func (t *RetryTable) waitForRetry(ctx context.Context, attempt int) bool {
	if attempt >= t.settings.MaxAttempts || !t.budget.take() {
		return false
	}
	return t.clock.Sleep(ctx, t.backoff(attempt)) == nil
}

// backoff returns the pause after an attempt: it doubles with each attempt, and
// up to half of it is jitter.
func (t *RetryTable) backoff(attempt int) time.Duration {
	backoff := min(t.settings.InitialBackoff<<(attempt-1), t.settings.MaxBackoff)
	t.mu.Lock()
	defer t.mu.Unlock()
	return backoff/2 + time.Duration(t.random.Int64N(int64(backoff/2)+1))
}

// retryable reports whether a failed call may succeed on a retry.
func retryable(err error) bool {
	outcome := peer.OutcomeOf(err)
	return outcome == peer.OutcomeNotDone || outcome == peer.OutcomeUnknown
}

// asNotDone returns a failure that says the transaction had no effect.
func asNotDone(cause error) error {
	if outcome := peer.OutcomeOf(cause); outcome != peer.OutcomeUnknown {
		return cause
	}
	return peer.NewFailure(peer.OutcomeNotDone, "the transaction was cancelled after lost answers", cause)
}

// asUnknown returns a failure that says the transaction may have taken effect.
func asUnknown(cause error) error {
	return peer.NewFailure(peer.OutcomeUnknown, "the transaction may have been committed", cause)
}
