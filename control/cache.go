package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// cacheTimeout is how long an engine may take to list its cache events.
const cacheTimeout = time.Second

// CacheIndex takes in what engines tell of their prefix caches.
type CacheIndex interface {
	// CacheSequence returns the last event taken in from an engine.
	CacheSequence(engine models.EngineID) uint64
	ApplyCacheEvents(engine models.EngineID, events []models.CacheEvent)
	// ResetCache forgets an engine's cache: it has started anew.
	ResetCache(engine models.EngineID)
	// ExpireCache drops what no event has confirmed in time.
	ExpireCache()
}

// CacheFeed reads the cache events of the engines that have news.
type CacheFeed struct {
	engines       peer.Engines
	configuration peer.Configuration
	loads         *Engines
	index         CacheIndex
}

// NewCacheFeed returns a feed into an index.
func NewCacheFeed(engines peer.Engines, configuration peer.Configuration, loads *Engines, index CacheIndex) *CacheFeed {
	return &CacheFeed{engines: engines, configuration: configuration, loads: loads, index: index}
}

// Step reads the events published since the last step.
func (f *CacheFeed) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	_, loads := f.loads.Loads()
	var group sync.WaitGroup
	for id, server := range f.configuration.Config().Backends {
		load, ok := loads[id]
		if !ok {
			continue
		}
		known := f.index.CacheSequence(id)
		if load.State.CacheSequence < known {
			f.index.ResetCache(id)
			known = 0
		}
		if load.State.CacheSequence > known {
			group.Go(func() { f.read(ctx, server, known) })
		}
	}
	group.Wait()
	f.index.ExpireCache()
}

func (f *CacheFeed) read(ctx context.Context, server models.BackendServer, known uint64) {
	events, err := f.engines.Engine(server).CacheEvents(ctx, known)
	if err != nil {
		return
	}
	f.index.ApplyCacheEvents(server.Engine, events)
}
