package placement

import (
	"sort"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
)

const (
	// indexStride is the distance, in blocks, between indexed prefixes.
	indexStride = 4
	// maxHolders is the most engines listed for one prefix.
	maxHolders = 4
	// maxEntries is the most prefixes kept for one engine.
	maxEntries = 4096
	// confirmTimeout is how long a prefix that this daemon sent counts as cached
	// without a cache event that confirms it.
	confirmTimeout = 10 * time.Second
	// unconfirmedFactor scales the cached tokens of an unconfirmed prefix.
	unconfirmedFactor = 0.8
	// minSurvival is the survival below which an engine's entries are dropped.
	minSurvival = 0.05
)

// CacheIndex estimates which prefixes the engines have cached. Cache events
// arrive late and with gaps, so an entry is a probability, not a fact.
type CacheIndex struct {
	engines     map[models.EngineID]*engineCache
	holders     map[uint64][]models.EngineID
	unconfirmed []unconfirmedPrefix // by expiresAt
}

// unconfirmedPrefix is a prefix that was sent to an engine and that no cache
// event has confirmed yet.
type unconfirmedPrefix struct {
	engine    models.EngineID
	hash      uint64
	expiresAt time.Time
}

// engineCache is the estimated content of one engine's cache. Each gap in the
// events lowers survival by the share of entries that the missed events may
// have evicted.
type engineCache struct {
	sequence uint64
	survival float64
	entries  map[uint64]entry
}

type entry struct {
	survival  float64   // of the engineCache when the entry was last set
	expiresAt time.Time // of an unconfirmed entry; zero: confirmed
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{engines: map[models.EngineID]*engineCache{}, holders: map[uint64][]models.EngineID{}}
}

// Sequence returns the sequence number of the last event applied from an
// engine.
func (c *CacheIndex) Sequence(engine models.EngineID) uint64 {
	if cache, ok := c.engines[engine]; ok {
		return cache.sequence
	}
	return 0
}

// Apply applies cache events of an engine, oldest first. Events up to the
// last one applied are skipped.
func (c *CacheIndex) Apply(engine models.EngineID, events []models.CacheEvent) {
	cache := c.forEngine(engine)
	for _, event := range events {
		if event.Sequence <= cache.sequence {
			continue
		}
		cache.recordGap(event.Sequence - cache.sequence - 1)
		cache.sequence = event.Sequence
		switch {
		case event.Evicted:
			c.remove(engine, cache, event.Prefix)
		case indexed(event.Tokens/prefix.BlockTokens - 1):
			c.put(engine, cache, event.Prefix, entry{survival: cache.survival})
		}
	}
	if cache.survival < minSurvival {
		c.Reset(engine, cache.sequence)
	}
}

// Expect records that a prompt was sent to an engine, which will cache it.
func (c *CacheIndex) Expect(engine models.EngineID, hashes []uint64, now time.Time) {
	cache := c.forEngine(engine)
	for i, hash := range hashes {
		if !indexed(i) {
			continue
		}
		if _, ok := cache.entries[hash]; !ok {
			expiresAt := now.Add(confirmTimeout)
			c.put(engine, cache, hash, entry{survival: cache.survival, expiresAt: expiresAt})
			c.unconfirmed = append(c.unconfirmed, unconfirmedPrefix{engine: engine, hash: hash, expiresAt: expiresAt})
		}
	}
}

// ObserveCached records how many prompt tokens an engine served from its cache.
// After a gap in the events, it drops longer prefixes that were confirmed
// before the gap.
func (c *CacheIndex) ObserveCached(engine models.EngineID, hashes []uint64, cached int) {
	cache := c.forEngine(engine)
	if cache.survival == 1 {
		return // no event was missed
	}
	for i := len(hashes) - 1; i >= 0 && (i+1)*prefix.BlockTokens > cached; i-- {
		if found, ok := cache.entries[hashes[i]]; ok && found.expiresAt.IsZero() && found.survival > cache.survival {
			c.remove(engine, cache, hashes[i])
		}
	}
}

// Expire drops prefixes that were not confirmed in time.
func (c *CacheIndex) Expire(now time.Time) {
	expired := 0
	for _, p := range c.unconfirmed {
		if !now.After(p.expiresAt) {
			break
		}
		expired++
		cache := c.forEngine(p.engine)
		if found, ok := cache.entries[p.hash]; ok && found.expiresAt.Equal(p.expiresAt) {
			c.remove(p.engine, cache, p.hash)
		}
	}
	c.unconfirmed = c.unconfirmed[expired:]
}

// Reset drops all entries of an engine, for example after its restart.
func (c *CacheIndex) Reset(engine models.EngineID, sequence uint64) {
	if cache, ok := c.engines[engine]; ok {
		for hash := range cache.entries {
			c.remove(engine, cache, hash)
		}
	}
	c.engines[engine] = newEngineCache(sequence)
}

// Keep drops the engines for which keep returns false.
func (c *CacheIndex) Keep(keep func(models.EngineID) bool) {
	for engine := range c.engines {
		if !keep(engine) {
			c.Reset(engine, 0)
			delete(c.engines, engine)
		}
	}
}

// CachedTokens returns the expected number of a prompt's tokens that an engine
// has cached.
func (c *CacheIndex) CachedTokens(engine models.EngineID, hashes []uint64) float64 {
	cache, ok := c.engines[engine]
	if !ok || len(hashes) == 0 {
		return 0
	}
	blocks := longestHeld(hashes, func(hash uint64) bool {
		_, ok := cache.entries[hash]
		return ok
	})
	if blocks == 0 {
		return 0
	}
	found := cache.entries[hashes[blocks-1]]
	tokens := float64(blocks*prefix.BlockTokens) * cache.survival / found.survival
	if !found.expiresAt.IsZero() {
		tokens *= unconfirmedFactor
	}
	return tokens
}

// Holders returns engines that hold the longest indexed prefix of a prompt that
// any engine holds.
func (c *CacheIndex) Holders(hashes []uint64) []models.EngineID {
	blocks := longestHeld(hashes, func(hash uint64) bool {
		return len(c.holders[hash]) > 0
	})
	if blocks == 0 {
		return nil
	}
	return c.holders[hashes[blocks-1]]
}

// longestHeld returns the length, in blocks, of the longest indexed prefix that
// is held. Its binary search assumes that the shorter prefixes of a held prefix
// are held too.
func longestHeld(hashes []uint64, held func(uint64) bool) int {
	steps := len(hashes) / indexStride
	n := sort.Search(steps, func(i int) bool { return !held(hashes[(i+1)*indexStride-1]) })
	if n > 0 {
		return n * indexStride
	}
	if len(hashes) > 0 && held(hashes[0]) {
		return 1
	}
	return 0
}

// indexed reports whether the index keeps the prefix that ends at block i.
func indexed(i int) bool {
	return i == 0 || (i+1)%indexStride == 0
}

func (c *CacheIndex) forEngine(engine models.EngineID) *engineCache {
	cache, ok := c.engines[engine]
	if !ok {
		cache = newEngineCache(0)
		c.engines[engine] = cache
	}
	return cache
}

func (c *CacheIndex) put(engine models.EngineID, cache *engineCache, hash uint64, e entry) {
	if _, ok := cache.entries[hash]; !ok && len(cache.entries) >= maxEntries {
		return
	}
	cache.entries[hash] = e
	holders := c.holders[hash]
	for _, holder := range holders {
		if holder == engine {
			return
		}
	}
	if len(holders) < maxHolders {
		c.holders[hash] = append(holders, engine)
	}
}

func (c *CacheIndex) remove(engine models.EngineID, cache *engineCache, hash uint64) {
	delete(cache.entries, hash)
	holders := c.holders[hash]
	for i, holder := range holders {
		if holder == engine {
			holders[i] = holders[len(holders)-1]
			c.holders[hash] = holders[:len(holders)-1]
			break
		}
	}
	if len(c.holders[hash]) == 0 {
		delete(c.holders, hash)
	}
}

func newEngineCache(sequence uint64) *engineCache {
	return &engineCache{sequence: sequence, survival: 1, entries: map[uint64]entry{}}
}

// recordGap lowers survival for missed events. In the long run, half of all
// events are evictions.
func (e *engineCache) recordGap(missed uint64) {
	if missed == 0 || len(e.entries) == 0 {
		return
	}
	evicted := float64(missed) / 2 / float64(len(e.entries)*indexStride)
	e.survival *= max(1-evicted, 0)
}
