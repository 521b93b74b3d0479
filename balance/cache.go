package balance

import (
	"time"

	"quincewinch/models"
)

// promptCache is which parts of prompts an engine keeps, as far as requests sent
// there tell.
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

// cachedPrefix returns how many leading tokens of a prompt are kept.
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

// record notes that a prompt has been sent, and forgets the parts that were used
// longest ago where they no longer fit.
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
