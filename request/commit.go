package request

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// commitInterval is the minimum mean time between two transactions of all
	// daemons together: the platform takes several hundred writes a second, and
	// claims are only part of them. After an idle time a daemon may commit
	// commitBurst transactions without waiting.
	commitInterval = 5 * time.Millisecond
	commitBurst    = 20
	// commitBatchSize is the maximum number of rows in a transaction.
	commitBatchSize = 64
	// commitBackoff is the wait after a transaction that the store rejected or
	// did not answer. It doubles up to commitBackoffMax. The wait ends early
	// when a claim is submitted.
	commitBackoff    = 250 * time.Millisecond
	commitBackoffMax = time.Second
	// maxPendingCommits is the number of pending writes above which the oldest
	// outcomes are dropped.
	maxPendingCommits = 4096
	// maxCommitAge is the time after which an outcome that could not be stored
	// is dropped.
	maxCommitAge = 10 * time.Minute
)

// commitResult is the result of a conditional write of a claim's row.
type commitResult string

const (
	commitWritten    commitResult = "won"    // the row holds what was written
	commitSuperseded commitResult = "lost"   // the row holds another write
	commitFailed     commitResult = "failed" // nothing was or will be written
	commitUnknown    commitResult = "unsure" // abandoned; released once the store answers
)

// commit is one conditional write of a claim's row.
type commit struct {
	key          models.RowKey
	revision     models.Revision // expected revision of the row
	basis        models.Revision // of the era that it may be written in; 0: of any
	claim        claimRow
	persistent   bool // retried until the store takes it or it is too old
	again        bool // written before the table returned from an older copy
	submittedAt  time.Time
	maybeWritten bool // an earlier transaction may have written it
	inFlight     bool // part of the current transaction
	abandoned    bool // no request waits for it any more

	settled bool
	done    chan struct{}
	result  commitResult
	row     models.Row // current row, if the write succeeded or was superseded
}

// committer groups conditional writes into transactions. A write whose outcome
// is unknown is repeated under the same condition until the row shows which
// write took effect, so that a delayed effect of an earlier attempt is harmless.
type committer struct {
	table   peer.Table
	clock   peer.Clock
	timeout time.Duration // for one call to the table
	reports peer.Reports  // of the other daemons, which share the transaction rate

	mu      sync.Mutex
	pending []*commit
	running bool
	idle    chan struct{} // closed while nothing is pending
	urgent  chan struct{} // signals that a request waits for its claim

	// theoreticalArrival is the GCRA state: the time at which the transactions
	// so far would have been spaced at the mean rate.
	theoreticalArrival time.Time
}

func newCommitter(table peer.Table, clock peer.Clock, timeout time.Duration, reports peer.Reports) *committer {
	idle := make(chan struct{})
	close(idle)
	return &committer{table: table, clock: clock, timeout: timeout, reports: reports, idle: idle, urgent: make(chan struct{}, 1)}
}

// submit queues a write. w.done is closed once the write is settled.
func (c *committer) submit(w *commit) {
	w.done = make(chan struct{})
	w.submittedAt = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, w)
	c.dropOldest()
	if !w.persistent {
		select {
		case c.urgent <- struct{}{}:
		default:
		}
	}
	if c.running {
		return
	}
	c.running = true
	c.idle = make(chan struct{})
	go c.run()
}

// await waits until a write is settled, or abandons it when ctx ends.
func (c *committer) await(ctx context.Context, w *commit) commitResult {
	select {
	case <-w.done:
		return w.result
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case w.settled:
		return w.result
	case !w.inFlight && !w.maybeWritten:
		c.pending = slices.DeleteFunc(c.pending, func(other *commit) bool { return other == w })
		w.settle(commitFailed, models.Row{})
		return commitFailed
	}
	w.abandoned = true
	return commitUnknown
}

// flush waits until nothing is pending.
func (c *committer) flush(ctx context.Context) error {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dropOldest drops the oldest persistent writes above maxPendingCommits. c.mu
// must be held.
func (c *committer) dropOldest() {
	for len(c.pending) > maxPendingCommits {
		oldest := slices.IndexFunc(c.pending, func(w *commit) bool { return w.persistent && !w.inFlight })
		if oldest < 0 {
			return
		}
		c.pending[oldest].settle(commitFailed, models.Row{})
		c.pending = slices.Delete(c.pending, oldest, oldest+1)
	}
}

// run commits pending writes until none is left.
func (c *committer) run() {
	backoff := commitBackoff
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		if c.commitBatch(batch) {
			backoff = commitBackoff
		} else {
			c.backOff(backoff)
			backoff = min(2*backoff, commitBackoffMax)
		}
		c.throttle()
	}
}

// throttle waits until the mean rate admits one more transaction. Each daemon
// takes an equal share of the rate.
func (c *committer) throttle() {
	now := c.clock.Now()
	if c.theoreticalArrival.Before(now) {
		c.theoreticalArrival = now
	}
	interval := commitInterval * time.Duration(1+len(c.reports.Reports()))
	c.theoreticalArrival = c.theoreticalArrival.Add(interval)
	if wait := c.theoreticalArrival.Sub(now) - commitBurst*interval; wait > 0 {
		_ = c.clock.Sleep(context.Background(), wait)
	}
}

// backOff waits for d, or until a claim is submitted.
func (c *committer) backOff(d time.Duration) {
	timer := c.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-c.urgent:
	}
}

// nextBatch selects the writes of the next transaction: claims that requests
// wait for come first, and each row is written at most once.
func (c *committer) nextBatch() []*commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	if len(c.pending) == 0 {
		c.running = false
		close(c.idle)
		return nil
	}
	var batch []*commit
	keys := map[models.RowKey]bool{}
	for _, persistent := range []bool{false, true} {
		for _, w := range c.pending {
			if w.persistent == persistent && !keys[w.key] && len(batch) < commitBatchSize {
				w.inFlight = true
				keys[w.key] = true
				batch = append(batch, w)
			}
		}
	}
	return batch
}

// expire drops persistent writes older than maxCommitAge. c.mu must be held.
func (c *committer) expire() {
	oldest := c.clock.Now().Add(-maxCommitAge)
	c.pending = slices.DeleteFunc(c.pending, func(w *commit) bool {
		expired := w.persistent && w.submittedAt.Before(oldest)
		if expired {
			w.settle(commitFailed, models.Row{})
		}
		return expired
	})
}

// commitBatch commits a batch and reports whether the store answered.
func (c *committer) commitBatch(batch []*commit) bool {
	batch, transaction := c.transaction(batch)
	if len(batch) == 0 {
		return true
	}
	revision, err := c.transact(transaction)
	switch {
	case err == nil:
		c.markWritten(batch, transaction, revision)
		return true
	case peer.OutcomeOf(err) == peer.OutcomeNotDone, peer.OutcomeOf(err) == peer.OutcomeRefused:
		c.requeue(batch, false)
		return false
	}
	// After a conflict or an unknown outcome the rows show which writes took
	// effect.
	restored := peer.OutcomeOf(err) == peer.OutcomeRestored
	if restored {
		batch = c.failTied(batch)
	}
	if len(batch) == 0 {
		return true
	}
	maybeWritten := !restored && peer.OutcomeOf(err) != peer.OutcomeConflict
	rows, readErr := c.read(batch)
	if readErr != nil {
		c.requeue(batch, maybeWritten)
		return false
	}
	c.reconcile(batch, rows, maybeWritten)
	return true
}

// transaction builds the transaction of a batch, and returns it with the writes
// that it contains. The transaction has no ID: the rows themselves show whether
// it was committed, and a marker would be one more row to write.
func (c *committer) transaction(batch []*commit) ([]*commit, models.Transaction) {
	var transaction models.Transaction
	var included []*commit
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		value, err := encodeClaim(w.claim)
		if err != nil {
			c.finish(w, commitFailed, models.Row{})
			continue
		}
		included = append(included, w)
		transaction.Basis = max(transaction.Basis, w.basis)
		transaction.Conditions = append(transaction.Conditions, models.Condition{Key: w.key, Revision: w.revision})
		transaction.Writes = append(transaction.Writes, models.Write{Key: w.key, Value: value})
	}
	return included, transaction
}

func (c *committer) transact(transaction models.Transaction) (models.Revision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	return c.table.Transact(ctx, transaction)
}

func (c *committer) read(batch []*commit) (map[models.RowKey]models.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var keys []models.RowKey
	for _, w := range batch {
		keys = append(keys, w.key)
	}
	rows, err := c.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	found := make(map[models.RowKey]models.Row, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found, nil
}

// markWritten finishes the writes of a committed transaction.
func (c *committer) markWritten(batch []*commit, transaction models.Transaction, revision models.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range batch {
		c.finish(w, commitWritten, models.Row{Key: w.key, Revision: revision, Value: transaction.Writes[i].Value})
	}
}

// requeue keeps the writes of a batch that must be retried pending, and fails
// the others.
func (c *committer) requeue(batch []*commit, maybeWritten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		w.inFlight = false
		w.maybeWritten = w.maybeWritten || maybeWritten
		if !w.persistent && !w.maybeWritten {
			c.finish(w, commitFailed, models.Row{})
			continue
		}
		w.convertToRelease()
	}
}

// failTied fails the writes of a batch that are tied to an era, after the table has
// returned from an older copy, and returns the others.
func (c *committer) failTied(batch []*commit) []*commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []*commit
	for _, w := range batch {
		if w.basis == 0 || w.maybeWritten {
			others = append(others, w)
			continue
		}
		c.finish(w, commitFailed, models.Row{})
	}
	return others
}

// reconcile compares the writes of a batch with the current rows. Writes that
// took effect or were superseded are settled; the others stay pending.
func (c *committer) reconcile(batch []*commit, rows map[models.RowKey]models.Row, maybeWritten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		row := rows[w.key]
		// A row that cannot be decoded was not written by this commit.
		current, _ := decodeClaim(row.Value)
		own := current.token == w.claim.token && !row.Deleted
		w.inFlight = false
		w.maybeWritten = w.maybeWritten || maybeWritten
		switch {
		case own && current.state == w.claim.state:
			c.finish(w, commitWritten, row)
		case row.Revision == w.revision:
			w.convertToRelease()
		case own:
			w.revision = row.Revision
		case row.Revision == 0 && w.persistent:
			w.revision = 0 // the table has lost the claim, but the outcome still counts
		case w.replaces(row, current):
			w.revision = row.Revision
		default:
			c.finish(w, commitSuperseded, row)
		}
	}
}

// replaces reports whether a write that the table has lost counts more than the
// row of an attempt that has not run.
func (w *commit) replaces(row models.Row, current claimRow) bool {
	if !w.persistent || w.claim.state == claimReleased {
		return false
	}
	return row.Deleted && w.again || !row.Deleted && current.state == claimReleased
}

// finish settles a write. A claim that was written after its request gave up is
// released instead. c.mu must be held.
func (c *committer) finish(w *commit, result commitResult, row models.Row) {
	w.inFlight = false
	if result == commitWritten && w.abandoned && w.claim.state == claimClaimed {
		w.revision = row.Revision
		w.convertToRelease()
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(other *commit) bool { return other == w })
	w.settle(result, row)
}

// convertToRelease turns an abandoned claim into a write that releases it.
func (w *commit) convertToRelease() {
	if w.abandoned && w.claim.state == claimClaimed {
		w.claim.state = claimReleased
		w.persistent = true
		w.basis = 0
	}
}

func (w *commit) settle(result commitResult, row models.Row) {
	if w.settled {
		return
	}
	w.settled = true
	w.result = result
	w.row = row
	close(w.done)
}
