package balance

import (
	"time"

	"quincewinch/models"
)

// urgentEvidenceTime is how long evidence that this daemon observed is sent at
// urgentShareInterval to daemons that have not confirmed it. Later they get it with
// the regular load shares.
const urgentEvidenceTime = maxShareInterval

// EvidenceLog is what this daemon knows of prompt parts that crash engines.
type EvidenceLog interface {
	// Revision rises with each change. Own is the revision of the last change that
	// this daemon observed itself, rather than learned from others.
	Revision() (latest, own uint64)
	// Evidence returns what is known, not expired and has changed since a revision, nil
	// if nothing is known.
	Evidence(since uint64) *models.CrashEvidence
}

// evidenceSnapshot is the evidence for the load shares of one step. It is taken
// when a daemon is found that has not confirmed the revision.
type evidenceSnapshot struct {
	log      EvidenceLog
	revision uint64 // 0 if there has never been any evidence
	taken    map[uint64]*models.CrashEvidence
}

// get returns the evidence for a daemon that has confirmed a revision.
func (e *evidenceSnapshot) get(confirmed uint64) *models.CrashEvidence {
	evidence, ok := e.taken[confirmed]
	if !ok {
		evidence = e.log.Evidence(confirmed)
		if e.taken == nil {
			e.taken = map[uint64]*models.CrashEvidence{}
		}
		e.taken[confirmed] = evidence
	}
	return evidence
}

// evidenceUrgent reports whether evidence that this daemon observed is to be sent
// soon: it is new, or a share with it got lost or was skipped.
func (s *Sharer) evidenceUrgent(own uint64, now time.Time) bool {
	if own != s.ownEvidence {
		return true
	}
	return own > 0 && now.Sub(s.ownEvidenceAt) < urgentEvidenceTime && s.lacksEvidence(own)
}

// lacksEvidence reports whether a daemon that the last load share was sent to, and
// to which no share is in flight, has not confirmed a revision.
func (s *Sharer) lacksEvidence(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.lastPeers {
		if !s.inFlight[id] && s.cursors[id].evidence < revision {
			return true
		}
	}
	return false
}
