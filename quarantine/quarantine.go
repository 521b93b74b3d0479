// Package quarantine keeps requests from backend servers that would crash them. A prompt
// part that is found to crash engines, or a request that crashes backend servers each
// time that it comes, is blocked at all daemons, for a while and then until a single
// request with it, a probe, has been answered. A request as a whole counts as one more
// part of its own. What the daemons have seen travels with their load shares. Crashes and
// blocks are also kept in the platform's store, for the loss of all daemons.
package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/blame"
	"quincewinch/relay"
)

const (
	// settleTime is the time after which a crash counts. By then the other daemons have
	// reported which of their requests it broke off.
	settleTime = 200 * time.Millisecond
	// evidenceRetention is how long crashes and answers are remembered.
	evidenceRetention = 10 * time.Minute
	// maxFindings bounds the parts that one evaluation blocks. A block may make others
	// unfounded, and these may be found again.
	maxFindings = 8
	// maxServedParts bounds each of the two generations of parts that are known to
	// have been served, maxServedRequests likewise those of requests.
	maxServedParts    = 32_768
	maxServedRequests = 1024
)

// Peers lists the other daemons, live or not.
type Peers interface {
	Others() map[models.DaemonID]models.Peer
}

// Quarantine holds what is known of prompt parts that crash engines. It implements
// relay.Guard and balance.EvidenceLog.
type Quarantine struct {
	self   models.DaemonID
	peers  Peers
	clock  peer.Clock
	logger *zap.Logger

	mu             sync.Mutex
	served         servedParts
	servedRequests servedParts
	responses      map[models.EngineID]response // the last of each engine
	crashes        []*crash                     // in order of time
	suspected      map[models.PartID]time.Time  // last crash with each part
	sound          map[models.PartID]time.Time  // begin of the last answer to a suspected part
	soundRevisions map[models.PartID]uint64     // of the last changes of sound
	blocks         map[models.PartID]*block
	evaluateAt     time.Time // when a crash begins to count; zero: none will
	latest         uint64    // revision of the last change
	own            uint64    // revision of the last change that this daemon observed
}

// response is a sign of life of a process of an engine.
type response struct {
	started time.Time // the process, as registered when the request was sent
	sentAt  time.Time // the request
	at      time.Time
}

// New returns a quarantine that knows of no crash.
func New(self models.DaemonID, peers Peers, clock peer.Clock, logger *zap.Logger) *Quarantine {
	return &Quarantine{
		self:           self,
		peers:          peers,
		clock:          clock,
		logger:         logger,
		served:         newServedParts(maxServedParts),
		servedRequests: newServedParts(maxServedRequests),
		responses:      map[models.EngineID]response{},
		suspected:      map[models.PartID]time.Time{},
		sound:          map[models.PartID]time.Time{},
		soundRevisions: map[models.PartID]uint64{},
		blocks:         map[models.PartID]*block{},
	}
}

// Admit implements relay.Guard.
func (q *Quarantine) Admit(request models.RequestID, prompt models.Prompt, identity *relay.Identity) *models.Refusal {
	if !q.hasEvidence() {
		return nil
	}
	parts := suspects(prompt, identity)
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate(now)
	for _, part := range parts {
		b, ok := q.blocks[part.ID]
		if !ok || q.admits(b, requestHash(request), now) {
			continue
		}
		return &models.Refusal{
			Code:       models.RefusalQuarantined,
			Message:    "backend servers have crashed on " + b.subject(),
			NotRun:     true,
			RetryAfter: max(b.until().Sub(now), probeInterval),
		}
	}
	return nil
}

// hasEvidence reports whether anything has crashed or is blocked. Without that, requests
// need not be identified.
func (q *Quarantine) hasEvidence() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.crashes) > 0 || len(q.blocks) > 0
}

// suspects returns what a request may be blocked for: the parts of its prompt that
// others may share, and the whole.
func suspects(prompt models.Prompt, identity *relay.Identity) []models.SuspectPart {
	shared := prompt.SharedParts()
	parts := make([]models.SuspectPart, 0, len(shared)+1)
	for _, part := range shared {
		parts = append(parts, models.SuspectPart{ID: part})
	}
	if identity != nil {
		parts = append(parts, models.SuspectPart{ID: identity.ID(), Whole: true})
	}
	return parts
}

// Blocked returns the numbers of blocked prompt parts and of blocked requests.
func (q *Quarantine) Blocked() (parts, requests int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.blocks {
		if b.whole {
			requests++
		}
	}
	return len(q.blocks) - requests, requests
}

// Revision implements balance.EvidenceLog.
func (q *Quarantine) Revision() (latest, own uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.latest, q.own
}

// Settle evaluates the crashes that count by now, also while no request arrives.
func (q *Quarantine) Settle() {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evaluate(now)
}

// evaluate blocks the parts that the crashes are to be blamed on. The caller must
// hold q.mu.
func (q *Quarantine) evaluate(now time.Time) {
	if q.evaluateAt.IsZero() || now.Before(q.evaluateAt) {
		return
	}
	q.evaluateAt = time.Time{}
	settled, next := q.settled(now)
	if !next.IsZero() {
		q.evaluateNoLaterThan(next)
	}
	for range maxFindings {
		finding, ok := blame.Find(settled, q.sound, q.blocked)
		if !ok {
			return
		}
		q.block(finding, now)
		q.dropUnfounded(now)
	}
}

// blocked reports whether a part is blocked. The caller must hold q.mu.
func (q *Quarantine) blocked(part models.PartID) bool {
	return q.blocks[part] != nil
}

// settled returns the crashes that count, and when the next one does; zero if none
// will. The caller must hold q.mu.
func (q *Quarantine) settled(now time.Time) (list []blame.Crash, next time.Time) {
	for _, c := range q.crashes {
		if c.refuted {
			continue
		}
		if counts := c.At.Add(settleTime); !now.Before(counts) {
			list = append(list, c.Crash)
		} else if next.IsZero() || counts.Before(next) {
			next = counts
		}
	}
	return list, next
}

func (q *Quarantine) evaluateNoLaterThan(at time.Time) {
	if q.evaluateAt.IsZero() || at.Before(q.evaluateAt) {
		q.evaluateAt = at
	}
}

// changed notes a change and returns its revision. Observed is set if this daemon has
// seen it itself, rather than learned it from another. The caller must hold q.mu.
func (q *Quarantine) changed(observed bool) uint64 {
	q.latest++
	if observed {
		q.own = q.latest
	}
	return q.latest
}

func requestHash(id models.RequestID) models.RequestHash {
	return models.RequestHash(xxhash.Sum64String(string(id)))
}

var _ relay.Guard = (*Quarantine)(nil)
