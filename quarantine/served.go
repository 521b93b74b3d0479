package quarantine

import (
	"time"

	"quincewinch/models"
)

// servedParts remembers which parts were served lately, and when the last answer
// began. It keeps two generations of up to limit parts each.
type servedParts struct {
	limit         int
	young, former map[models.PartID]time.Time
}

func newServedParts(limit int) servedParts {
	return servedParts{limit: limit, young: map[models.PartID]time.Time{}}
}

func (s *servedParts) add(part models.PartID, begun time.Time) {
	if last, ok := s.last(part); ok && last.After(begun) {
		begun = last
	}
	if len(s.young) >= s.limit {
		s.former = s.young
		s.young = make(map[models.PartID]time.Time, s.limit)
	}
	s.young[part] = begun
}

// last returns when the last answer to a request with the part began.
func (s *servedParts) last(part models.PartID) (time.Time, bool) {
	if at, ok := s.young[part]; ok {
		return at, true
	}
	at, ok := s.former[part]
	return at, ok
}
