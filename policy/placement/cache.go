package placement

import (
	"sort"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
)

const (
	// stride is the distance of the blocks that the index keeps.
	stride = 4
	// mostHolders bounds the engines listed for one prefix.
	mostHolders = 4
	// mostEntries bounds the prefixes kept for one engine.
	mostEntries = 4096
	// hopeful is how long a prefix that this daemon sent counts as cached
	// before an event confirms it.
	hopeful = 10 * time.Second
	// doubt is the credit of a prefix that no event has confirmed.
	doubt = 0.8
	// leastSurvival is below what an entry is not worth keeping.
	leastSurvival = 0.05
)

// Cache is what is known of the engines' prefix caches. Events come late and
// with gaps, so that it holds likelihoods.
type Cache struct {
	engines map[models.EngineID]*contents
	holders map[uint64][]models.EngineID
	hopes   []hope // by until
}

// hope is a prefix that was sent to an engine.
type hope struct {
	engine models.EngineID
	hash   uint64
	until  time.Time
}

// contents is one engine's cache. survival falls with each gap by the share
// of entries that the missed events may have evicted.
type contents struct {
	sequence uint64
	survival float64
	entries  map[uint64]entry
}

type entry struct {
	survival float64   // of the contents when the entry was last confirmed
	until    time.Time // of a hope that no event has confirmed; zero: confirmed
}

// NewCache returns a cache of which nothing is known.
func NewCache() *Cache {
	return &Cache{engines: map[models.EngineID]*contents{}, holders: map[uint64][]models.EngineID{}}
}

// Sequence returns the last event taken in from an engine.
func (c *Cache) Sequence(engine models.EngineID) uint64 {
	if known, ok := c.engines[engine]; ok {
		return known.sequence
	}
	return 0
}

// Apply takes in events of an engine, oldest first.
func (c *Cache) Apply(engine models.EngineID, events []models.CacheEvent) {
	known := c.of(engine)
	for _, event := range events {
		if event.Sequence <= known.sequence {
			continue
		}
		known.gap(event.Sequence - known.sequence - 1)
		known.sequence = event.Sequence
		switch {
		case event.Evicted:
			c.remove(engine, known, event.Prefix)
		case indexed(event.Tokens/prefix.BlockTokens - 1):
			c.put(engine, known, event.Prefix, entry{survival: known.survival})
		}
	}
	if known.survival < leastSurvival {
		c.Reset(engine, known.sequence)
	}
}

// Expect notes that a prompt was sent to an engine, which will cache it.
func (c *Cache) Expect(engine models.EngineID, hashes []uint64, now time.Time) {
	known := c.of(engine)
	for i, hash := range hashes {
		if !indexed(i) {
			continue
		}
		if _, ok := known.entries[hash]; !ok {
			until := now.Add(hopeful)
			c.put(engine, known, hash, entry{survival: known.survival, until: until})
			c.hopes = append(c.hopes, hope{engine: engine, hash: hash, until: until})
		}
	}
}

// Correct takes in how many prompt tokens an engine served from its cache.
// Longer prefixes that were thought to be there are not.
func (c *Cache) Correct(engine models.EngineID, hashes []uint64, cached int) {
	known := c.of(engine)
	if known.survival == 1 {
		return // no event was missed
	}
	for i := len(hashes) - 1; i >= 0 && (i+1)*prefix.BlockTokens > cached; i-- {
		if found, ok := known.entries[hashes[i]]; ok && found.until.IsZero() && found.survival > known.survival {
			c.remove(engine, known, hashes[i])
		}
	}
}

// Expire drops hopes that no event has confirmed in time.
func (c *Cache) Expire(now time.Time) {
	expired := 0
	for _, h := range c.hopes {
		if !now.After(h.until) {
			break
		}
		expired++
		known := c.of(h.engine)
		if found, ok := known.entries[h.hash]; ok && found.until.Equal(h.until) {
			c.remove(h.engine, known, h.hash)
		}
	}
	c.hopes = c.hopes[expired:]
}

// Reset forgets an engine's cache, as after its restart.
func (c *Cache) Reset(engine models.EngineID, sequence uint64) {
	if known, ok := c.engines[engine]; ok {
		for hash := range known.entries {
			c.remove(engine, known, hash)
		}
	}
	c.engines[engine] = newContents(sequence)
}

// Keep drops engines that are not among those kept.
func (c *Cache) Keep(keep func(models.EngineID) bool) {
	for engine := range c.engines {
		if !keep(engine) {
			c.Reset(engine, 0)
			delete(c.engines, engine)
		}
	}
}

// Credit returns how many tokens of a prompt an engine has cached, as
// expected.
func (c *Cache) Credit(engine models.EngineID, hashes []uint64) float64 {
	known, ok := c.engines[engine]
	if !ok || len(hashes) == 0 {
		return 0
	}
	depth := deepest(hashes, func(hash uint64) bool {
		_, ok := known.entries[hash]
		return ok
	})
	if depth == 0 {
		return 0
	}
	found := known.entries[hashes[depth-1]]
	credit := float64(depth*prefix.BlockTokens) * known.survival / found.survival
	if !found.until.IsZero() {
		credit *= doubt
	}
	return credit
}

// Holders returns engines that have the longest known prefix of a prompt.
func (c *Cache) Holders(hashes []uint64) []models.EngineID {
	depth := deepest(hashes, func(hash uint64) bool {
		return len(c.holders[hash]) > 0
	})
	if depth == 0 {
		return nil
	}
	return c.holders[hashes[depth-1]]
}

// deepest returns how many blocks the longest indexed prefix has that is held,
// given that the shorter ones of a held prefix are held.
func deepest(hashes []uint64, held func(uint64) bool) int {
	steps := len(hashes) / stride
	n := sort.Search(steps, func(i int) bool { return !held(hashes[(i+1)*stride-1]) })
	if n > 0 {
		return n * stride
	}
	if len(hashes) > 0 && held(hashes[0]) {
		return 1
	}
	return 0
}

// indexed reports whether the index keeps the block at a position.
func indexed(i int) bool {
	return i == 0 || (i+1)%stride == 0
}

func (c *Cache) of(engine models.EngineID) *contents {
	known, ok := c.engines[engine]
	if !ok {
		known = newContents(0)
		c.engines[engine] = known
	}
	return known
}

func (c *Cache) put(engine models.EngineID, known *contents, hash uint64, e entry) {
	if _, ok := known.entries[hash]; !ok && len(known.entries) >= mostEntries {
		return
	}
	known.entries[hash] = e
	holders := c.holders[hash]
	for _, holder := range holders {
		if holder == engine {
			return
		}
	}
	if len(holders) < mostHolders {
		c.holders[hash] = append(holders, engine)
	}
}

func (c *Cache) remove(engine models.EngineID, known *contents, hash uint64) {
	delete(known.entries, hash)
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

func newContents(sequence uint64) *contents {
	return &contents{sequence: sequence, survival: 1, entries: map[uint64]entry{}}
}

// gap accounts for events that were missed, half of which evict in the long
// run.
func (k *contents) gap(missed uint64) {
	if missed == 0 || len(k.entries) == 0 {
		return
	}
	lost := float64(missed) / 2 / float64(len(k.entries)*stride)
	k.survival *= max(1-lost, 0)
}
