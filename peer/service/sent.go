package service

import (
	"sync"

	"quincewinch/models"
)

// maxSentIDs is the number of IDs that are kept.
const maxSentIDs = 1024

// sentIDs are the IDs of the requests that were sent last. An answer that names one of
// them, and not its own request, belongs to that one; services may also put IDs of their
// own into their answers.
type sentIDs struct {
	mu    sync.Mutex
	known map[models.RequestID]bool
	order [maxSentIDs]models.RequestID
	next  int
}

func newSentIDs() *sentIDs {
	return &sentIDs{known: map[models.RequestID]bool{}}
}

func (s *sentIDs) add(id models.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[id] {
		return
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = id
	s.known[id] = true
	s.next = (s.next + 1) % maxSentIDs
}

func (s *sentIDs) contains(id models.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}
