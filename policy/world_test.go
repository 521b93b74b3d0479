package policy_test

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/placement"
	"quincewinch/request"
)

const (
	model                     = models.Model("catalogue")
	measureEvery              = 500 * time.Millisecond // how often engines update their state
	pollEvery                 = 250 * time.Millisecond // how often daemons poll the engines
	reportEvery               = time.Second            // how often daemons send their reports to each other
	queueStepEvery            = 20 * time.Millisecond  // how often the daemons' queues are stepped
	tokenGapTarget            = 55 * time.Millisecond
	firstTokenTarget          = 1200 * time.Millisecond
	callerTimeout             = 30 * time.Second
	conversationsPerWorkspace = 20
	warmUp                    = 5 * time.Second
	measuredTime              = 30 * time.Second
	coolDown                  = 8 * time.Second
)

// simulation runs engines, daemons and callers in virtual time.
type simulation struct {
	now          time.Time
	events       eventHeap
	sequence     int
	random       *rand.Rand // for everything except the callers' requests
	callerRandom *rand.Rand
	config       *models.Config
	engines      map[models.EngineID]*simEngine
	engineList   []*simEngine
	daemons      []*simDaemon
	started      time.Time
	tallies      map[models.Workspace]*tally
	promptTokens int // of the answered prompts
	cachedTokens int // of promptTokens, those found in an engine's cache
}

// tally counts a workspace's requests by outcome.
type tally struct {
	offered       int
	onTime        int
	refused       int
	offeredTokens float64
	onTimeTokens  float64
}

// Now, Sleep and NewTimer implement peer.Clock; only Now is used.
func (s *simulation) Now() time.Time                             { return s.now }
func (s *simulation) Sleep(context.Context, time.Duration) error { return nil }
func (s *simulation) NewTimer(time.Duration) peer.Timer          { return nil }

// Config, Evidence and Watch implement peer.Configuration.
func (s *simulation) Config() *models.Config    { return s.config }
func (s *simulation) Evidence() models.Evidence { return models.Evidence{} }
func (s *simulation) Watch() <-chan struct{}    { return nil }

// Record implements peer.Timeline.
func (s *simulation) Record(models.Event) {}

func newSimulation(seed uint64, engines, daemons int, workspaces []models.WorkspaceSettings) *simulation {
	s := &simulation{
		now:          time.Unix(1, 0),
		random:       rand.New(rand.NewPCG(seed, 1)),
		callerRandom: rand.New(rand.NewPCG(seed, 2)),
		engines:      map[models.EngineID]*simEngine{},
		tallies:      map[models.Workspace]*tally{},
		config: &models.Config{
			Through:    1,
			Workspaces: map[models.Workspace]models.WorkspaceSettings{},
			Backends:   map[models.EngineID]models.BackendServer{},
			Routes:     map[string]models.Route{string(model): {Name: string(model), Kind: models.RouteModel, Repeatable: true}},
			Fleet:      models.FleetLimits{CheapShare: 1},
		},
	}
	s.started = s.now
	for _, workspace := range workspaces {
		s.config.Workspaces[workspace.Name] = workspace
		s.tallies[workspace.Name] = &tally{}
	}
	for i := range engines {
		server := models.BackendServer{Engine: models.EngineID("e-" + strconv.Itoa(i)), Zone: zone(i)}
		e := newSimEngine(s, server)
		s.config.Backends[server.Engine] = server
		s.engines[server.Engine] = e
		s.engineList = append(s.engineList, e)
		s.every(measureEvery, e.measure)
	}
	for i := range daemons {
		s.daemons = append(s.daemons, newSimDaemon(s, i))
	}
	return s
}

func zone(i int) models.Zone {
	return models.Zone("zone-" + strconv.Itoa(i%4))
}

// shape is the size of a workspace's requests, in tokens.
type shape struct {
	shared   int // prefix common to the requests of a conversation
	own      int
	shortest int // bounds of the output
	longest  int
}

var (
	longPrompts = shape{shared: 2400, own: 600, shortest: 20, longest: 100}
	longOutputs = shape{shared: 400, own: 100, shortest: 100, longest: 400}
)

// shapeOf returns the shape of a workspace's requests: long prompts for every
// second workspace, long outputs for the others.
func shapeOf(workspace models.Workspace) shape {
	if (workspace[len(workspace)-1]-'0')%2 == 0 {
		return longPrompts
	}
	return longOutputs
}

// arrival is one request of a caller.
type arrival struct {
	at        time.Time
	workspace models.Workspace
	prompt    int
	output    int
	hashes    []uint64
	daemon    *simDaemon
	exchange  *request.Exchange
	counted   bool
	waiter    *request.Waiter
}

// work returns the prompt and output tokens of a request.
func (a *arrival) work() float64 {
	return float64(a.prompt + a.output)
}

// offer starts a workspace's requests as a Poisson process with a rate per
// second. Pick chooses the daemon that receives each.
func (s *simulation) offer(workspace models.Workspace, perSecond float64, pick func() *simDaemon) {
	var next func()
	next = func() {
		s.arrive(workspace, pick())
		s.after(time.Duration(s.callerRandom.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(time.Duration(s.callerRandom.ExpFloat64()/perSecond*float64(time.Second)), next)
}

func (s *simulation) anyDaemon() *simDaemon {
	return s.daemons[s.callerRandom.IntN(len(s.daemons))]
}

func (s *simulation) arrive(workspace models.Workspace, d *simDaemon) {
	sh := shapeOf(workspace)
	prompt := s.prompt(workspace)
	passed := s.now.Sub(s.started)
	a := &arrival{
		at:        s.now,
		workspace: workspace,
		prompt:    prefix.Tokens(prompt),
		output:    sh.shortest + s.callerRandom.IntN(sh.longest-sh.shortest+1),
		hashes:    prefix.Hashes(prompt),
		daemon:    d,
		counted:   passed >= warmUp && passed < warmUp+measuredTime,
		exchange:  s.exchange(workspace, prompt),
	}
	if a.counted {
		s.tallies[workspace].offered++
		s.tallies[workspace].offeredTokens += a.work()
	}
	d.receive(a)
}

// prompt returns a new prompt in a random conversation of a workspace.
func (s *simulation) prompt(workspace models.Workspace) string {
	sh := shapeOf(workspace)
	conversation := string(workspace) + "/" + strconv.Itoa(s.callerRandom.IntN(conversationsPerWorkspace)) + " "
	own := strconv.FormatUint(s.callerRandom.Uint64(), 36) + " "
	return fill(conversation, sh.shared) + fill(own, sh.own)
}

func (s *simulation) exchange(workspace models.Workspace, prompt string) *request.Exchange {
	s.sequence++
	return &request.Exchange{
		ID:         models.RequestID("r-" + strconv.Itoa(s.sequence)),
		Received:   s.now,
		Deadline:   s.now.Add(callerTimeout),
		Route:      s.config.Routes[string(model)],
		Workspace:  s.config.Workspaces[workspace],
		Generation: &models.Generation{Model: model, Prompt: prompt},
	}
}

// fill repeats a text up to a length in tokens.
func fill(text string, tokens int) string {
	length := tokens * prefix.BytesPerToken
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// place places an admitted request and submits it to the chosen engine.
func (s *simulation) place(a *arrival) bool {
	placed, err := a.daemon.placer.Place(context.Background(), a.exchange, nil)
	if err != nil {
		return false
	}
	e := s.engines[placed.Server.Engine]
	e.submit(&job{arrival: a, placement: placed})
	return true
}

// finish ends a job that its engine has completed.
func (s *simulation) finish(j *job) {
	a := j.arrival
	gap := s.now.Sub(j.first) / time.Duration(max(a.output-1, 1))
	if a.counted && j.first.Sub(a.at) <= firstTokenTarget && gap <= tokenGapTarget {
		s.tallies[a.workspace].onTime++
		s.tallies[a.workspace].onTimeTokens += a.work()
	}
	if a.counted {
		s.promptTokens += a.prompt
		s.cachedTokens += j.cached
	}
	j.placement.Release(request.Result{
		FirstToken: true,
		Usage:      models.TokenUsage{Prompt: a.prompt, Cached: j.cached, Output: a.output},
	})
	s.after(0, func() { a.daemon.finish(a) })
}

// run runs the simulation through the warm-up, the measured time and a cool-down
// in which the measured requests can finish.
func (s *simulation) run() {
	end := s.now.Add(warmUp + measuredTime + coolDown)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		event := heap.Pop(&s.events).(timedEvent)
		s.now = event.at
		event.do()
	}
	s.now = end
}

func (s *simulation) at(at time.Time, do func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{at: at, sequence: s.sequence, do: do})
}

func (s *simulation) after(d time.Duration, do func()) {
	s.at(s.now.Add(d), do)
}

// every runs do at once, then after a random part of the interval, and from then
// on at each interval.
func (s *simulation) every(interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		s.after(interval, tick)
	}
	do()
	s.after(time.Duration(s.random.Int64N(int64(interval))), tick)
}

type timedEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simDaemon is one daemon with the real placer and queue, or with the naive
// placer and no queue.
type simDaemon struct {
	sim         *simulation
	id          models.DaemonID
	zone        models.Zone
	version     uint64
	loads       map[models.EngineID]placement.Load
	reports     []models.PeerReport
	placer      request.Placer
	load        *request.LoadPlacer // nil: round robin
	queue       *request.Queue      // nil: no queue
	work        *request.WorkCounter
	waiting     []*arrival
	partitioned bool
}

func newSimDaemon(s *simulation, i int) *simDaemon {
	d := &simDaemon{
		sim:   s,
		id:    models.DaemonID("d-" + strconv.Itoa(i)),
		zone:  zone(i),
		loads: map[models.EngineID]placement.Load{},
		work:  request.NewWorkCounter(),
	}
	s.every(pollEvery, d.poll)
	return d
}

// useNaivePlacer gives each daemon the naive placer and no queue.
func (s *simulation) useNaivePlacer() {
	for _, d := range s.daemons {
		d.placer = request.NewRoundRobinPlacer(s, d)
	}
}

// useLoadPlacer gives each daemon the real placer.
func (s *simulation) useLoadPlacer() {
	for i, d := range s.daemons {
		d.load = request.NewLoadPlacer(s, d, d, s, s, d.zone, uint64(i))
		d.placer = d.load
		s.every(pollEvery, d.readCache)
		s.every(reportEvery, d.sendReport)
	}
}

// useQueue gives each daemon a queue in front of its placer.
func (s *simulation) useQueue() {
	for _, d := range s.daemons {
		d.queue = request.NewQueue(s, d.load, d, s, d.work)
		s.every(queueStepEvery, d.step)
	}
}

// Loads implements request.Loads.
func (d *simDaemon) Loads() (uint64, map[models.EngineID]placement.Load) {
	return d.version, d.loads
}

// States implements request.States.
func (d *simDaemon) States() map[models.EngineID]models.EngineState {
	states := map[models.EngineID]models.EngineState{}
	for id, load := range d.loads {
		states[id] = load.State
	}
	return states
}

// Reports implements peer.Reports.
func (d *simDaemon) Reports() []models.PeerReport {
	return d.reports
}

func (d *simDaemon) poll() {
	loads := map[models.EngineID]placement.Load{}
	for id, e := range d.sim.engines {
		limit := d.loads[id].BatchLimit
		if e.state.Queued > 0 && e.state.FreePieces > 0 {
			limit = max(limit, e.state.Running)
		}
		loads[id] = placement.Load{State: e.state, MeasuredAt: e.state.MeasuredAt, BatchLimit: limit}
	}
	d.loads = loads
	d.version++
}

func (d *simDaemon) readCache() {
	d.load.Step(context.Background())
	for _, e := range d.sim.engineList {
		d.load.ApplyCacheEvents(e.server.Engine, e.eventsAfter(d.load.CacheSequence(e.server.Engine)))
	}
	d.load.ExpireCache()
}

// sendReport sends this daemon's report to the other daemons, except across a
// partition.
func (d *simDaemon) sendReport() {
	report := models.DaemonReport{Daemon: d.id, Zone: d.zone}
	d.work.Fill(&report)
	d.load.Fill(&report)
	for _, other := range d.sim.daemons {
		if other != d && !d.partitioned && !other.partitioned {
			other.receiveReport(models.PeerReport{Report: report, ReceivedAt: d.sim.now})
		}
	}
}

func (d *simDaemon) receiveReport(report models.PeerReport) {
	for i, known := range d.reports {
		if known.Report.Daemon == report.Report.Daemon {
			d.reports[i] = report
			return
		}
	}
	d.reports = append(d.reports, report)
}

// receive queues a caller's request, or places it if there is no queue.
func (d *simDaemon) receive(a *arrival) {
	if d.queue == nil {
		d.work.Offer(a.exchange, 0)
		d.sim.place(a)
		return
	}
	a.waiter = d.queue.Enqueue(a.exchange)
	d.waiting = append(d.waiting, a)
	d.applyDecisions()
}

func (d *simDaemon) step() {
	d.queue.Step(context.Background())
	d.applyDecisions()
}

// finish ends a request that an engine has answered.
func (d *simDaemon) finish(a *arrival) {
	if d.queue == nil {
		return
	}
	for range a.output {
		d.queue.CountToken(a.waiter)
	}
	d.queue.Finish(a.waiter)
	d.applyDecisions()
}

// applyDecisions places the requests that the queue has admitted and counts
// those that it has refused.
func (d *simDaemon) applyDecisions() {
	kept := d.waiting[:0]
	for _, a := range d.waiting {
		select {
		case err := <-a.waiter.Decided():
			if err != nil && a.counted {
				d.sim.tallies[a.workspace].refused++
			}
			if err == nil {
				d.sim.place(a)
			}
		default:
			kept = append(kept, a)
		}
	}
	d.waiting = kept
}
