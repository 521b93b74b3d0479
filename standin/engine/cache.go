package engine

import (
	"quincewinch/lib/prefix"
	"quincewinch/models"
)

// maxCacheEvents is how many events are retained for readers that lag behind.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	limit    int
	sequence uint64
	lastUsed map[uint64]uint64 // block hash to the tick of its last use
	tick     uint64
	events   []models.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lastUsed: map[uint64]uint64{}}
}

// match returns how many leading tokens of a prompt are cached.
func (c *prefixCache) match(hashes []uint64) int {
	c.tick++
	for i, hash := range hashes {
		if _, ok := c.lastUsed[hash]; !ok {
			return i * prefix.BlockTokens
		}
		c.lastUsed[hash] = c.tick
	}
	return len(hashes) * prefix.BlockTokens
}

func (c *prefixCache) add(hashes []uint64) {
	c.tick++
	for i, hash := range hashes {
		if _, ok := c.lastUsed[hash]; !ok {
			c.publish(models.CacheEvent{Prefix: hash, Tokens: (i + 1) * prefix.BlockTokens})
		}
		c.lastUsed[hash] = c.tick
	}
	for len(c.lastUsed) > c.limit {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest uint64
	at := ^uint64(0)
	for hash, used := range c.lastUsed {
		if used < at || used == at && hash < oldest {
			oldest, at = hash, used
		}
	}
	delete(c.lastUsed, oldest)
	c.publish(models.CacheEvent{Prefix: oldest, Evicted: true})
}

func (c *prefixCache) publish(event models.CacheEvent) {
	c.sequence++
	event.Sequence = c.sequence
	c.events = append(c.events, event)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) since(after uint64) []models.CacheEvent {
	var events []models.CacheEvent
	for _, event := range c.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}
