package balance

import (
	"time"

	"quincewinch/models"
)

// Answered implements relay.Placer.
func (b *Balancer) Answered(server models.Upstream, statement models.ServerStatement, sentAt time.Time) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[server.ID]
	if !ok && b.registered(server) {
		s, ok = b.stateOf(server), true // called for another daemon only
	}
	if !ok || !s.upstream.SameIncarnation(server) {
		return
	}
	s.leaving = s.leaving || statement.Leaving
	if until := now.Add(statement.RetryAfter); statement.RetryAfter > 0 && until.After(s.restUntil) {
		s.restUntil = until
	}
	b.stateLimit(s, statement.Limit, sentAt, now)
}

// AcceptsCalls implements relay.Placer.
func (b *Balancer) AcceptsCalls(server models.Upstream) bool {
	if !b.registered(server) {
		return false
	}
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.states[server.ID]
	return !ok || !s.upstream.SameIncarnation(server) || !s.leaving && !now.Before(s.restUntil)
}

// registered reports whether a backend server is registered as accepting requests.
func (b *Balancer) registered(server models.Upstream) bool {
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return false
	}
	now, ok := snapshot.ByID[server.ID]
	return ok && !now.Draining && now.SameIncarnation(server)
}

// nextRequest returns when a server may get a request of this daemon, because of its
// limit and of the rest that it has asked for: zero if it may at any time. The caller
// must hold b.mu.
func (b *Balancer) nextRequest(s *serverState, now time.Time) time.Time {
	room := b.nextRoom(s, now)
	if s.restUntil.After(room) {
		return s.restUntil
	}
	return room
}
