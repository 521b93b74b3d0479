package balance

import (
	"time"

	"quincewinch/models"
)

// promptCache estimates which prompt parts an engine has in its KV cache, from
// the prompts that it prefilled or fetched. Parts are evicted in least recently used order.
type promptCache struct {
	parts  map[string]cachedPart
	tokens int
}

type cachedPart struct {
	tokens int
	usedAt time.Time
}

func newPromptCache() promptCache {
	return promptCache{parts: map[string]cachedPart{}}
}

// cachedPrefix returns how many leading tokens of a prompt are cached.
func (c *promptCache) cachedPrefix(parts []models.PromptPart) int {
	tokens := 0
	for _, part := range parts {
		if _, ok := c.parts[part.ID]; !ok {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// record adds the parts of a prompt that is now cached, and evicts the least
// recently used parts while the total exceeds capacity.
func (c *promptCache) record(parts []models.PromptPart, capacity int, now time.Time) {
	for _, part := range parts {
		if _, ok := c.parts[part.ID]; !ok {
			c.tokens += part.Tokens
		}
		c.parts[part.ID] = cachedPart{tokens: part.Tokens, usedAt: now}
	}
	for c.tokens > capacity && len(c.parts) > len(parts) {
		c.evictOldest()
	}
}

func (c *promptCache) evictOldest() {
	oldest := ""
	for id, part := range c.parts {
		if oldest == "" || part.usedAt.Before(c.parts[oldest].usedAt) {
			oldest = id
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
