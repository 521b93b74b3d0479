package balance_test

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/retry"
	"quincewinch/relay"
)

const (
	workZones = 3
	// The benchmark measures workDuration after as much to warm up; tests shortDuration
	// after shortWarmup.
	workDuration  = 20 * time.Second
	shortWarmup   = 10 * time.Second
	shortDuration = 6 * time.Second
	workShares    = 100 * time.Millisecond // between two load shares
	busyPeriod    = 600 * time.Millisecond
	busyShare     = 0.15
	busyPace      = 2.5
	workRate      = 40000.0 // prompt tokens per second
	workAnswer    = 120 * time.Millisecond
	workTokens    = 4000
	workOutput    = 400 // tokens at most
	workUse       = 0.7 // of the capacity
)

// workLoad is what daemons place: calls of a plain service, or prompts of model engines.
type workLoad struct {
	daemons, servers int
	delay            time.Duration // of load shares
	speeds           []float64     // times as long as usual, by server in turn
	busy             bool          // servers are busy for a time
	unequal          bool          // requests cost very different amounts
	prompts          bool
	stated           bool          // servers state their pace
	answer           time.Duration // how long engines take for an answer
	capacity         int           // of an engine's memory in tokens; 0: that of promptExchange
	keepMemory       bool
	short            bool
}

// workResult is what callers get of it.
type workResult struct {
	inTime, worstZone float64
	p50, p99          time.Duration // of the wait beyond the request's own work
	refused           float64       // share of the requests
	fullest           int           // tokens that an engine held at most
}

// manualClock is a peer.Clock that a test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                             { return c.now }
func (c *manualClock) Sleep(context.Context, time.Duration) error { return nil }
func (c *manualClock) NewTimer(time.Duration) peer.Timer          { return nil }

// workServer is a backend server: slots that take requests in order.
type workServer struct {
	speed   float64
	busy    bool
	phase   time.Duration
	free    []time.Time // when each slot is free
	seed    uint64
	running int
	held    int // tokens of the requests that were sent and have not ended
}

// pace returns how many times as long as usual work takes at a time.
func (s *workServer) pace(at time.Time) float64 {
	period := uint64((time.Duration(at.UnixNano()) + s.phase) / busyPeriod)
	if s.busy && rand.New(rand.NewPCG(s.seed, period)).Float64() < busyShare {
		return s.speed * busyPace
	}
	return s.speed
}

// run returns when some work that arrives is done.
func (s *workServer) run(work time.Duration, arrives time.Time) time.Time {
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	at := s.free[slot]
	if at.Before(arrives) {
		at = arrives
	}
	for left := work; left > 0; {
		pace := s.pace(at)
		next := busyPeriod - (time.Duration(at.UnixNano())+s.phase)%busyPeriod
		done := min(time.Duration(float64(left)*pace)+1, next)
		at = at.Add(done)
		left -= time.Duration(math.Ceil(float64(done) / pace))
	}
	s.free[slot] = at
	return at
}

// workEvent happens at a time.
type workEvent struct {
	at  time.Time
	run func()
}

// workEvents is a heap of events.
type workEvents []workEvent

func (e workEvents) Len() int           { return len(e) }
func (e workEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e workEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *workEvents) Push(x any)        { *e = append(*e, x.(workEvent)) }
func (e *workEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// workWorld plays a load.
type workWorld struct {
	t        testing.TB
	load     workLoad
	clock    *manualClock
	random   *rand.Rand
	daemons  []*balance.Balancer
	servers  map[models.EngineID]*workServer
	events   workEvents
	sequence uint64
	late     [workZones]int
	requests [workZones]int
	waits    []time.Duration
	refused  int
	fullest  int
	measured time.Time
	end      time.Time
}

func newWorkWorld(t testing.TB, load workLoad, seed uint64) *workWorld {
	w := &workWorld{t: t, load: load, clock: &manualClock{now: time.Unix(1_000_000, 0)}, random: rand.New(rand.NewPCG(seed, 1)), servers: map[models.EngineID]*workServer{}}
	registered := plainServers(load.servers)
	slots := 6
	if load.prompts {
		registered = engines(load.servers, models.RoleDecode)
		slots = 1 // prompts are prefilled one after the other
	}
	for i := range registered {
		registered[i].Zone = models.Zone(fmt.Sprintf("z%d", i%workZones))
		s := &workServer{speed: 1, busy: load.busy, seed: seed<<16 + uint64(i), phase: time.Duration(i) * 37 * time.Millisecond, free: make([]time.Time, slots)}
		if len(load.speeds) > 0 {
			s.speed = load.speeds[(i/workZones)%len(load.speeds)]
		}
		w.servers[registered[i].ID] = s
	}
	f := newFleet(registered...)
	for i := range load.daemons {
		w.daemons = append(w.daemons, balance.New(f, w.clock, balance.Settings{
			Self: daemonID(i), Zone: models.Zone(fmt.Sprintf("z%d", i%workZones)), Retries: retry.Settings{Ratio: 0.2, Window: 10 * time.Second},
			KeepMemory: load.keepMemory,
		}, uint64(i)+seed<<16))
	}
	for _, b := range w.daemons {
		b.SetDaemons(load.daemons, true)
	}
	w.measured = w.clock.now.Add(workDuration)
	w.end = w.measured.Add(workDuration)
	if load.short {
		w.measured = w.clock.now.Add(shortWarmup)
		w.end = w.measured.Add(shortDuration)
	}
	return w
}

func (w *workWorld) after(d time.Duration, run func()) {
	heap.Push(&w.events, workEvent{at: w.clock.now.Add(d), run: run})
}

// play runs the load and returns what came of it.
func (w *workWorld) play() workResult {
	w.after(0, w.arrive)
	w.after(0, w.share)
	for len(w.events) > 0 {
		event := heap.Pop(&w.events).(workEvent)
		if event.at.After(w.end) {
			break
		}
		w.clock.now = event.at
		event.run()
	}
	return w.result()
}

func (w *workWorld) result() workResult {
	slices.Sort(w.waits)
	r := workResult{worstZone: 1, p50: w.waits[len(w.waits)/2], p99: w.waits[len(w.waits)*99/100]}
	late, requests := 0, 0
	for zone := range workZones {
		late += w.late[zone]
		requests += w.requests[zone]
		r.worstZone = min(r.worstZone, 1-float64(w.late[zone])/float64(w.requests[zone]))
	}
	r.inTime = 1 - float64(late)/float64(requests)
	r.refused = float64(w.refused) / float64(w.refused+requests)
	r.fullest = w.fullest
	return r
}

// request draws a request, and returns it with its work. Requests of two routes look
// alike and cost very different amounts; their mean is the same as that of equal ones.
func (w *workWorld) request() (*relay.Exchange, time.Duration) {
	factor, route := 1.0, "plain"
	if w.load.unequal {
		factor, route = 0.5, "short"
		if w.random.Float64() < 0.1 {
			factor, route = 5.5, "long"
		}
	}
	if w.load.prompts {
		e := promptExchange("none", 0)
		w.sequence++
		tokens := int(workTokens * factor)
		e.Prompt = models.Prompt{Tokens: tokens, Parts: []models.PromptPart{{ID: fmt.Sprintf("p%d", w.sequence), Tokens: tokens}}}
		e.Route.Name = route
		if w.load.capacity > 0 {
			e.Prompt.MaxOutput = workOutput
			e.Service.Engine.Capacity = w.load.capacity
		}
		return e, prefillTime(tokens)
	}
	e := callExchange()
	e.Route.Name = route
	return e, time.Duration(factor * (0.5 + w.random.Float64()) * float64(30*time.Millisecond))
}

// prefillTime returns how long a typical engine prefills some tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / workRate * float64(time.Second))
}

// arrive places a request and schedules the next one.
func (w *workWorld) arrive() {
	mean, slots := 30*time.Millisecond, 6.0
	if w.load.prompts {
		mean, slots = prefillTime(workTokens), 1
	}
	capacity := 0.0
	for _, s := range w.servers {
		pace := s.speed
		if s.busy {
			pace *= 1 + busyShare*(busyPace-1)
		}
		capacity += slots / pace
	}
	w.after(time.Duration(w.random.ExpFloat64()*mean.Seconds()/capacity/workUse*float64(time.Second)), w.arrive)
	e, work := w.request()
	daemon := w.random.IntN(len(w.daemons))
	p, err := w.daemons[daemon].Place(e, nil)
	if w.load.keepMemory && err != nil {
		if !w.clock.now.Before(w.measured) {
			w.refused++
		}
		is.New(w.t).True(relay.RefusalOf(err).NotRun)
		return
	}
	is.New(w.t).NoErr(err)
	s := w.servers[p.Target().ID]
	begun := w.clock.now
	held := e.Prompt.Tokens + e.Prompt.MaxOutput
	s.held += held
	w.fullest = max(w.fullest, s.held)
	end := s.run(work, begun)
	s.running++
	w.after(end.Sub(begun), func() { w.answer(p, s, held) })
	if begun.Before(w.measured) {
		return
	}
	wait := end.Sub(begun) - work
	w.waits = append(w.waits, wait)
	w.requests[daemon%workZones]++
	if wait > max(2*work, 60*time.Millisecond) {
		w.late[daemon%workZones]++
	}
}

// answer answers a request; an engine goes on with its answer.
func (w *workWorld) answer(p relay.Placement, s *workServer, held int) {
	load := &models.UpstreamLoad{Running: min(s.running, len(s.free)), Waiting: max(s.running-len(s.free), 0), Slots: len(s.free)}
	if w.load.stated {
		load.Pace = s.pace(w.clock.now)
	}
	p.ResponseStarted(load)
	end := func() {
		s.running--
		s.held -= held
		p.End(relay.ResultServed)
	}
	if !w.load.prompts {
		end()
		return
	}
	w.after(time.Duration(float64(max(w.load.answer, workAnswer))*s.pace(w.clock.now)), end)
}

// share sends each daemon the sum of what the others have in flight and have observed.
func (w *workWorld) share() {
	w.after(workShares, w.share)
	shares := make([]models.LoadShare, len(w.daemons))
	loads := map[models.EngineID]models.ServerLoad{}
	speeds := map[models.EngineID]models.SpeedReport{}
	for i, b := range w.daemons {
		shares[i] = b.NextShare()
		for id, load := range shares[i].Loads {
			sum := loads[id]
			loads[id] = models.ServerLoad{Running: sum.Running + load.Running, PrefillTokens: sum.PrefillTokens + load.PrefillTokens, Work: sum.Work + load.Work, HeldTokens: sum.HeldTokens + load.HeldTokens}
		}
		for _, report := range shares[i].Speeds {
			sum, ok := speeds[report.Server]
			report.Observations += sum.Observations
			report.LogRatios += sum.LogRatios
			if ok && sum.Load.Pace > 0 && (report.Load.Pace == 0 || sum.LoadAge < report.LoadAge) {
				report.Load, report.LoadAge = sum.Load, sum.LoadAge
			}
			speeds[report.Server] = report
		}
	}
	w.sequence++
	sequence := w.sequence
	w.after(w.load.delay, func() {
		for i, b := range w.daemons {
			b.ReceiveShare(othersOf(shares[i], loads, speeds, sequence, w.load.delay))
		}
	})
}

// othersOf returns the sum of all load shares without that of one daemon, a delay later.
func othersOf(own models.LoadShare, loads map[models.EngineID]models.ServerLoad, speeds map[models.EngineID]models.SpeedReport, sequence uint64, delay time.Duration) models.LoadShare {
	others := models.LoadShare{From: "zone/others", Zone: "others", Sequence: sequence, Loads: map[models.EngineID]models.ServerLoad{}}
	for id, load := range loads {
		mine := own.Loads[id]
		others.Loads[id] = models.ServerLoad{Running: load.Running - mine.Running, PrefillTokens: load.PrefillTokens - mine.PrefillTokens, Work: load.Work - mine.Work, HeldTokens: load.HeldTokens - mine.HeldTokens}
	}
	mine := map[models.EngineID]models.SpeedReport{}
	for _, report := range own.Speeds {
		mine[report.Server] = report
	}
	for id, report := range speeds {
		report.Observations = max(report.Observations-mine[id].Observations, 0)
		report.LogRatios -= mine[id].LogRatios
		if report.Observations == 0 {
			report.LogRatios = 0
		}
		report.LoadAge += delay
		others.Speeds = append(others.Speeds, report)
	}
	slices.SortFunc(others.Speeds, func(a, b models.SpeedReport) int { return slices.Compare([]byte(a.Server), []byte(b.Server)) })
	return others
}

// workLoads are the loads by which both ways to place are compared.
func workLoads(daemons, servers int, delay time.Duration) map[string]workLoad {
	base := workLoad{daemons: daemons, servers: servers, delay: delay}
	loads := map[string]workLoad{}
	for _, prompts := range []bool{false, true} {
		kind := "calls"
		if prompts {
			kind = "prompts"
		}
		l := base
		l.prompts = prompts
		l.unequal = true
		loads[kind+"/unequal-requests"] = l
		l.unequal, l.busy, l.speeds = false, true, []float64{0.6, 1, 1.6}
		loads[kind+"/unequal-servers"] = l
		l.unequal = true
		loads[kind+"/both"] = l
	}
	return loads
}

// BenchmarkWork compares placement by counts with placement by work.
func BenchmarkWork(b *testing.B) {
	for _, size := range []struct{ daemons, servers int }{{7, 9}, {86, 45}, {410, 45}} {
		for _, delay := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
			for name, load := range workLoads(size.daemons, size.servers, delay) {
				for _, stated := range []bool{false, true} {
					load.stated = stated
					b.Run(fmt.Sprintf("%s/daemons=%d/old=%s/work=%t", name, size.daemons, delay, stated), func(b *testing.B) {
						var r workResult
						for b.Loop() {
							r = newWorkWorld(b, load, 1).play()
						}
						b.ReportMetric(r.inTime, "in-time")
						b.ReportMetric(r.worstZone, "worst-zone")
						b.ReportMetric(float64(r.p50.Milliseconds()), "p50-ms")
						b.ReportMetric(float64(r.p99.Milliseconds()), "p99-ms")
					})
				}
			}
		}
	}
}
