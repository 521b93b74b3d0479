package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/policy/serving"
	"quincewinch/relay"
)

const (
	// cacheShare is the part of an engine's memory that is taken to keep parts
	// of prompts; running requests use the rest.
	cacheShare = 0.6
	// unknownCapacity is taken before the configuration of a service was seen:
	// engines of today keep less.
	unknownCapacity = 10_000_000
	// longReading is how many tokens that an engine has to read are told to the
	// other daemons at once: it takes longer to read them than a share is away.
	longReading = 2000
	// failuresToBlock is how many fetches in a row have to fail until no more are
	// tried between two zones, for fetchBlock: a cut lasts seconds.
	failuresToBlock = 2
	fetchBlock      = 2 * time.Second
	// bitsPerByte converts the rates of links.
	bitsPerByte = 8
	// bitsPerMegabit converts the rates of links.
	bitsPerMegabit = 1e6
)

// fetchRecord is how fetching KV cache between two zones went of late.
type fetchRecord struct {
	failures     int // in a row
	blockedUntil time.Time
}

// placePrompt places a request for a model engine; again is set where it was
// sent to another one before. The lock is held.
func (b *Balancer) placePrompt(e *relay.Exchange, candidates []*state, again bool, now time.Time) (relay.Placement, error) {
	orders := promptOrder(e.Prompt, candidates)
	engines := make([]serving.Engine, len(candidates))
	for i, s := range candidates {
		engines[i] = b.engine(e, s, orders[i], now)
	}
	request := serving.Request{Zone: b.settings.Zone, Tokens: promptTokens(e.Prompt)}
	if !again {
		request.FetchRate = fetchRate(e.Service.Engine)
	}
	choice, ok := serving.Choose(request, engines)
	if ok && choice.Prefiller >= 0 && b.fetchBlocked(candidates[choice.Prefiller], candidates[choice.Target], now) {
		request.FetchRate = 0
		choice, ok = serving.Choose(request, engines)
	}
	if !ok {
		return nil, &models.Refusal{
			Code:       models.RefusalNoBackend,
			Message:    "no engine of the service generates answers now",
			NotRun:     true,
			RetryAfter: emptyRetryAfter,
		}
	}
	return b.holdPrompt(e, candidates, choice, now), nil
}

func (b *Balancer) holdPrompt(e *relay.Exchange, candidates []*state, choice serving.Choice, now time.Time) *placement {
	p := b.hold(candidates[choice.Target], now)
	p.predicted = choice.Predicted
	p.urgency = min(max(e.Rank, 0), mostUrgency)
	b.capacity[e.Service.Name] = e.Service.Engine.Capacity
	capacity := cacheTokens(e.Service.Engine.Capacity)
	p.reader = p.target
	if choice.Prefiller >= 0 {
		p.prefiller = candidates[choice.Prefiller]
		p.prefiller.running++
		p.prefiller.cache.use(e.Prompt.Parts, capacity, now)
		b.noteSent(p.prefiller.upstream.ID, e.Prompt.Parts)
		p.reader = p.prefiller
	}
	p.target.cache.use(e.Prompt.Parts, capacity, now)
	b.noteSent(p.target.upstream.ID, e.Prompt.Parts)
	p.reading = choice.Uncached
	p.ahead = p.reader.reading + b.others[p.reader.upstream.ID].Reading
	p.reader.reading += p.reading
	b.urgent = b.urgent || p.reading >= longReading
	return p
}

// fetchBlocked reports whether fetching between two engines has failed of late:
// their zones may be cut off from each other. The lock is held.
func (b *Balancer) fetchBlocked(from, to *state, now time.Time) bool {
	return now.Before(b.fetches[pairOf(from, to)].blockedUntil)
}

// noteFetch notes how fetching between two engines went. The lock is held.
func (b *Balancer) noteFetch(from, to *state, failed bool, now time.Time) {
	pair := pairOf(from, to)
	if !failed {
		delete(b.fetches, pair)
		return
	}
	record := b.fetches[pair]
	record.failures++
	if record.failures >= failuresToBlock {
		record.blockedUntil = now.Add(fetchBlock)
	}
	b.fetches[pair] = record
}

func pairOf(from, to *state) zonePair {
	return zonePair{from: from.upstream.Zone, to: to.upstream.Zone}
}

// engine returns an engine as the policy sees it. The lock is held.
func (b *Balancer) engine(e *relay.Exchange, s *state, order int, now time.Time) serving.Engine {
	rate := b.rate(s.upstream).TokensPerSecond()
	others := b.others[s.upstream.ID]
	return serving.Engine{
		Zone:    s.upstream.Zone,
		Role:    s.upstream.Role,
		Slots:   s.upstream.Slots,
		Running: s.running + others.Running,
		Backlog: time.Duration(float64(s.reading+others.Reading) / rate * float64(time.Second)),
		Rate:    rate,
		Cached:  s.cache.leading(e.Prompt.Parts),
		Order:   order,
		Penalty: time.Duration(s.recentFailures(now) * float64(failurePenalty)),
	}
}

// cacheTokens is how many tokens of parts an engine of a capacity keeps. Until
// the capacity is known, nothing is taken to be forgotten.
func cacheTokens(capacity int) int {
	if capacity <= 0 {
		return unknownCapacity
	}
	return int(float64(capacity) * cacheShare)
}

// promptTokens returns the tokens of a prompt; its parts go before the number
// that the caller states.
func promptTokens(prompt models.Prompt) int {
	total := 0
	for _, part := range prompt.Parts {
		total += part.Tokens
	}
	return max(total, prompt.Tokens)
}

// fetchRate returns how many tokens of KV cache an engine fetches in a second.
func fetchRate(limits *models.EngineLimits) float64 {
	if limits.TokenBytes <= 0 {
		return 0
	}
	return limits.LinkMbps * bitsPerMegabit / bitsPerByte / float64(limits.TokenBytes)
}

// promptOrder returns the place of each candidate in the order of engines that
// the shared part of a prompt prefers: the same in all daemons, and changed
// little by an engine that comes or goes (rendezvous hashing).
func promptOrder(prompt models.Prompt, candidates []*state) []int {
	key := sharedKey(prompt)
	ranked := make([]int, len(candidates))
	weights := make([]uint64, len(candidates))
	for i, s := range candidates {
		ranked[i] = i
		weights[i] = xxhash.Sum64String(key + "\x00" + string(s.upstream.ID))
	}
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	orders := make([]int, len(candidates))
	places := map[models.Role]int{}
	for _, i := range ranked {
		role := candidates[i].upstream.Role
		orders[i] = places[role]
		places[role]++
	}
	return orders
}

// sharedKey names the part of a prompt that others share: all but its last
// part, which is its own.
func sharedKey(prompt models.Prompt) string {
	if len(prompt.Parts) > 1 {
		return prompt.Parts[len(prompt.Parts)-2].ID
	}
	return prompt.Parts[0].ID
}
