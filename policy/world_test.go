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
	measureEvery              = 500 * time.Millisecond // engines take the figures of their reports
	pollEvery                 = 250 * time.Millisecond // daemons read the reports
	reportEvery               = time.Second            // daemons tell each other
	queueStepEvery            = 20 * time.Millisecond  // of the daemons' queues
	tokenGapTarget            = 55 * time.Millisecond
	firstTokenTarget          = 1200 * time.Millisecond
	callerTimeout             = 30 * time.Second
	conversationsPerWorkspace = 20 // of each workspace
	warmUp                    = 5 * time.Second
	measuredTime              = 30 * time.Second
	coolDown                  = 8 * time.Second
)

// simulation is the virtual time, and all that takes part.
type simulation struct {
	now          time.Time
	events       eventHeap
	sequence     int
	random       *rand.Rand // of all but what callers offer
	callerRandom *rand.Rand
	config       *models.Config
	engines      map[models.EngineID]*simEngine
	engineList   []*simEngine
	daemons      []*simDaemon
	started      time.Time
	tallies      map[models.Workspace]*tally
	promptTokens int // of the prompts that were answered
	cachedTokens int // of these, in an engine's cache
}

// tally counts what became of a workspace's requests.
type tally struct {
	offered       int
	onTime        int
	refused       int
	offeredTokens float64
	onTimeTokens  float64
}

// Now, Sleep and NewTimer implement peer.Clock; only Now is used.
func (w *simulation) Now() time.Time                             { return w.now }
func (w *simulation) Sleep(context.Context, time.Duration) error { return nil }
func (w *simulation) NewTimer(time.Duration) peer.Timer          { return nil }

// Config, Evidence and Watch implement peer.Configuration.
func (w *simulation) Config() *models.Config    { return w.config }
func (w *simulation) Evidence() models.Evidence { return models.Evidence{} }
func (w *simulation) Watch() <-chan struct{}    { return nil }

// Record implements peer.Timeline.
func (w *simulation) Record(models.Event) {}

func newSimulation(seed uint64, engines, daemons int, workspaces []models.WorkspaceSettings) *simulation {
	w := &simulation{
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
	w.started = w.now
	for _, workspace := range workspaces {
		w.config.Workspaces[workspace.Name] = workspace
		w.tallies[workspace.Name] = &tally{}
	}
	for i := range engines {
		server := models.BackendServer{Engine: models.EngineID("e-" + strconv.Itoa(i)), Zone: zone(i)}
		e := newSimEngine(w, server)
		w.config.Backends[server.Engine] = server
		w.engines[server.Engine] = e
		w.engineList = append(w.engineList, e)
		w.every(measureEvery, e.measure)
	}
	for i := range daemons {
		w.daemons = append(w.daemons, newSimDaemon(w, i))
	}
	return w
}

func zone(i int) models.Zone {
	return models.Zone("zone-" + strconv.Itoa(i%4))
}

// shape is what a workspace's requests are like, in tokens.
type shape struct {
	shared   int // by the requests of a conversation
	own      int
	shortest int // output
	longest  int
}

var (
	longPrompts = shape{shared: 2400, own: 600, shortest: 20, longest: 100}
	longOutputs = shape{shared: 400, own: 100, shortest: 100, longest: 400}
)

// shapeOf returns the shape of a workspace's requests: every second one reads.
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

// work returns the tokens of a request.
func (a *arrival) work() float64 {
	return float64(a.prompt + a.output)
}

// offer starts a workspace's requests at a rate a second. Pick chooses the
// daemon of each.
func (w *simulation) offer(workspace models.Workspace, perSecond float64, pick func() *simDaemon) {
	var next func()
	next = func() {
		w.arrive(workspace, pick())
		w.after(time.Duration(w.callerRandom.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.after(time.Duration(w.callerRandom.ExpFloat64()/perSecond*float64(time.Second)), next)
}

func (w *simulation) anyDaemon() *simDaemon {
	return w.daemons[w.callerRandom.IntN(len(w.daemons))]
}

func (w *simulation) arrive(workspace models.Workspace, d *simDaemon) {
	s := shapeOf(workspace)
	prompt := w.prompt(workspace)
	passed := w.now.Sub(w.started)
	a := &arrival{
		at:        w.now,
		workspace: workspace,
		prompt:    prefix.Tokens(prompt),
		output:    s.shortest + w.callerRandom.IntN(s.longest-s.shortest+1),
		hashes:    prefix.Hashes(prompt),
		daemon:    d,
		counted:   passed >= warmUp && passed < warmUp+measuredTime,
		exchange:  w.exchange(workspace, prompt),
	}
	if a.counted {
		w.tallies[workspace].offered++
		w.tallies[workspace].offeredTokens += a.work()
	}
	d.receive(a)
}

// prompt returns a prompt of one of a workspace's conversations.
func (w *simulation) prompt(workspace models.Workspace) string {
	s := shapeOf(workspace)
	conversation := string(workspace) + "/" + strconv.Itoa(w.callerRandom.IntN(conversationsPerWorkspace)) + " "
	own := strconv.FormatUint(w.callerRandom.Uint64(), 36) + " "
	return fill(conversation, s.shared) + fill(own, s.own)
}

func (w *simulation) exchange(workspace models.Workspace, prompt string) *request.Exchange {
	w.sequence++
	return &request.Exchange{
		ID:         models.RequestID("r-" + strconv.Itoa(w.sequence)),
		Received:   w.now,
		Deadline:   w.now.Add(callerTimeout),
		Route:      w.config.Routes[string(model)],
		Workspace:  w.config.Workspaces[workspace],
		Generation: &models.Generation{Model: model, Prompt: prompt},
	}
}

// fill repeats a text to a length in tokens.
func fill(text string, tokens int) string {
	length := tokens * prefix.BytesPerToken
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// place sends an admitted request to an engine.
func (w *simulation) place(a *arrival) bool {
	placed, err := a.daemon.placer.Place(context.Background(), a.exchange, nil)
	if err != nil {
		return false
	}
	e := w.engines[placed.Server.Engine]
	e.submit(&job{arrival: a, placement: placed})
	return true
}

// finish ends a job, at its engine's word.
func (w *simulation) finish(j *job) {
	a := j.arrival
	gap := w.now.Sub(j.first) / time.Duration(max(a.output-1, 1))
	if a.counted && j.first.Sub(a.at) <= firstTokenTarget && gap <= tokenGapTarget {
		w.tallies[a.workspace].onTime++
		w.tallies[a.workspace].onTimeTokens += a.work()
	}
	if a.counted {
		w.promptTokens += a.prompt
		w.cachedTokens += j.cached
	}
	j.placement.Release(request.Result{
		FirstToken: true,
		Usage:      models.TokenUsage{Prompt: a.prompt, Cached: j.cached, Output: a.output},
	})
	w.after(0, func() { a.daemon.finish(a) })
}

// run runs until the requests offered in the measured time are due.
func (w *simulation) run() {
	end := w.now.Add(warmUp + measuredTime + coolDown)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		event := heap.Pop(&w.events).(timedEvent)
		w.now = event.at
		event.do()
	}
	w.now = end
}

func (w *simulation) at(at time.Time, do func()) {
	w.sequence++
	heap.Push(&w.events, timedEvent{at: at, sequence: w.sequence, do: do})
}

func (w *simulation) after(d time.Duration, do func()) {
	w.at(w.now.Add(d), do)
}

// every runs do at a random phase of each interval.
func (w *simulation) every(interval time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		w.after(interval, tick)
	}
	do()
	w.after(time.Duration(w.random.Int64N(int64(interval))), tick)
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

// simDaemon is one daemon: the real placer and queue, or the naive ones.
type simDaemon struct {
	sim         *simulation
	id          models.DaemonID
	zone        models.Zone
	version     uint64
	loads       map[models.EngineID]placement.Load
	reports     []models.PeerReport
	placer      request.Placer
	load        *request.LoadPlacer // nil: placed in turn
	queue       *request.Queue      // nil: none
	work        *request.Work
	waiting     []*arrival
	partitioned bool
}

func newSimDaemon(w *simulation, i int) *simDaemon {
	d := &simDaemon{
		sim:   w,
		id:    models.DaemonID("d-" + strconv.Itoa(i)),
		zone:  zone(i),
		loads: map[models.EngineID]placement.Load{},
		work:  request.NewWork(),
	}
	w.every(pollEvery, d.poll)
	return d
}

// useNaivePlacer gives each daemon the naive placer and no queue.
func (w *simulation) useNaivePlacer() {
	for _, d := range w.daemons {
		d.placer = request.NewTurnPlacer(w, d)
	}
}

// useLoadPlacer gives each daemon the placer.
func (w *simulation) useLoadPlacer() {
	for i, d := range w.daemons {
		d.load = request.NewLoadPlacer(w, d, d, w, w, d.zone, uint64(i))
		d.placer = d.load
		w.every(pollEvery, d.readCache)
		w.every(reportEvery, d.sendReport)
	}
}

// useQueue gives each daemon a queue before its placer.
func (w *simulation) useQueue() {
	for _, d := range w.daemons {
		d.queue = request.NewQueue(w, d.load, d, w, d.work)
		w.every(queueStepEvery, d.step)
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

// sendReport gives this daemon's report to the others.
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

// receive takes a caller's request.
func (d *simDaemon) receive(a *arrival) {
	if d.queue == nil {
		d.work.Offer(a.exchange, 0)
		d.sim.place(a)
		return
	}
	a.waiter = d.queue.Enter(a.exchange)
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
		d.queue.Served(a.waiter)
	}
	d.queue.Leave(a.waiter)
	d.applyDecisions()
}

// applyDecisions acts on the queue's decisions.
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
