package balance

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/policy/admission"
	"quincewinch/policy/serving"
	"quincewinch/policy/work"
	"quincewinch/relay"
)

const (
	// cacheFraction is the fraction of an engine's KV cache capacity that is
	// assumed to hold cached prompt parts; running requests use the rest.
	cacheFraction = 0.85
	// assumedCapacity is the cache capacity in tokens that is assumed until the
	// configuration of a service is known. It is larger than that of any current
	// engine, so that nothing is evicted.
	assumedCapacity = 10_000_000
	// urgentPrefillTokens is the number of tokens to prefill from which a prompt
	// is shared with the other daemons ahead of the usual interval: prefilling
	// them takes longer than a load share takes to arrive.
	urgentPrefillTokens = 2000
	// returnedShare is the share of a route's timeout below which the time left
	// to a caller shows that it was refused before: callers come back with what
	// is left of their time.
	returnedShare = 0.75
	// maxFetchFailures is the number of consecutive failed fetches between two
	// zones after which fetching between them is blocked for fetchBlockTime. A
	// network partition lasts seconds.
	maxFetchFailures = 2
	fetchBlockTime   = 2 * time.Second
	// indexMask are the bits of a rendezvous weight that the index of a candidate
	// takes.
	indexMask = 1<<16 - 1
	// bitsPerByte and bitsPerMegabit convert link rates.
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// fetchRecord tracks recent failures to fetch KV cache between two zones.
type fetchRecord struct {
	failures     int // consecutive
	blockedUntil time.Time
}

// placePrompt places a request for a model engine. Room is when the first engine that
// has reached its limit has room again; zero if none has. If retried is set, the
// request was sent before, and KV cache is not fetched for it. The caller must
// hold b.mu.
func (b *Balancer) placePrompt(e *relay.Exchange, candidates []*serverState, room time.Time, retried bool, now time.Time) (relay.Placement, error) {
	drain := b.drainRate(candidates, now)
	usable := len(candidates)
	candidates = b.withMemory(e, candidates, now)
	if usable > 0 && len(candidates) == 0 {
		return nil, memoryRefusal()
	}
	candidates = b.compared(e, candidates, now)
	orders := rendezvousOrder(e.Prompt, candidates)
	own := b.generation(e)
	engines := make([]serving.Engine, len(candidates))
	for i, s := range candidates {
		engines[i] = b.engineView(e, s, orders[i], now)
	}
	prompt := serving.Request{
		Zone:    b.settings.Zone,
		Tokens:  promptTokens(e.Prompt),
		Start:   b.timings.start(e.Service.Name).Duration(),
		RunTime: b.timings.run(e.Service.Name).Duration(),
	}
	if !retried {
		prompt.FetchRate = fetchRate(e.Service.Engine)
	}
	choice, ok := serving.Choose(prompt, engines)
	if ok && b.choiceBlocked(candidates, choice, now) {
		prompt.FetchRate = 0
		choice, ok = serving.Choose(prompt, engines)
	}
	if !ok && !room.IsZero() {
		return nil, limitRefusal(room, now)
	}
	if !ok {
		return nil, &models.Refusal{
			Code:       models.RefusalNoBackend,
			Message:    "no engine of the service generates answers now",
			NotRun:     true,
			RetryAfter: noBackendRetryAfter,
		}
	}
	request := admissionRequest(e, choice, now)
	var ticket *roomTicket
	var err error
	if b.settings.AdmitByDemand {
		ticket, err = b.admitByDemand(e, request, drain, now)
	} else {
		err = b.admit(e, request, retried, now)
	}
	if err != nil {
		return nil, err
	}
	p := b.reservePrompt(e, candidates, choice, now)
	p.holdMemory(e.Prompt)
	p.urgency = min(admission.Urgency(request), maxUrgency)
	if ticket != nil {
		p.urgency = ticket.decision.Urgency
		p.ticket = ticket
		ticket.sent(e.Workspace, p.prefillTokens, now)
	}
	if p.target.work != nil {
		p.beginWork(kindOf(e), own, choice.Predicted, now)
	}
	return p, nil
}

// admit returns a refusal if a request would wait too long for an engine. A
// stream that has begun is always admitted: it has fewer engines to wait for, and
// its wait says nothing about the service. The caller must hold b.mu.
func (b *Balancer) admit(e *relay.Exchange, request admission.Request, retried bool, now time.Time) error {
	if e.Origin != nil {
		return nil
	}
	standing := b.queue(e.Service.Name).Observe(request, now)
	ok, retryAfter := admission.Admit(request, standing, b.random.Float64())
	if ok || retried {
		return nil
	}
	return &models.Refusal{
		Code:       models.RefusalOverload,
		Message:    "the engines' queues are too long: first event in " + request.Predicted.String(),
		NotRun:     true,
		RetryAfter: retryAfter,
	}
}

// admissionRequest describes a request and its placement to package admission.
func admissionRequest(e *relay.Exchange, choice serving.Choice, now time.Time) admission.Request {
	return admission.Request{
		Rank:      e.Rank,
		Unloaded:  choice.Unloaded,
		Predicted: choice.Predicted,
		Target:    e.Route.LatencyTarget,
		Left:      e.Deadline.Sub(now),
		Returned:  e.CallerTimeout > 0 && float64(e.CallerTimeout) < returnedShare*float64(e.Route.Timeout),
	}
}

// choiceBlocked reports whether a choice fetches KV cache between zones between
// which fetching is blocked. The caller must hold b.mu.
func (b *Balancer) choiceBlocked(candidates []*serverState, choice serving.Choice, now time.Time) bool {
	reader := choice.Target
	if choice.Prefiller >= 0 {
		reader = choice.Prefiller
		if b.fetchBlocked(candidates[choice.Prefiller], candidates[choice.Target], now) {
			return true
		}
	}
	return choice.Source >= 0 && b.fetchBlocked(candidates[choice.Source], candidates[reader], now)
}

func (b *Balancer) reservePrompt(e *relay.Exchange, candidates []*serverState, choice serving.Choice, now time.Time) *placement {
	p := b.reserve(candidates[choice.Target], now)
	p.predicted = choice.Predicted
	p.copying = choice.Copying
	p.fetching = choice.Fetching
	b.capacity[e.Service.Name] = e.Service.Engine.Capacity
	p.parts = e.Prompt.Parts
	p.prefillServer = p.target
	if choice.Prefiller >= 0 {
		p.prefiller = candidates[choice.Prefiller]
		p.prefiller.running++
		p.prefiller.takeRoom(now)
		p.prefillServer = p.prefiller
	}
	if choice.Source >= 0 {
		p.source = candidates[choice.Source]
	}
	p.prefillTokens = choice.Uncached
	p.tokensAhead = p.prefillServer.prefillTokens + b.remoteLoads[p.prefillServer.upstream.ID].PrefillTokens
	p.prefillServer.prefillTokens += p.prefillTokens
	timing := b.timings.prefill(p.prefillServer.upstream)
	p.expected = timing.Predict(p.tokensAhead + p.prefillTokens)
	p.overdueAfter = p.copying + time.Duration(overdueFactor*float64(p.expected)) + overdueSlack
	b.prefilling[p] = struct{}{}
	b.urgent = b.urgent || p.prefillTokens >= urgentPrefillTokens
	return p
}

// fetchBlocked reports whether fetching between the zones of two engines is
// blocked after repeated failures: the zones may be partitioned. The caller
// must hold b.mu.
func (b *Balancer) fetchBlocked(from, to *serverState, now time.Time) bool {
	return now.Before(b.fetchRecords[pairOf(from, to)].blockedUntil)
}

// recordFetch records the outcome of a fetch between two engines. The caller
// must hold b.mu.
func (b *Balancer) recordFetch(from, to *serverState, failed bool, now time.Time) {
	pair := pairOf(from, to)
	if !failed {
		delete(b.fetchRecords, pair)
		return
	}
	record := b.fetchRecords[pair]
	record.failures++
	if record.failures >= maxFetchFailures {
		record.blockedUntil = now.Add(fetchBlockTime)
	}
	b.fetchRecords[pair] = record
}

func pairOf(from, to *serverState) zonePair {
	return zonePair{from: from.upstream.Zone, to: to.upstream.Zone}
}

// engineView returns the engine data for package serving. The caller must hold
// b.mu.
func (b *Balancer) engineView(e *relay.Exchange, s *serverState, order int, now time.Time) serving.Engine {
	timing := b.timings.prefill(s.upstream)
	others := b.remoteLoads[s.upstream.ID]
	factor := b.speedFactor(s, now)
	view := serving.Engine{
		Zone:    s.upstream.Zone,
		Role:    s.upstream.Role,
		Slots:   s.upstream.Slots,
		Running: s.running + others.Running,
		Backlog: b.backlog(s, now),
		Rate:    timing.TokensPerSecond() / factor,
		Setup:   time.Duration(float64(timing.Setup()) * factor),
		Cached:  s.cache.cachedPrefix(e.Prompt.Parts),
		Order:   order,
		Penalty: time.Duration(s.decayedFailures(now) * float64(failurePenalty)),
	}
	if s.work != nil {
		view.Work = time.Duration(float64(b.workLeft(s, now)) * factor)
	}
	return view
}

// generation returns how long the answer to a prompt is expected to occupy a typical
// engine; zero if the engines state no pace. The caller must hold b.mu.
func (b *Balancer) generation(e *relay.Exchange) work.Estimate {
	service, ok := b.works[e.Service.Name]
	if !ok {
		return work.Estimate{}
	}
	return service.costs.Expect(kindOf(e))
}

// cacheCapacity returns how many tokens of prompt parts an engine of a capacity
// is assumed to cache. While the capacity is unknown, nothing is assumed to be
// evicted.
func cacheCapacity(capacity int) int {
	if capacity <= 0 {
		return assumedCapacity
	}
	return int(float64(capacity) * cacheFraction)
}

// promptTokens returns the token count of a prompt: the sum of its parts or the
// number stated by the caller, whichever is larger.
func promptTokens(prompt models.Prompt) int {
	total := 0
	for _, part := range prompt.Parts {
		total += part.Tokens
	}
	return max(total, prompt.Tokens)
}

// fetchRate returns how many tokens of KV cache an engine fetches per second.
func fetchRate(limits *models.EngineLimits) float64 {
	if limits.TokenBytes <= 0 {
		return 0
	}
	return limits.LinkMbps * bitsPerMegabit / bitsPerByte / float64(limits.TokenBytes)
}

// rendezvousOrder ranks the candidates of each role by rendezvous hashing of the
// shared part of a prompt. The order is the same in all daemons and changes
// little when an engine is added or removed.
func rendezvousOrder(prompt models.Prompt, candidates []*serverState) []int {
	key := xxhash.Sum64String(sharedPartID(prompt))
	// A weight and the index of its candidate in one number, which sorts fast.
	ranked := make([]uint64, len(candidates))
	for i, s := range candidates {
		ranked[i] = ^rendezvousWeight(key, s.idHash)&^indexMask | uint64(i)&indexMask
	}
	slices.Sort(ranked)
	orders := make([]int, len(candidates))
	ranks := map[models.Role]int{}
	for _, entry := range ranked {
		i := entry & indexMask
		role := candidates[i].upstream.Role
		orders[i] = ranks[role]
		ranks[role]++
	}
	return orders
}

// rendezvousWeight returns the weight of an engine for a prompt, from the hashes of both.
func rendezvousWeight(prompt, engine uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], prompt)
	binary.LittleEndian.PutUint64(pair[8:], engine)
	return xxhash.Sum64(pair[:])
}

// sharedPartID returns the ID of the last part of a prompt that other prompts
// may share. The final part is unique to the prompt unless it is the only one.
func sharedPartID(prompt models.Prompt) string {
	if len(prompt.Parts) > 1 {
		return prompt.Parts[len(prompt.Parts)-2].ID
	}
	return prompt.Parts[0].ID
}
