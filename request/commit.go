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
	// commitInterval is the mean time between two transactions of all daemons
	// together at the least: the platform takes several hundred writes a
	// second, and claims are not all of them. After a quiet time a daemon may
	// commit commitBurst of them without a wait.
	commitInterval = 5 * time.Millisecond
	commitBurst    = 20
	// commitBatch is the greatest number of rows in a transaction.
	commitBatch = 64
	// commitBackoff is the wait after a transaction that met no store; it
	// doubles up to commitBackoffMax while outcomes alone wait.
	commitBackoff    = 250 * time.Millisecond
	commitBackoffMax = time.Second
	// commitPending is how many outcomes wait for the store at the most.
	commitPending = 4096
	// commitKeep is how long an outcome waits for the store.
	commitKeep = 10 * time.Minute
)

// settlement tells how a conditional write of a claim's row ended.
type settlement string

const (
	settlementWon    settlement = "won"    // the row says what was written
	settlementLost   settlement = "lost"   // another write stands
	settlementFailed settlement = "failed" // nothing was written and never will be
	settlementUnsure settlement = "unsure" // given up on; it is released as soon as the store answers
)

// commit is one conditional write of a claim's row.
type commit struct {
	key      models.RowKey
	revision models.Revision // where the row must be
	claim    claimRow
	lasting  bool // tried until the store takes it
	since    time.Time
	unsure   bool // an earlier attempt may have been written
	taken    bool // part of the transaction under way
	givenUp  bool // nobody waits for it any more

	ended  bool
	done   chan struct{}
	result settlement
	row    models.Row // the row as it stands, where won or lost
}

// committer groups conditional writes into transactions. A write of which the
// outcome is unknown is repeated under the same condition until the row shows
// who has it, so that a late effect of an earlier attempt can do no harm.
type committer struct {
	table   peer.Table
	clock   peer.Clock
	timeout time.Duration // of one call of the table
	reports peer.Reports  // of the other daemons, which share the rate

	mu      sync.Mutex
	pending []*commit
	running bool
	idle    chan struct{} // closed while nothing is pending
	hurry   chan struct{} // a request waits for its claim

	free time.Time // when all of a burst's transactions would be paid off
}

func newCommitter(table peer.Table, clock peer.Clock, timeout time.Duration, reports peer.Reports) *committer {
	idle := make(chan struct{})
	close(idle)
	return &committer{table: table, clock: clock, timeout: timeout, reports: reports, idle: idle, hurry: make(chan struct{}, 1)}
}

// submit hands over a write; it is settled when its done is closed.
func (c *committer) submit(w *commit) {
	w.done = make(chan struct{})
	w.since = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, w)
	c.shed()
	if !w.lasting {
		select {
		case c.hurry <- struct{}{}:
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

// await waits until a write is settled, or gives up on it when ctx ends.
func (c *committer) await(ctx context.Context, w *commit) settlement {
	select {
	case <-w.done:
		return w.result
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case w.ended:
		return w.result
	case !w.taken && !w.unsure:
		c.pending = slices.DeleteFunc(c.pending, func(other *commit) bool { return other == w })
		w.end(settlementFailed, models.Row{})
		return settlementFailed
	}
	w.givenUp = true
	return settlementUnsure
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

// shed drops the oldest lasting writes over the limit. The lock is held.
func (c *committer) shed() {
	for len(c.pending) > commitPending {
		oldest := slices.IndexFunc(c.pending, func(w *commit) bool { return w.lasting && !w.taken })
		if oldest < 0 {
			return
		}
		c.pending[oldest].end(settlementFailed, models.Row{})
		c.pending = slices.Delete(c.pending, oldest, oldest+1)
	}
}

func (c *committer) run() {
	backoff := commitBackoff
	for {
		batch := c.take()
		if len(batch) == 0 {
			return
		}
		if c.settle(batch) {
			backoff = commitBackoff
		} else {
			c.rest(backoff)
			backoff = min(2*backoff, commitBackoffMax)
		}
		c.pace()
	}
}

// pace waits until one more transaction keeps within the mean rate.
func (c *committer) pace() {
	now := c.clock.Now()
	if c.free.Before(now) {
		c.free = now
	}
	interval := commitInterval * time.Duration(1+len(c.reports.Reports()))
	c.free = c.free.Add(interval)
	if early := c.free.Sub(now) - commitBurst*interval; early > 0 {
		_ = c.clock.Sleep(context.Background(), early)
	}
}

// rest waits for d, or until a request waits for its claim.
func (c *committer) rest(d time.Duration) {
	timer := c.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-c.hurry:
	}
}

// take chooses the writes of the next transaction: those that a request waits
// for first, and at most one of a row.
func (c *committer) take() []*commit {
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
	for _, lasting := range []bool{false, true} {
		for _, w := range c.pending {
			if w.lasting == lasting && !keys[w.key] && len(batch) < commitBatch {
				w.taken = true
				keys[w.key] = true
				batch = append(batch, w)
			}
		}
	}
	return batch
}

// expire drops lasting writes that have waited too long. The lock is held.
func (c *committer) expire() {
	oldest := c.clock.Now().Add(-commitKeep)
	c.pending = slices.DeleteFunc(c.pending, func(w *commit) bool {
		late := w.lasting && w.since.Before(oldest)
		if late {
			w.end(settlementFailed, models.Row{})
		}
		return late
	})
}

// settle commits a batch and reports whether the store answered.
func (c *committer) settle(batch []*commit) bool {
	batch, transaction := c.transaction(batch)
	if len(batch) == 0 {
		return true
	}
	revision, err := c.transact(transaction)
	switch {
	case err == nil:
		c.won(batch, transaction, revision)
		return true
	case peer.OutcomeOf(err) == peer.OutcomeNotDone, peer.OutcomeOf(err) == peer.OutcomeRefused:
		c.again(batch, false)
		return false
	}
	// Conflict or unknown: the rows tell which writes stand.
	rows, readErr := c.read(batch)
	if readErr != nil {
		c.again(batch, peer.OutcomeOf(err) != peer.OutcomeConflict)
		return false
	}
	c.compare(batch, rows, peer.OutcomeOf(err) != peer.OutcomeConflict)
	return true
}

// transaction returns the transaction of a batch, and the writes in it. It has
// no identity: the rows themselves show whether it was committed, and a marker
// would be one more row to write.
func (c *committer) transaction(batch []*commit) ([]*commit, models.Transaction) {
	var transaction models.Transaction
	var kept []*commit
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		value, err := encodeClaim(w.claim)
		if err != nil {
			c.finish(w, settlementFailed, models.Row{})
			continue
		}
		kept = append(kept, w)
		transaction.Conditions = append(transaction.Conditions, models.Condition{Key: w.key, Revision: w.revision})
		transaction.Writes = append(transaction.Writes, models.Write{Key: w.key, Value: value})
	}
	return kept, transaction
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

func (c *committer) won(batch []*commit, transaction models.Transaction, revision models.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range batch {
		c.finish(w, settlementWon, models.Row{Key: w.key, Revision: revision, Value: transaction.Writes[i].Value})
	}
}

// again puts a batch back where it may yet be written, and fails the rest.
func (c *committer) again(batch []*commit, unsure bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		w.taken = false
		w.unsure = w.unsure || unsure
		if !w.lasting && !w.unsure {
			c.finish(w, settlementFailed, models.Row{})
			continue
		}
		w.release()
	}
}

func (c *committer) compare(batch []*commit, rows map[models.RowKey]models.Row, unsure bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		row := rows[w.key]
		// A row that cannot be decoded is another's.
		standing, _ := decodeClaim(row.Value)
		mine := standing.token == w.claim.token && !row.Deleted
		w.taken = false
		w.unsure = w.unsure || unsure
		switch {
		case mine && standing.state == w.claim.state:
			c.finish(w, settlementWon, row)
		case row.Revision == w.revision:
			w.release()
		case mine:
			w.revision = row.Revision
		default:
			c.finish(w, settlementLost, row)
		}
	}
}

// finish ends a write. One that was won for nobody is released. The lock is
// held.
func (c *committer) finish(w *commit, result settlement, row models.Row) {
	w.taken = false
	if result == settlementWon && w.givenUp && w.claim.state == claimClaimed {
		w.revision = row.Revision
		w.release()
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(other *commit) bool { return other == w })
	w.end(result, row)
}

// release turns a claim that was given up on into its release.
func (w *commit) release() {
	if w.givenUp && w.claim.state == claimClaimed {
		w.claim.state = claimReleased
		w.lasting = true
	}
}

func (w *commit) end(result settlement, row models.Row) {
	if w.ended {
		return
	}
	w.ended = true
	w.result = result
	w.row = row
	close(w.done)
}
