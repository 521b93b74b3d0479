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
	// claimTimeout bounds the wait of a request for its claim to be written.
	claimTimeout = 2 * time.Second
	// claimClockSkew is added to a holder's deadline to allow for clock skew.
	claimClockSkew = 2 * time.Second
	// claimMinRetention is the minimum time for which a claim is kept after its
	// deadline.
	claimMinRetention = 10 * time.Minute
	// defaultClaimRetention applies if the workspace sets no claim retention, or
	// the request has no workspace.
	defaultClaimRetention = 24 * time.Hour
	// claimPollMin and claimPollMax bound the backoff between two reads of a claim
	// that another daemon holds.
	claimPollMin = 50 * time.Millisecond
	claimPollMax = time.Second
	// maxInlineAnswer is the maximum size of an answer kept in the claim's row.
	// A larger one goes to the object store.
	maxInlineAnswer = 16 << 10 // bytes
	// storeAnswerTimeout bounds one write of a large answer to the object store.
	storeAnswerTimeout = 10 * time.Second
)

// Claims ensures that a request that may not be repeated runs at most once. The
// request is claimed in the platform's table before any byte of it is sent to a
// backend server. The claim's row later holds the answer for the caller's
// retries.
type Claims struct {
	table    ClaimTable
	objects  peer.Objects
	clock    peer.Clock
	timeline peer.Timeline
	daemon   models.DaemonID
	commits  *committer
	memory   *claimMemory

	announcedEra uint64 // in the table's settled row; used by Step only

	mu      sync.Mutex
	local   map[models.RowKey]*localClaim
	storing sync.WaitGroup // outcomes being offloaded and submitted
}

// localClaim is a claim that a request on this daemon holds or is acquiring.
type localClaim struct {
	fingerprint [32]byte
	done        chan struct{}
	outcome     claimRow // final once done is closed
	err         error    // why the claim could not be acquired
}

// NewClaims returns the claims of a daemon. timeout bounds one call to the
// table. The transaction rate is shared with the daemons in reports.
func NewClaims(table ClaimTable, objects peer.Objects, clock peer.Clock, timeline peer.Timeline, daemon models.DaemonID, timeout time.Duration, reports peer.Reports) *Claims {
	return &Claims{
		table:    table,
		objects:  objects,
		clock:    clock,
		timeline: timeline,
		daemon:   daemon,
		commits:  newCommitter(table, clock, timeout, reports),
		memory:   newClaimMemory(clock),
		local:    map[models.RowKey]*localClaim{},
	}
}

// Filter returns the filter that claims requests that may not be repeated.
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

// Flush waits until no outcome of a claimed request is waiting to be stored.
func (c *Claims) Flush(ctx context.Context) error {
	stored := make(chan struct{})
	go func() {
		c.storing.Wait()
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
			return c.acquireAndRun(ctx, e, next, key, local)
		}
		if local.fingerprint != fingerprint(e) {
			return idempotencyMismatch()
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
			return c.answerFrom(ctx, e, local.outcome)
		}
	}
}

// join returns this daemon's claim on a row that is in flight, or registers a
// new one. It reports whether the claim is new.
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

// finish unregisters a local claim and wakes the requests that wait for it.
func (c *Claims) finish(key models.RowKey, local *localClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.local, key)
	close(local.done)
}

// acquireAndRun claims a request and runs it. If another daemon has claimed it,
// it answers from that daemon's claim.
func (c *Claims) acquireAndRun(ctx context.Context, e *Exchange, next Handler, key models.RowKey, local *localClaim) error {
	defer c.finish(key, local)
	held, current, err := c.acquire(ctx, e, key)
	if err != nil {
		if ctx.Err() == nil {
			local.err = err
		}
		return err
	}
	if held == nil {
		local.outcome = current
		return c.answerFrom(ctx, e, current)
	}
	return c.run(ctx, e, next, held, local)
}

// acquire returns the commit of this request's claim once it is written. If
// another attempt holds the claim, it returns a nil commit and the claim row of
// that attempt once that has ended.
func (c *Claims) acquire(ctx context.Context, e *Exchange, key models.RowKey) (*commit, claimRow, error) {
	var revision models.Revision
	for {
		write := &commit{key: key, revision: revision, claim: c.newClaim(e)}
		if e.IdempotencyKey != "" {
			c.observeEra()
			era, settled := c.memory.settledEra()
			if !settled {
				return nil, claimRow{}, storeUnreachable(e)
			}
			write.basis = eraBasis(era)
		}
		result := c.write(ctx, write)
		if result == commitWritten {
			c.remember(write, write.claim)
			c.record(e, "claimed", "the request may not be repeated")
			return write, claimRow{}, nil
		}
		if result != commitSuperseded {
			return nil, claimRow{}, storeUnreachable(e)
		}
		row, current, err := c.awaitOutcome(ctx, e, write.row)
		if err != nil {
			return nil, claimRow{}, err
		}
		if !row.Deleted && current.state != claimReleased {
			return nil, current, nil
		}
		revision = row.Revision
	}
}

func (c *Claims) write(ctx context.Context, write *commit) commitResult {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c.commits.submit(write)
	return c.commits.await(ctx, write)
}

// awaitOutcome polls the row of another attempt until it shows an outcome, or
// until the deadline of its holder has passed.
func (c *Claims) awaitOutcome(ctx context.Context, e *Exchange, row models.Row) (models.Row, claimRow, error) {
	for wait := claimPollMin; ; wait = min(2*wait, claimPollMax) {
		if row.Deleted {
			return row, claimRow{}, nil
		}
		current, err := decodeClaim(row.Value)
		if err != nil {
			return row, claimRow{}, unknownOutcome("the claim cannot be read")
		}
		if current.state == claimReleased {
			return row, current, nil
		}
		if current.fingerprint != fingerprint(e) {
			return row, claimRow{}, idempotencyMismatch()
		}
		if current.state != claimClaimed || c.clock.Now().After(current.deadline.Add(claimClockSkew)) {
			return row, current, nil
		}
		if err := c.clock.Sleep(ctx, wait); err != nil {
			return row, claimRow{}, stillRunning(current.holder)
		}
		row = c.reload(ctx, row)
	}
}

// reload reads a row again. It returns known unchanged if the table does not
// answer.
func (c *Claims) reload(ctx context.Context, known models.Row) models.Row {
	rows, err := c.table.Read(ctx, known.Key)
	if err != nil || len(rows) == 0 {
		return known
	}
	return rows[0]
}

// run passes a claimed request to the next handler and stores its outcome. The
// request continues if its caller disconnects, so that the outcome is known.
func (c *Claims) run(ctx context.Context, e *Exchange, next Handler, held *commit, local *localClaim) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.Deadline)
	defer cancel()
	settle := func(outcome claimRow) {
		local.outcome = outcome
		c.storeOutcome(held, outcome)
		c.record(e, "claim "+string(outcome.state), outcome.evidence)
	}
	recorded := newRecorder(e.Sink, func(answer *answerRecord) {
		outcome := held.claim
		outcome.state = claimDone
		outcome.answer = answer
		settle(outcome)
	})
	e.Sink = recorded
	err := next.Handle(ctx, e)
	e.Sink = recorded.sink
	if !recorded.completed {
		settle(outcomeOfFailure(held.claim, err))
	}
	return err
}

// outcomeOfFailure returns the outcome to store for a claimed request that
// ended without an answer.
func outcomeOfFailure(claim claimRow, err error) claimRow {
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

// storeOutcome writes the outcome of a claim in the background. A large answer
// is first written to the object store.
func (c *Claims) storeOutcome(held *commit, outcome claimRow) {
	c.storing.Go(func() {
		outcome := c.offloadAnswer(outcome)
		c.remember(held, outcome)
		c.commits.submit(&commit{
			key:        held.key,
			revision:   held.row.Revision,
			claim:      outcome,
			persistent: true,
		})
	})
}

// offloadAnswer moves a large answer from the outcome to the object store. If
// that fails, the outcome is returned without an answer.
func (c *Claims) offloadAnswer(outcome claimRow) claimRow {
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
	ctx, cancel := context.WithTimeout(context.Background(), storeAnswerTimeout)
	defer cancel()
	name := "claim-" + outcome.token
	if err := c.objects.Put(ctx, name, raw); err != nil {
		return outcome
	}
	outcome.object = name
	return outcome
}

// answerFrom answers a request from the claim of an earlier attempt.
func (c *Claims) answerFrom(ctx context.Context, e *Exchange, outcome claimRow) error {
	switch outcome.state {
	case claimDone:
		return c.replay(ctx, e, outcome)
	case claimUnknown:
		return unknownOutcome(outcome.evidence)
	}
	return unknownOutcome("daemon " + string(outcome.holder) + " claimed it at " +
		outcome.claimedAt.UTC().Format(time.RFC3339) + " and has recorded no outcome")
}

// replay delivers the stored answer of an earlier attempt.
func (c *Claims) replay(ctx context.Context, e *Exchange, outcome claimRow) error {
	if outcome.answer == nil && outcome.object != "" {
		raw, err := c.objects.Get(ctx, outcome.object)
		if err != nil {
			return answerUnavailable("its answer cannot be read now", staleRetryAfter)
		}
		if outcome.answer, err = decodeAnswer(raw); err != nil {
			return answerUnavailable("its answer cannot be read", 0)
		}
	}
	if outcome.answer == nil {
		return answerUnavailable("its answer was too large to be kept", 0)
	}
	c.record(e, "answer given again", "the request's first attempt has run")
	return replay(ctx, e, outcome.answer)
}

func (c *Claims) newClaim(e *Exchange) claimRow {
	now := c.clock.Now()
	retention := e.Workspace.ClaimRetention
	if retention <= 0 {
		retention = defaultClaimRetention
	}
	expires := now.Add(retention)
	if floor := e.Deadline.Add(claimMinRetention); expires.Before(floor) {
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

// claimKey returns the key of the row that claims a request.
func claimKey(e *Exchange) models.RowKey {
	name := "request/" + string(e.ID)
	if e.IdempotencyKey != "" {
		hash := sha256.Sum256([]byte(e.IdempotencyKey))
		name = "key/" + string(e.Workspace.Name) + "/" + hex.EncodeToString(hash[:])
	}
	return models.RowKey{Partition: models.PartitionClaims, Name: name}
}

// fingerprint returns a hash of a request's route, call and body. It tells
// requests under the same idempotency key apart.
func fingerprint(e *Exchange) [32]byte {
	h := sha256.New()
	_, _ = h.Write([]byte(e.RouteName + "\x00"))
	if e.Call != nil {
		_, _ = h.Write([]byte(e.Call.Method + "\x00" + e.Call.Path + "\x00"))
	}
	_, _ = h.Write(e.BodyHash[:])
	return [32]byte(h.Sum(nil))
}
