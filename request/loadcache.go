package request

import "quincewinch/models"

// CacheSequence implements control.CacheIndex.
func (p *LoadPlacer) CacheSequence(engine models.EngineID) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Sequence(engine)
}

// ApplyCacheEvents implements control.CacheIndex.
func (p *LoadPlacer) ApplyCacheEvents(engine models.EngineID, events []models.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.Apply(engine, events)
}

// ResetCache implements control.CacheIndex.
func (p *LoadPlacer) ResetCache(engine models.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.Reset(engine, 0)
}

// ExpireCache implements control.CacheIndex. It also drops the records of
// engines that are no longer in the configuration.
func (p *LoadPlacer) ExpireCache() {
	config := p.configuration.Config()
	keep := func(engine models.EngineID) bool {
		_, ok := config.Backends[engine]
		return ok
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.Expire(p.clock.Now())
	p.cache.Keep(keep)
	p.detector.Keep(keep)
	p.book.Keep(keep)
}
