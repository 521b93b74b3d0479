package request

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/demand"
	"quincewinch/policy/outlier"
	"quincewinch/policy/placement"
)

const (
	// rebuildAfter is how old a snapshot may be though no load has changed.
	rebuildAfter = time.Second
	// rateMemory is the time over which the rates of daemons forget.
	rateMemory = 2 * time.Second
	// cheapBonus favours cheap backend servers for work that may be repeated,
	// which leaves the others to work that may not.
	cheapBonus = -20 * time.Millisecond
	// cheapPenalty keeps work off cheap backend servers once their share of it
	// is as great as the table allows.
	cheapPenalty = 2 * time.Second
	// cheapNewness is the weight of the latest request in the share of work on
	// cheap backend servers.
	cheapNewness = 0.01
)

// Loads gives the latest load of each engine that answers, read-only, and a
// number that grows with each change.
type Loads interface {
	Loads() (uint64, map[models.EngineID]placement.Load)
}

// LoadPlacer places requests by the load of the engines, their prefix caches
// and their record.
type LoadPlacer struct {
	configuration peer.Configuration
	loads         Loads
	reports       peer.Reports
	timeline      peer.Timeline
	clock         peer.Clock
	zone          models.Zone

	mu        sync.Mutex
	random    *rand.Rand
	book      *placement.InflightTracker
	cache     *placement.CacheIndex
	lengths   *placement.OutputLengths
	detector  *outlier.Detector
	others    *demand.Tracker[models.Model]
	started   *demand.Tracker[models.Workspace]       // by other daemons
	elsewhere map[models.EngineID]models.InflightWork // at other daemons
	own       *demand.Tracker[models.Model]
	sent      map[models.Model]demand.Totals
	snapshots map[models.Model]*snapshot
	cheap     float64 // share of the latest work on cheap backend servers
}

// snapshot is a model's snapshot and what it was built from.
type snapshot struct {
	*placement.Snapshot
	config   *models.Config
	version  uint64
	ejection uint64
	builtAt  time.Time
	probes   []models.EngineID
}

// NewLoadPlacer returns a placer of a daemon in a zone. Seed sets its choices
// apart from those of the other daemons.
func NewLoadPlacer(configuration peer.Configuration, loads Loads, reports peer.Reports, timeline peer.Timeline, clock peer.Clock, zone models.Zone, seed uint64) *LoadPlacer {
	return &LoadPlacer{
		configuration: configuration,
		loads:         loads,
		reports:       reports,
		timeline:      timeline,
		clock:         clock,
		zone:          zone,
		random:        rand.New(rand.NewPCG(seed, seed)),
		book:          placement.NewInflightTracker(),
		cache:         placement.NewCacheIndex(),
		lengths:       placement.NewOutputLengths(),
		detector:      outlier.NewDetector(),
		others:        demand.NewTracker[models.Model](rateMemory),
		started:       demand.NewTracker[models.Workspace](rateMemory),
		own:           demand.NewTracker[models.Model](rateMemory),
		sent:          map[models.Model]demand.Totals{},
		snapshots:     map[models.Model]*snapshot{},
	}
}

// Place implements Placer.
func (p *LoadPlacer) Place(ctx context.Context, e *Exchange, excluded []models.EngineID) (Placement, error) {
	if r := e.reserved; r != nil {
		e.reserved = nil
		r.sent.ctx = ctx
		return r.placement, nil
	}
	d := p.demand(e, excluded)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.complete(&d, e)
	s := p.snapshot(d.Model, now)
	if choice, ok := p.probe(s, &d, now); ok {
		return p.placed(ctx, e, &d, choice, "a probe of an engine that was taken out", now).placement, nil
	}
	choice, ok := s.Choose(&d, p.cache, p.random, now)
	if !ok {
		return Placement{}, noBackend("no engine can run " + string(d.Model) + " now")
	}
	return p.placed(ctx, e, &d, choice, choice.Why(), now).placement, nil
}

// reservation is a placement made before the request is sent.
type reservation struct {
	placement Placement
	sent      *sending
}

// Reserve chooses the engine of a request ahead of Place, which then returns
// it, if the time that the request would wait there is acceptable, that of
// prefill that another engine would save included.
func (p *LoadPlacer) Reserve(e *Exchange, acceptable func(wait time.Duration) bool) bool {
	d := p.demand(e, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.complete(&d, e)
	s := p.snapshot(d.Model, now)
	why := "a probe of an engine that was taken out"
	choice, ok := p.probe(s, &d, now)
	if !ok {
		choice, ok = s.Choose(&d, p.cache, p.random, now)
		if !ok || !acceptable(choice.Wait+choice.MissedPrefill) {
			return false
		}
		why = choice.Why()
	}
	e.reserved = p.placed(context.Background(), e, &d, choice, why, now)
	return true
}

// Unreserve gives back a reservation that was not used.
func (p *LoadPlacer) Unreserve(e *Exchange) {
	if r := e.reserved; r != nil {
		e.reserved = nil
		r.placement.Release(Result{})
	}
}

// Forecast returns where a request would go if it were placed now, and how it
// would fare; false if no engine can run it.
func (p *LoadPlacer) Forecast(e *Exchange) (placement.Choice, bool) {
	d := p.demand(e, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.complete(&d, e)
	return p.snapshot(d.Model, now).Choose(&d, p.cache, p.random, now)
}

// Expect returns the output expected of a request, in tokens.
func (p *LoadPlacer) Expect(e *Exchange) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lengths.Expect(e.Workspace.Name, e.Generation.Model, e.Generation.MaxTokens)
}

// Fill implements peer.ReportSource.
func (p *LoadPlacer) Fill(report *models.DaemonReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report.Inflight = p.book.All()
	report.Ejected = p.detector.Ejected(p.clock.Now())
}

func (p *LoadPlacer) demand(e *Exchange, excluded []models.EngineID) placement.Demand {
	if e.hashes == nil {
		e.hashes = prefix.Hashes(e.Generation.Prompt)
	}
	return placement.Demand{
		Model:      e.Generation.Model,
		Prompt:     prefix.Tokens(e.Generation.Prompt),
		Hashes:     e.hashes,
		Repeatable: e.Route.Repeatable && e.IdempotencyKey == "",
		Excluded:   excluded,
	}
}

// complete adds what has been learnt to a demand. The lock is held.
func (p *LoadPlacer) complete(d *placement.Demand, e *Exchange) {
	d.Output = p.lengths.Expect(e.Workspace.Name, d.Model, e.Generation.MaxTokens)
	d.CheapBias = p.cheapBias()
}

func (p *LoadPlacer) cheapBias() time.Duration {
	if p.cheap > p.configuration.Config().Fleet.CheapShare {
		return cheapPenalty
	}
	return cheapBonus
}

// probe chooses an engine on trial for a request that may be repeated. The
// lock is held.
func (p *LoadPlacer) probe(s *snapshot, d *placement.Demand, now time.Time) (placement.Choice, bool) {
	if len(s.probes) == 0 || !d.Repeatable || len(d.Excluded) > 0 {
		return placement.Choice{}, false
	}
	engine := s.probes[0]
	s.probes = s.probes[1:]
	server, ok := s.config.Backends[engine]
	if !ok {
		return placement.Choice{}, false
	}
	p.detector.RecordProbe(engine, now)
	return placement.Choice{Server: server}, true
}

// placed notes a request at its engine. The lock is held.
func (p *LoadPlacer) placed(ctx context.Context, e *Exchange, d *placement.Demand, choice placement.Choice, why string, now time.Time) *reservation {
	engine := choice.Server.Engine
	work := models.InflightWork{Requests: 1, PromptTokens: max(d.Prompt-choice.Cached, 0), OutputTokens: d.Output}
	p.add(d.Model, engine, work, now)
	p.cache.Expect(engine, d.Hashes, now)
	p.sent[d.Model] = demand.Totals{Requests: p.sent[d.Model].Requests + 1}
	p.countCheap(choice.Server.Cheap)
	sent := &sending{
		ctx:       ctx,
		engine:    engine,
		workspace: e.Workspace.Name,
		demand:    *d,
		work:      work,
		choice:    choice,
		at:        now,
	}
	return &reservation{
		placement: Placement{Server: choice.Server, Why: why, Release: func(result Result) { p.release(sent, result) }},
		sent:      sent,
	}
}

// sending is a request at an engine.
type sending struct {
	ctx       context.Context
	engine    models.EngineID
	workspace models.Workspace
	demand    placement.Demand
	work      models.InflightWork
	choice    placement.Choice
	at        time.Time
}

// add counts work at an engine. The lock is held.
func (p *LoadPlacer) add(model models.Model, engine models.EngineID, work models.InflightWork, now time.Time) {
	p.book.Add(engine, work, now)
	if s, ok := p.snapshots[model]; ok {
		if c := s.Candidate(engine); c != nil {
			c.Add(work)
		}
	}
}

func (p *LoadPlacer) countCheap(cheap bool) {
	var used float64
	if cheap {
		used = 1
	}
	p.cheap += cheapNewness * (used - p.cheap)
}
