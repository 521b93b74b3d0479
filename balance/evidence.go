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
	// Evidence returns all that is known and not expired, nil if that is nothing.
	Evidence() *models.CrashEvidence
}

// evidenceSnapshot is the evidence for the load shares of one step. It is taken
// when the first daemon is found that has not confirmed the revision.
type evidenceSnapshot struct {
	log      EvidenceLog
	revision uint64 // 0 if there has never been any evidence
	taken    bool
	evidence *models.CrashEvidence
}

func (e *evidenceSnapshot) get() *models.CrashEvidence {
	if !e.taken {
		e.taken = true
		e.evidence = e.log.Evidence()
	}
	return e.evidence
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
