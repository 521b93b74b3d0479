package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// claimTimeout is how long a request waits for its claim to be written.
	claimTimeout = 2 * time.Second
	// claimGrace is added to a holder's deadline for the clocks' differences.
	claimGrace = 2 * time.Second
	// claimFloor is how long a claim stands past its deadline at the least.
	claimFloor = 10 * time.Minute
	// claimRetention is that of a request without a workspace.
	claimRetention = 24 * time.Hour
	// claimPoll and claimPollMax bound the wait between two reads of a claim
	// that another daemon holds.
	claimPoll    = 50 * time.Millisecond
	claimPollMax = time.Second
	// maxInlineAnswer is the greatest answer kept in the claim's row.
	maxInlineAnswer = 16 << 10 // bytes
	// outcomeTimeout bounds the storing of one large answer.
	outcomeTimeout = 10 * time.Second
)

// Claims runs requests that may not be repeated at most once. Each is claimed
// in the platform's table before a byte of it goes to a backend server; the
// claim's row later keeps its answer for those who ask again.
type Claims struct {
	table    peer.Table
	objects  peer.Objects
	clock    peer.Clock
	timeline peer.Timeline
	daemon   models.DaemonID
	commits  *committer

	mu    sync.Mutex
	local map[models.RowKey]*localClaim
	group sync.WaitGroup // outcomes on their way to the store
}

// localClaim is a claim that a request of this daemon holds or seeks.
type localClaim struct {
	fingerprint [32]byte
	done        chan struct{}
	outcome     claimRow // set once done is closed
	err         error    // why it could not be claimed
}

// NewClaims returns claims of a daemon. Timeout bounds one call of the table;
// the daemons of reports share the rate of transactions.
func NewClaims(table peer.Table, objects peer.Objects, clock peer.Clock, timeline peer.Timeline, daemon models.DaemonID, timeout time.Duration, reports peer.Reports) *Claims {
	return &Claims{
		table:    table,
		objects:  objects,
		clock:    clock,
		timeline: timeline,
		daemon:   daemon,
		commits:  newCommitter(table, clock, timeout, reports),
		local:    map[models.RowKey]*localClaim{},
	}
}

// Filter returns the filter that claims requests which may not be repeated.
func (c *Claims) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if e.Repeatable() {
				return next.Handle(ctx, e)
			}
			return c.handle(ctx, e, next)
		})
	}
}

// Flush waits until the outcomes of claimed requests are in the store.
func (c *Claims) Flush(ctx context.Context) error {
	stored := make(chan struct{})
	go func() {
		c.group.Wait()
		close(stored)
	}()
	select {
	case <-stored:
		return c.commits.flush(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Claims) handle(ctx context.Context, e *Exchange, next Handler) error {
	key := claimKey(e)
	for {
		local, first := c.join(key, fingerprint(e))
		if first {
			return c.lead(ctx, e, next, key, local)
		}
		if local.fingerprint != fingerprint(e) {
			return mismatch()
		}
		select {
		case <-local.done:
		case <-ctx.Done():
			return stillRunning(c.daemon)
		}
		if local.err != nil {
			return local.err
		}
		if local.outcome.state != claimReleased {
			return c.answer(ctx, e, local.outcome)
		}
	}
}

// join returns the claim that this daemon has under way for a row, or makes
// the caller the first.
func (c *Claims) join(key models.RowKey, fingerprint [32]byte) (*localClaim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local, ok := c.local[key]; ok {
		return local, false
	}
	local := &localClaim{
		fingerprint: fingerprint,
		done:        make(chan struct{}),
		outcome:     claimRow{state: claimReleased},
	}
	c.local[key] = local
	return local, true
}

func (c *Claims) leave(key models.RowKey, local *localClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.local, key)
	close(local.done)
}

// lead claims a request and runs it, or finds the answer of another daemon.
func (c *Claims) lead(ctx context.Context, e *Exchange, next Handler, key models.RowKey, local *localClaim) error {
	defer c.leave(key, local)
	held, standing, err := c.acquire(ctx, e, key)
	if err != nil {
		if ctx.Err() == nil {
			local.err = err
		}
		return err
	}
	if held == nil {
		local.outcome = standing
		return c.answer(ctx, e, standing)
	}
	return c.run(ctx, e, next, held, local)
}

// acquire returns the claim once it is won, or the row of another attempt
// that has ended.
func (c *Claims) acquire(ctx context.Context, e *Exchange, key models.RowKey) (*commit, claimRow, error) {
	var revision models.Revision
	for {
		write := &commit{key: key, revision: revision, claim: c.newClaim(e)}
		result := c.write(ctx, write)
		if result == settlementWon {
			c.record(e, "claimed", "the request may not be repeated")
			return write, claimRow{}, nil
		}
		if result != settlementLost {
			return nil, claimRow{}, storeUnreachable(e)
		}
		row, standing, err := c.watch(ctx, e, write.row)
		if err != nil {
			return nil, claimRow{}, err
		}
		if !row.Deleted && standing.state != claimReleased {
			return nil, standing, nil
		}
		revision = row.Revision
	}
}

func (c *Claims) write(ctx context.Context, write *commit) settlement {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c.commits.submit(write)
	return c.commits.await(ctx, write)
}

// watch waits until the row of another attempt shows how that one ended.
func (c *Claims) watch(ctx context.Context, e *Exchange, row models.Row) (models.Row, claimRow, error) {
	for wait := claimPoll; ; wait = min(2*wait, claimPollMax) {
		if row.Deleted {
			return row, claimRow{}, nil
		}
		standing, err := decodeClaim(row.Value)
		if err != nil {
			return row, claimRow{}, unknownOutcome("the claim cannot be read")
		}
		if standing.state == claimReleased {
			return row, standing, nil
		}
		if standing.fingerprint != fingerprint(e) {
			return row, claimRow{}, mismatch()
		}
		if standing.state != claimClaimed || c.clock.Now().After(standing.deadline.Add(claimGrace)) {
			return row, standing, nil
		}
		if err := c.clock.Sleep(ctx, wait); err != nil {
			return row, claimRow{}, stillRunning(standing.holder)
		}
		row = c.reread(ctx, row)
	}
}

// reread returns the row as it stands, or as it was known where the store
// does not answer.
func (c *Claims) reread(ctx context.Context, known models.Row) models.Row {
	rows, err := c.table.Read(ctx, known.Key)
	if err != nil || len(rows) == 0 {
		return known
	}
	return rows[0]
}

// run sends a claimed request on. It goes on without its caller, so that its
// outcome becomes known.
func (c *Claims) run(ctx context.Context, e *Exchange, next Handler, held *commit, local *localClaim) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.Deadline)
	defer cancel()
	settle := func(outcome claimRow) {
		local.outcome = outcome
		c.store(held, outcome)
		c.record(e, "claim "+string(outcome.state), outcome.evidence)
	}
	kept := newRecorder(e.Sink, func(answer *answerRecord) {
		outcome := held.claim
		outcome.state = claimDone
		outcome.answer = answer
		settle(outcome)
	})
	e.Sink = kept
	err := next.Handle(ctx, e)
	e.Sink = kept.sink
	if !kept.ended {
		settle(failed(held.claim, err))
	}
	return err
}

// failed returns the outcome of a claimed request that got no answer.
func failed(claim claimRow, err error) claimRow {
	if err == nil {
		claim.state = claimUnknown
		claim.evidence = "the first attempt ended without an answer"
		return claim
	}
	refusal := refusalOf(err)
	if refusal.NotRun {
		claim.state = claimReleased
		return claim
	}
	claim.state = claimUnknown
	claim.evidence = "the first attempt ended with " + refusal.Error()
	if refusal.Evidence != "" {
		claim.evidence += "; " + refusal.Evidence
	}
	return claim
}

// store writes the outcome of a claim, a large answer to the object store
// first.
func (c *Claims) store(held *commit, outcome claimRow) {
	c.group.Go(func() {
		c.commits.submit(&commit{
			key:      held.key,
			revision: held.row.Revision,
			claim:    c.outsource(outcome),
			lasting:  true,
		})
	})
}

// outsource puts a large answer into the object store.
func (c *Claims) outsource(outcome claimRow) claimRow {
	if outcome.answer == nil {
		return outcome
	}
	raw, err := encodeAnswer(*outcome.answer)
	if err == nil && len(raw) <= maxInlineAnswer {
		return outcome
	}
	outcome.answer = nil
	if err != nil {
		return outcome
	}
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	name := "claim-" + outcome.token
	if err := c.objects.Put(ctx, name, raw); err != nil {
		return outcome
	}
	outcome.object = name
	return outcome
}

// answer answers a request whose first attempt has ended.
func (c *Claims) answer(ctx context.Context, e *Exchange, outcome claimRow) error {
	switch outcome.state {
	case claimDone:
		return c.replay(ctx, e, outcome)
	case claimUnknown:
		return unknownOutcome(outcome.evidence)
	}
	return unknownOutcome("daemon " + string(outcome.holder) + " claimed it at " +
		outcome.claimedAt.UTC().Format(time.RFC3339) + " and has recorded no outcome")
}

func (c *Claims) replay(ctx context.Context, e *Exchange, outcome claimRow) error {
	if outcome.answer == nil && outcome.object != "" {
		raw, err := c.objects.Get(ctx, outcome.object)
		if err != nil {
			return answerLost("its answer cannot be read now", staleRetryAfter)
		}
		if outcome.answer, err = decodeAnswer(raw); err != nil {
			return answerLost("its answer cannot be read", 0)
		}
	}
	if outcome.answer == nil {
		return answerLost("its answer was too large to be kept", 0)
	}
	c.record(e, "answer given again", "the request's first attempt has run")
	return replay(ctx, e, outcome.answer)
}

func (c *Claims) newClaim(e *Exchange) claimRow {
	now := c.clock.Now()
	retention := e.Workspace.ClaimRetention
	if retention <= 0 {
		retention = claimRetention
	}
	expires := now.Add(retention)
	if floor := e.Deadline.Add(claimFloor); expires.Before(floor) {
		expires = floor
	}
	return claimRow{
		token:       string(c.daemon) + "-" + string(e.ID),
		holder:      c.daemon,
		fingerprint: fingerprint(e),
		state:       claimClaimed,
		claimedAt:   now,
		deadline:    e.Deadline,
		expires:     expires,
	}
}

func (c *Claims) record(e *Exchange, what, why string) {
	c.timeline.Record(models.Event{
		Kind:      models.EventClaim,
		Request:   e.ID,
		Workspace: e.Workspace.Name,
		What:      what,
		Why:       why,
	})
}

// claimKey names the row of a request that may not be repeated.
func claimKey(e *Exchange) models.RowKey {
	name := "request/" + string(e.ID)
	if e.IdempotencyKey != "" {
		hash := sha256.Sum256([]byte(e.IdempotencyKey))
		name = "key/" + string(e.Workspace.Name) + "/" + hex.EncodeToString(hash[:])
	}
	return models.RowKey{Partition: models.PartitionClaims, Name: name}
}

// fingerprint tells requests under the same idempotency key apart.
func fingerprint(e *Exchange) [32]byte {
	h := sha256.New()
	_, _ = h.Write([]byte(e.RouteName + "\x00"))
	if e.Call != nil {
		_, _ = h.Write([]byte(e.Call.Method + "\x00" + e.Call.Path + "\x00"))
	}
	_, _ = h.Write(e.BodyHash[:])
	return [32]byte(h.Sum(nil))
}
