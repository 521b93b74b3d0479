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
	// snapshotMaxAge is the age at which a snapshot is rebuilt even if no load
	// has changed.
	snapshotMaxAge = time.Second
	// rateTimeConstant is the time constant with which the request rates of
	// daemons are smoothed.
	rateTimeConstant = 2 * time.Second
	// cheapBonus makes repeatable requests prefer cheap backend servers, which
	// leaves the other servers to requests that may not be repeated.
	cheapBonus = -20 * time.Millisecond
	// cheapPenalty keeps requests away from cheap backend servers once their
	// share of requests exceeds the limit in the table.
	cheapPenalty = 2 * time.Second
	// cheapShareSmoothing is the weight of the latest request in the moving
	// average of the share of requests on cheap backend servers.
	cheapShareSmoothing = 0.01
)

// Loads returns the latest load of each engine that answers, read-only, and a
// version that grows with each change.
type Loads interface {
	Loads() (uint64, map[models.EngineID]placement.Load)
}

// LoadPlacer places requests by the load, prefix cache and failure record of
// the engines.
type LoadPlacer struct {
	configuration peer.Configuration
	loads         Loads
	reports       peer.Reports
	timeline      peer.Timeline
	clock         peer.Clock
	zone          models.Zone

	mu              sync.Mutex
	random          *rand.Rand
	book            *placement.InflightTracker
	cache           *placement.CacheIndex
	lengths         *placement.OutputLengths
	detector        *outlier.Detector
	otherRates      *demand.Tracker[models.Model]
	otherAdmissions *demand.Tracker[models.Workspace]       // requests offered to and admitted by other daemons
	otherInflight   map[models.EngineID]models.InflightWork // work of other daemons
	ownRates        *demand.Tracker[models.Model]
	ownTotals       map[models.Model]demand.Totals
	snapshots       map[models.Model]*snapshot
	cheapShare      float64 // moving average of the share of requests on cheap backend servers
}

// snapshot is a model's snapshot and the versions of what it was built from.
type snapshot struct {
	*placement.Snapshot
	config          *models.Config
	loadsVersion    uint64
	ejectionVersion uint64
	builtAt         time.Time
	probes          []models.EngineID
}

// NewLoadPlacer returns a placer for a daemon in the given zone. The seed should
// differ between daemons, so that they don't all choose the same engine.
func NewLoadPlacer(configuration peer.Configuration, loads Loads, reports peer.Reports, timeline peer.Timeline, clock peer.Clock, zone models.Zone, seed uint64) *LoadPlacer {
	return &LoadPlacer{
		configuration:   configuration,
		loads:           loads,
		reports:         reports,
		timeline:        timeline,
		clock:           clock,
		zone:            zone,
		random:          rand.New(rand.NewPCG(seed, seed)),
		book:            placement.NewInflightTracker(),
		cache:           placement.NewCacheIndex(),
		lengths:         placement.NewOutputLengths(),
		detector:        outlier.NewDetector(),
		otherRates:      demand.NewTracker[models.Model](rateTimeConstant),
		otherAdmissions: demand.NewTracker[models.Workspace](rateTimeConstant),
		ownRates:        demand.NewTracker[models.Model](rateTimeConstant),
		ownTotals:       map[models.Model]demand.Totals{},
		snapshots:       map[models.Model]*snapshot{},
	}
}

// Place implements Placer.
func (p *LoadPlacer) Place(ctx context.Context, e *Exchange, excluded []models.EngineID) (Placement, error) {
	if r := e.reserved; r != nil {
		e.reserved = nil
		r.request.ctx = ctx
		return r.placement, nil
	}
	d := p.demandFor(e, excluded)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.addEstimates(&d, e)
	s := p.snapshot(d.Model, now)
	if choice, ok := p.chooseProbe(s, &d, now); ok {
		return p.commitPlacement(ctx, e, &d, choice, "a probe of an engine that was taken out", now).placement, nil
	}
	choice, ok := s.Choose(&d, p.cache, p.random, now)
	if !ok {
		return Placement{}, noBackend("no engine can run " + string(d.Model) + " now")
	}
	return p.commitPlacement(ctx, e, &d, choice, choice.Why(), now).placement, nil
}

// reservation is a placement that is made before the request is sent.
type reservation struct {
	placement Placement
	request   *placedRequest
}

// Reserve chooses the engine of a request in advance if the wait is acceptable;
// the next Place returns that engine. The wait includes the prefill time that
// another engine would save by its prefix cache.
func (p *LoadPlacer) Reserve(e *Exchange, acceptable func(wait time.Duration) bool) bool {
	d := p.demandFor(e, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.addEstimates(&d, e)
	s := p.snapshot(d.Model, now)
	why := "a probe of an engine that was taken out"
	choice, ok := p.chooseProbe(s, &d, now)
	if !ok {
		choice, ok = s.Choose(&d, p.cache, p.random, now)
		if !ok || !acceptable(choice.Wait+choice.MissedPrefill) {
			return false
		}
		why = choice.Why()
	}
	e.reserved = p.commitPlacement(context.Background(), e, &d, choice, why, now)
	return true
}

// CancelReservation releases the reservation of a request if it was not used.
func (p *LoadPlacer) CancelReservation(e *Exchange) {
	if r := e.reserved; r != nil {
		e.reserved = nil
		r.placement.Release(Result{})
	}
}

// Forecast returns the engine that a request would get if it were placed now,
// with the predicted times; false if no engine can run it.
func (p *LoadPlacer) Forecast(e *Exchange) (placement.Choice, bool) {
	d := p.demandFor(e, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.addEstimates(&d, e)
	return p.snapshot(d.Model, now).Choose(&d, p.cache, p.random, now)
}

// ExpectedOutput returns the expected output of a request, in tokens.
func (p *LoadPlacer) ExpectedOutput(e *Exchange) int {
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

func (p *LoadPlacer) demandFor(e *Exchange, excluded []models.EngineID) placement.Demand {
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

// addEstimates sets the expected output and the bias for cheap backend servers
// of a demand. The lock is held.
func (p *LoadPlacer) addEstimates(d *placement.Demand, e *Exchange) {
	d.Output = p.lengths.Expect(e.Workspace.Name, d.Model, e.Generation.MaxTokens)
	d.CheapBias = p.cheapBias()
}

// cheapBias returns the time added to the score of cheap backend servers. The
// lock is held.
func (p *LoadPlacer) cheapBias() time.Duration {
	if p.cheapShare > p.configuration.Config().Fleet.CheapShare {
		return cheapPenalty
	}
	return cheapBonus
}

// chooseProbe returns an ejected engine that is due for a probe. Only a
// repeatable request that no engine is excluded for is used as a probe. The
// lock is held.
func (p *LoadPlacer) chooseProbe(s *snapshot, d *placement.Demand, now time.Time) (placement.Choice, bool) {
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

// commitPlacement counts a request as in flight at the chosen engine, and
// returns its reservation. The lock is held.
func (p *LoadPlacer) commitPlacement(ctx context.Context, e *Exchange, d *placement.Demand, choice placement.Choice, why string, now time.Time) *reservation {
	engine := choice.Server.Engine
	work := models.InflightWork{Requests: 1, PromptTokens: max(d.Prompt-choice.Cached, 0), OutputTokens: d.Output}
	p.addInflight(d.Model, engine, work, now)
	p.cache.Expect(engine, d.Hashes, now)
	p.ownTotals[d.Model] = demand.Totals{Requests: p.ownTotals[d.Model].Requests + 1}
	p.updateCheapShare(choice.Server.Cheap)
	placed := &placedRequest{
		ctx:       ctx,
		engine:    engine,
		workspace: e.Workspace.Name,
		demand:    *d,
		work:      work,
		choice:    choice,
		placedAt:  now,
	}
	return &reservation{
		placement: Placement{Server: choice.Server, Why: why, Release: func(result Result) { p.release(placed, result) }},
		request:   placed,
	}
}

// placedRequest is a request that is placed on an engine and not yet released.
type placedRequest struct {
	ctx       context.Context
	engine    models.EngineID
	workspace models.Workspace
	demand    placement.Demand
	work      models.InflightWork
	choice    placement.Choice
	placedAt  time.Time
}

// addInflight adds work, which may be negative, to the work in flight at an
// engine. The lock is held.
func (p *LoadPlacer) addInflight(model models.Model, engine models.EngineID, work models.InflightWork, now time.Time) {
	p.book.Add(engine, work, now)
	if s, ok := p.snapshots[model]; ok {
		if c := s.Candidate(engine); c != nil {
			c.Add(work)
		}
	}
}

// updateCheapShare adds a request to the moving average. The lock is held.
func (p *LoadPlacer) updateCheapShare(cheap bool) {
	var used float64
	if cheap {
		used = 1
	}
	p.cheapShare += cheapShareSmoothing * (used - p.cheapShare)
}
