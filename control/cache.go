package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// cacheTimeout limits one step, in which engines list their cache events.
const cacheTimeout = time.Second

// CacheIndex records which prefixes the engines have cached.
type CacheIndex interface {
	// CacheSequence returns the number of the last event applied for an engine.
	CacheSequence(engine models.EngineID) uint64
	// ApplyCacheEvents applies an engine's events.
	ApplyCacheEvents(engine models.EngineID, events []models.CacheEvent)
	// ResetCache drops the entries of an engine that has restarted.
	ResetCache(engine models.EngineID)
	// ExpireCache drops entries that no recent event has confirmed.
	ExpireCache()
}

// CacheFeed polls engines for new cache events and applies them to an index.
type CacheFeed struct {
	engines       peer.Engines
	configuration peer.Configuration
	loads         *Engines
	index         CacheIndex
}

// NewCacheFeed returns a feed that updates an index.
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
