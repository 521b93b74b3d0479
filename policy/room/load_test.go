package room_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/admission"
	"quincewinch/policy/room"
	"quincewinch/policy/serving"
)

// The load: three kinds of request of ranks 0 to 2 from 85 workspaces of very unequal
// size, at engines that prefill one prompt at a time in the order of urgency and are
// 0.75 busy. What daemons know of each other is 200 ms old. A caller that is refused
// comes back once; three in ten come back at once, up to three times.
const (
	loadDuration = 16 * time.Second
	troubleAt    = 5 * time.Second
	troubleEnd   = 11 * time.Second
	busy         = 0.75
	workspaces   = 85
	tick         = 50 * time.Millisecond
	viewTicks    = 4
	prefillRate  = 60000.0 // tokens a second
	setup        = 10 * time.Millisecond
	noise        = 0.3 // of prefill times, standard deviation of the logarithm
	spread       = 0.7 // of prompts, likewise
	greedy       = 3   // the workspace that sends more than its share
	zones        = 3
	places       = 12  // engines that keep the shared part of a prompt
	sampled      = 0.4 // of these are looked at: loads are too old to send all to the best
	meanTokens   = 0.47*1100 + 0.23*2900 + 0.30*3700
)

var kinds = [3]struct {
	share            float64
	tokens           float64
	target, deadline time.Duration
}{
	{0.47, 1100, 250 * time.Millisecond, 5 * time.Second},
	{0.23, 2900, 500 * time.Millisecond, 3 * time.Second},
	{0.30, 3700, 1200 * time.Millisecond, 5 * time.Second},
}

// scenario is what happens from troubleAt to troubleEnd.
type scenario struct {
	name                      string
	burst                     int // kind that is offered three times as often; -1: none
	zoneLost, greedy, zoneCut bool
}

var scenarios = []scenario{
	{name: "burst of rank 0", burst: 0},
	{name: "burst of rank 2", burst: 2},
	{name: "engines of a zone lost", burst: -1, zoneLost: true},
	{name: "one workspace at ten times its share", burst: -1, greedy: true},
	{name: "zone cut off, burst of rank 2", burst: 2, zoneCut: true},
}

// caller is a request at one of its attempts.
type caller struct {
	at, firstAt, sentAt               time.Duration
	kind, workspace, prompt, attempts int
	tokens, urgency                   int
	hasty                             bool
	daemon                            *daemon
	decision                          room.Decision
}

// engine prefills one prompt at a time.
type engine struct {
	zone    int
	waiting []*caller // by urgency
	freeAt  time.Duration
	gone    bool
}

// load is the prompt tokens of a daemon at each engine, and by urgency.
type load struct {
	engines []int
	queued  [room.Urgencies]int
}

func (l *load) add(other load, factor int) {
	for e, tokens := range other.engines {
		l.engines[e] += factor * tokens
	}
	for u, tokens := range other.queued {
		l.queued[u] += factor * tokens
	}
}

// daemon knows its own load, and that of the others as of some ticks ago.
type daemon struct {
	zone        int
	own, others load
	queue       admission.Queue
	controller  *room.Controller
	news        models.ServiceDemand
}

// result counts requests by how they ended.
type result struct{ offered, inTime, late, refused, lost int }

func (r result) timely() float64 { return float64(r.inTime) / float64(max(r.offered, 1)) }
func (r result) served() float64 { return float64(r.inTime+r.late) / float64(max(r.offered, 1)) }

// snapshot is what each daemon tells the others at a tick.
type snapshot struct {
	loads []load
	news  []models.ServiceDemand
}

type world struct {
	scenario
	byDemand  bool
	random    *rand.Rand
	now       time.Duration
	engines   []*engine
	daemons   []*daemon
	pending   []*caller // in the order in which they come
	past      []snapshot
	total     result
	byRank    [len(kinds)]result
	byPair    [loadDuration / time.Second]result // of this second and the next, by the first attempt
	workspace [workspaces]result
	large     result // of the largest tenth of each kind
}

// play plays a scenario until all callers have ended.
func play(s scenario, byDemand bool, daemons, engines int) *world {
	w := &world{scenario: s, byDemand: byDemand, random: rand.New(rand.NewPCG(1, 0))}
	for i := range engines {
		w.engines = append(w.engines, &engine{zone: i % zones})
	}
	for i := range daemons {
		w.daemons = append(w.daemons, &daemon{zone: i % zones, own: load{engines: make([]int, engines)}, others: load{engines: make([]int, engines)}, controller: room.NewController()})
	}
	w.offer()
	for ; w.now < loadDuration+8*time.Second; w.now += time.Millisecond {
		if w.now%tick == 0 {
			w.share()
		}
		for len(w.pending) > 0 && w.pending[0].at <= w.now {
			c := w.pending[0]
			w.pending = w.pending[1:]
			w.arrive(c)
		}
		for i, e := range w.engines {
			w.work(i, e)
		}
	}
	return w
}

// offer draws the first attempts of all callers.
func (w *world) offer() {
	perSecond := busy * float64(len(w.engines)) / (meanTokens/prefillRate + setup.Seconds()) / (math.Log(workspaces) + 0.577)
	for at := time.Duration(0); at < loadDuration; at += time.Millisecond {
		trouble := at >= troubleAt && at < troubleEnd
		for kind, k := range kinds {
			for i := range workspaces {
				rate := perSecond * k.share / float64(i+1)
				if trouble && kind == w.burst {
					rate *= 3
				}
				if trouble && w.greedy && i == greedy {
					rate *= 10
				}
				if w.random.Float64() < rate*time.Millisecond.Seconds() {
					tokens := int(k.tokens * math.Exp(w.random.NormFloat64()*spread-spread*spread/2))
					w.pending = append(w.pending, &caller{at: at, firstAt: at, kind: kind, workspace: i, tokens: tokens, prompt: w.random.IntN(1000), hasty: w.random.Float64() < 0.3})
				}
			}
		}
	}
}

func (w *world) time() time.Time { return time.Unix(1000, 0).Add(w.now) }

func (w *world) troubled() bool { return w.now >= troubleAt && w.now < troubleEnd }

// separated reports whether a cut keeps two zones apart.
func (w *world) separated(a, b int) bool {
	return w.zoneCut && w.troubled() && a != b && (a == 0 || b == 0)
}

// share tells each daemon what the others knew viewTicks ago.
func (w *world) share() {
	var s snapshot
	for _, d := range w.daemons {
		s.loads = append(s.loads, load{slices.Clone(d.own.engines), d.own.queued})
		s.news = append(s.news, d.news)
		d.news = models.ServiceDemand{}
	}
	w.past = append(w.past, s)
	if len(w.past) <= viewTicks {
		return
	}
	old := w.past[0]
	w.past = w.past[1:]
	var sums [zones]load
	for zone := range sums {
		sums[zone].engines = make([]int, len(w.engines))
	}
	for i, d := range w.daemons {
		sums[d.zone].add(old.loads[i], 1)
	}
	for i, d := range w.daemons {
		before := d.others.queued
		d.others = load{engines: make([]int, len(w.engines))}
		d.others.add(old.loads[i], -1)
		for zone := range sums {
			if !w.separated(d.zone, zone) {
				d.others.add(sums[zone], 1)
			}
		}
		for j, other := range w.daemons {
			if w.byDemand && i != j && len(old.news[j].Workspaces) > 0 && !w.separated(d.zone, other.zone) {
				d.controller.Learn(old.news[j], w.time())
			}
		}
		for u, tokens := range d.others.queued {
			d.controller.AddQueued(u, tokens-before[u])
		}
	}
}

// arrive lets a daemon decide on an attempt of a caller.
func (w *world) arrive(c *caller) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	var views []serving.Engine
	var indexes []int
	drain := 0.0
	for i, e := range w.engines {
		if e.gone || w.separated(d.zone, e.zone) {
			continue
		}
		drain += prefillRate
		if order := (i*7 + c.prompt) % len(w.engines); order < places && (len(views) == 0 || w.random.Float64() < sampled) {
			backlog := prefillTime(d.own.engines[i] + d.others.engines[i])
			views = append(views, serving.Engine{Role: models.RoleDecode, Backlog: backlog, Rate: prefillRate, Setup: setup, Order: order})
			indexes = append(indexes, i)
		}
	}
	choice, ok := serving.Choose(serving.Request{Tokens: c.tokens}, views)
	if !ok {
		w.end(c, func(r *result) { r.lost++ })
		return
	}
	kind := kinds[c.kind]
	ok, after := w.admit(d, c, admission.Request{
		Rank: c.kind, Unloaded: choice.Unloaded, Predicted: choice.Predicted, Target: kind.target,
		Left: kind.deadline - (w.now - c.firstAt), Returned: c.attempts > 0,
	}, drain)
	if !ok {
		w.refuse(c, after)
		return
	}
	c.daemon, c.sentAt = d, w.now
	w.count(c, indexes[choice.Target], c.tokens)
	e := w.engines[indexes[choice.Target]]
	e.waiting = append(e.waiting, c)
	slices.SortStableFunc(e.waiting, func(a, b *caller) int { return cmp.Compare(a.urgency, b.urgency) })
}

func (w *world) admit(d *daemon, c *caller, r admission.Request, drain float64) (ok bool, after time.Duration) {
	if !w.byDemand {
		c.urgency = admission.Urgency(r)
		return admission.Admit(r, d.queue.Observe(r, w.time()), w.random.Float64())
	}
	c.decision = d.controller.Admit(room.Request{
		Workspace: workspaceName(c.workspace), Route: routeName(c.kind), Rank: c.kind, Urgency: room.Urgency(1, c.kind, r.Unloaded, r.Target),
		Unloaded: r.Unloaded, Predicted: r.Predicted, Target: r.Target, Left: r.Left, Waited: w.now - c.firstAt, Returned: r.Returned, Drain: drain,
	}, w.random.Float64(), w.time())
	c.urgency = c.decision.Urgency
	news := models.WorkspaceDemand{Workspace: workspaceName(c.workspace), Route: routeName(c.kind)}
	if !r.Returned {
		news.Offered = 1
	}
	if c.decision.Send {
		news.Work = c.tokens
	} else if r.Returned {
		news.Lost = 1
	}
	d.tell(models.ServiceDemand{Workspaces: []models.WorkspaceDemand{news}}, w.time())
	return c.decision.Send, c.decision.RetryAfter
}

// tell applies news at a daemon, and keeps them for the others.
func (d *daemon) tell(news models.ServiceDemand, now time.Time) {
	d.controller.Learn(news, now)
	d.news.Workspaces = append(d.news.Workspaces, news.Workspaces...)
	d.news.Errors = append(d.news.Errors, news.Errors...)
}

// count adds prompt tokens of a request to the load of its daemon.
func (w *world) count(c *caller, engine, tokens int) {
	c.daemon.own.engines[engine] += tokens
	c.daemon.own.queued[c.urgency] += tokens
	c.daemon.controller.AddQueued(c.urgency, tokens)
}

// refuse lets a caller come back, or ends it.
func (w *world) refuse(c *caller, after time.Duration) {
	c.attempts++
	limit := 1
	if c.hasty {
		limit, after = 3, 5*time.Millisecond
	}
	if c.attempts > limit {
		w.end(c, func(r *result) { r.refused++ })
		return
	}
	c.at = w.now + after
	i, _ := slices.BinarySearchFunc(w.pending, c, func(a, b *caller) int { return cmp.Compare(a.at, b.at) })
	w.pending = slices.Insert(w.pending, i, c)
}

// work lets an engine begin the next prompt if it is free.
func (w *world) work(index int, e *engine) {
	e.gone = e.gone || w.zoneLost && w.troubled() && e.zone == 0
	for len(e.waiting) > 0 && (e.freeAt <= w.now || e.gone) {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.count(c, index, -c.tokens)
		kind := kinds[c.kind]
		patience := min(max(4*kind.target, 2*time.Second), kind.deadline-(c.sentAt-c.firstAt))
		if outcome := (room.Outcome{Taken: patience, GivenUp: true}); e.gone || w.now-c.sentAt > patience {
			w.report(c, outcome)
			w.end(c, func(r *result) { r.lost++ })
			continue
		}
		e.freeAt = w.now + time.Duration(float64(setup+prefillTime(c.tokens))*math.Exp(noise*w.random.NormFloat64()))
		inTime := e.freeAt-c.firstAt <= kind.target
		w.report(c, room.Outcome{Taken: e.freeAt - c.sentAt, Answered: true, InTime: inTime})
		w.end(c, func(r *result) {
			if inTime {
				r.inTime++
			} else {
				r.late++
			}
		})
	}
}

func (w *world) report(c *caller, o room.Outcome) {
	o.Route, o.Workspace, o.Decision = routeName(c.kind), workspaceName(c.workspace), c.decision
	c.daemon.tell(c.daemon.controller.Ended(o), w.time())
}

func (w *world) end(c *caller, count func(*result)) {
	second := c.firstAt / time.Second
	for _, r := range []*result{&w.total, &w.byRank[c.kind], &w.byPair[second], &w.byPair[max(second-1, 0)], &w.workspace[c.workspace]} {
		r.offered++
		count(r)
	}
	if float64(c.tokens) > kinds[c.kind].tokens*math.Exp(spread*1.28-spread*spread/2) {
		w.large.offered++
		count(&w.large)
	}
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

func routeName(kind int) string { return fmt.Sprintf("r%d", kind) }

func workspaceName(i int) models.Workspace { return models.Workspace(fmt.Sprintf("w%02d", i)) }

// worst returns the smallest share in time of two consecutive seconds.
func (w *world) worst() float64 {
	return slices.MinFunc(w.byPair[:], func(a, b result) int { return cmp.Compare(a.timely(), b.timely()) }).timely()
}

// row returns a row of the table in docs/design/room.md.
func (w *world) row() string {
	n := float64(w.total.offered)
	row := fmt.Sprintf("%.2f | %.2f | %.2f | %.2f | %.2f |", w.total.timely(), float64(w.total.late)/n, float64(w.total.refused)/n, float64(w.total.lost)/n, w.worst())
	for _, r := range w.byRank {
		row += fmt.Sprintf(" %.2f of %.2f |", r.timely(), r.served())
	}
	sorted := slices.SortedFunc(slices.Values(w.workspace[:]), func(a, b result) int { return cmp.Compare(a.timely(), b.timely()) })
	return row + fmt.Sprintf(" %.2f | %.2f |", sorted[len(sorted)/10].timely(), w.workspace[greedy].timely())
}

// TestLoads plays each scenario with the admission by the queue that each daemon sees
// and with that by demand.
func TestLoads(t *testing.T) {
	for _, size := range []struct{ daemons, engines int }{{7, 8}, {86, 30}} {
		for _, s := range scenarios {
			t.Run(fmt.Sprintf("%d daemons, %s", size.daemons, s.name), func(t *testing.T) {
				is := is.New(t)
				before, after := play(s, false, size.daemons, size.engines), play(s, true, size.daemons, size.engines)
				t.Logf("| %d | %s | queue | %s", size.daemons, s.name, before.row())
				t.Logf("| | | demand | %s", after.row())
				is.True(after.total.timely() > before.total.timely())
				is.True(after.worst() > before.worst())
				for rank, r := range after.byRank {
					is.True(r.served() > 0.7*after.total.served()) // no kind is starved
					for _, urgent := range after.byRank[:rank] {
						is.True(urgent.served() > r.served()-0.05) // nor served less often than a less urgent one
					}
				}
				is.True(after.large.served() > 0.7*after.total.served())
				for _, r := range after.workspace {
					is.True(r.served() > 0.5*after.total.served())
				}
			})
		}
	}
}
