package request

import (
	"context"
	"strconv"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// restoreReach bounds the age of the copy that the table may return from.
	restoreReach = time.Minute
	// restoreNoticeTime bounds the time from such a return until a daemon that
	// reaches the table knows of it and has written its claims again. Until then no
	// request with an idempotency key is claimed.
	restoreNoticeTime = 10 * time.Second
	// maxRememberedClaims is the maximum number of claims kept to be written again.
	maxRememberedClaims = 4096
)

// ClaimTable is the table that requests are claimed in.
type ClaimTable interface {
	peer.Table
	// Era returns the latest era of the table that is known here, 0 if none is.
	Era() uint64
}

// claimMemory holds the claims that this daemon has written lately, and the era
// of the table that new claims may be written in. The table may return from an
// older copy without some of them.
type claimMemory struct {
	clock peer.Clock

	mu        sync.Mutex
	era       uint64
	settledAt time.Time // when the claims of other daemons are back
	settled   bool
	claims    map[models.RowKey]rememberedClaim
}

// rememberedClaim is the latest row of a claim.
type rememberedClaim struct {
	row       claimRow
	writtenAt time.Time
}

func newClaimMemory(clock peer.Clock) *claimMemory {
	return &claimMemory{clock: clock, settled: true, claims: map[models.RowKey]rememberedClaim{}}
}

// remember keeps a claim until no copy of the table can lack it, and returns the
// era of the table. A released claim is dropped, since its request has not run.
func (m *claimMemory) remember(key models.RowKey, row claimRow) (era uint64) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if row.state == claimReleased {
		delete(m.claims, key)
		return m.era
	}
	if len(m.claims) >= maxRememberedClaims {
		m.dropOldest()
	}
	m.claims[key] = rememberedClaim{row: row, writtenAt: now}
	return m.era
}

// dropOldest drops the claim that was written first. The caller holds m.mu.
func (m *claimMemory) dropOldest() {
	var oldest models.RowKey
	var since time.Time
	for key, claim := range m.claims {
		if since.IsZero() || claim.writtenAt.Before(since) {
			oldest, since = key, claim.writtenAt
		}
	}
	delete(m.claims, oldest)
}

// prune drops claims that every copy of the table has.
func (m *claimMemory) prune() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, claim := range m.claims {
		if m.clock.Now().Sub(claim.writtenAt) > restoreReach+restoreNoticeTime {
			delete(m.claims, key)
		}
	}
}

// observe records the era of the table. It returns the claims to be written again
// if the table has returned from an older copy.
func (m *claimMemory) observe(era uint64) map[models.RowKey]claimRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era <= m.era {
		return nil
	}
	m.era = era
	m.settled = false
	m.settledAt = m.clock.Now().Add(restoreNoticeTime)
	claims := map[models.RowKey]claimRow{}
	for key, claim := range m.claims {
		claims[key] = claim.row
	}
	return claims
}

// settledEra returns the era of the table, and whether the claims of other
// daemons are back in it.
func (m *claimMemory) settledEra() (era uint64, settled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settled = m.settled || !m.clock.Now().Before(m.settledAt)
	return m.era, m.settled
}

// settle ends the wait in an era early.
func (m *claimMemory) settle(era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settled = m.settled || era == m.era
}

// settledKey is the key of the row that names the latest era in which a daemon has
// waited until the claims of the others are back. A daemon that starts later need
// not wait.
var settledKey = models.RowKey{Partition: models.PartitionClaims, Name: "settled"}

// Step follows the era of the table.
func (c *Claims) Step(ctx context.Context) {
	c.memory.prune()
	c.observeEra()
	era, settled := c.memory.settledEra()
	if era == c.announcedEra {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rows, err := c.table.Read(ctx, settledKey)
	if err != nil {
		return // the next step tries again
	}
	var revision models.Revision
	if len(rows) > 0 {
		revision = rows[0].Revision
		if string(rows[0].Value) == strconv.FormatUint(era, 10) {
			c.memory.settle(era)
			c.announcedEra = era
			return
		}
	}
	if !settled {
		return
	}
	// If this fails, the next step finds the row of another daemon or tries again.
	_, _ = c.table.Transact(ctx, models.Transaction{
		Basis:      eraBasis(era),
		Conditions: []models.Condition{{Key: settledKey, Revision: revision}},
		Writes:     []models.Write{{Key: settledKey, Value: []byte(strconv.FormatUint(era, 10))}},
	})
}

// remember keeps the latest row of a claim that a retry may ask for. If the table
// has returned from an older copy since the claim was submitted, it is written again.
func (c *Claims) remember(held *commit, row claimRow) {
	if held.basis == 0 {
		return
	}
	if era := c.memory.remember(held.key, row); era != held.basis.Era() && row.state == claimClaimed {
		c.commits.submit(&commit{key: held.key, claim: row, persistent: true, again: true})
	}
}

// observeEra writes claims again if the table has returned from an older copy.
func (c *Claims) observeEra() {
	for key, row := range c.memory.observe(c.table.Era()) {
		c.commits.submit(&commit{key: key, claim: row, persistent: true, again: true})
	}
}

// eraBasis returns the basis of a transaction that may only be committed in an
// era.
func eraBasis(era uint64) models.Revision {
	return models.NewRevision(era, 1)
}
