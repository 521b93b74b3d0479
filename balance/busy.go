package balance

import (
	"time"

	"quincewinch/models"
)

const (
	// busyBacklog is the backlog from which an engine counts as fully busy.
	busyBacklog = 100 * time.Millisecond
	// limitedBusy is the smallest busy share of a backend server that states a limit.
	// Package supply keeps two for one that is busy, and so one more in its place.
	limitedBusy = 0.5
)

// Busy returns how many backend servers of a service are busy with requests of
// all daemons. Each counts with its share of slots in use or, where that is
// more, its prefill backlog. It implements supply.Load.
func (b *Balancer) Busy(service models.ServiceName) float64 {
	now := b.clock.Now()
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireShares(now)
	total := 0.0
	for _, upstream := range snapshot.ByService[service] {
		total += b.busyShare(b.stateOf(upstream), now)
	}
	return total
}

// busyShare returns how busy a backend server is, from 0 to 1. The caller must
// hold b.mu.
func (b *Balancer) busyShare(s *serverState, now time.Time) float64 {
	others := b.remoteLoads[s.upstream.ID]
	share := 0.0
	if s.upstream.Slots > 0 {
		share = float64(s.running+others.Running) / float64(s.upstream.Slots)
	}
	share = max(share, b.backlog(s, now).Seconds()/busyBacklog.Seconds())
	if s.leaving || now.Before(s.restUntil) {
		return 1 // package supply is to order another in its place
	}
	if s.limited() {
		share = max(share, limitedBusy)
	}
	return min(share, 1)
}

// backlog returns the time until the prompts sent to an engine are prefilled.
// The caller must hold b.mu.
func (b *Balancer) backlog(s *serverState, now time.Time) time.Duration {
	tokens := s.prefillTokens + b.remoteLoads[s.upstream.ID].PrefillTokens
	rate := b.timings.prefill(s.upstream).TokensPerSecond() / b.speedFactor(s, now)
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
