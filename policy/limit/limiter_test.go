package limit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/limit"
	"quincewinch/policy/naive"
)

const (
	daemons      = 7
	tick         = 50 * time.Millisecond
	tellTicks    = 20 // between two reports of a daemon
	learnTicks   = 5
	windowTicks  = 200 // over which overshoot is measured
	totalTicks   = 1600
	shiftTicks   = 200 // between two shifts of the demand
	longestTicks = 60  // of a request
	tokensEach   = 100
)

var workspace = models.WorkspaceSettings{Name: "sales", RequestsPerSecond: 50, TokensPerSecond: 4000, Concurrent: 60}

// node is one daemon under test, with its counts.
type node struct {
	limiter *limit.Limiter
	naive   naive.WholeLimit
	work    models.WorkDone
	reports map[models.DaemonID]models.PeerReport
	ends    map[int]int // requests that end at a tick
}

// outcome is the most that was admitted of each kind, over the limit.
type outcome struct {
	requests   float64 // in any window, over what the limit allows in it
	tokens     float64
	concurrent float64
	naive      float64
	used       float64 // of the limit on requests, over the whole time
}

// simulate offers several times the limit to daemons that hear of each other
// once a second. The demand shifts, and a daemon is cut off for a while.
func simulate(seed uint64, settings models.WorkspaceSettings) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	var nodes []*node
	for i := range daemons {
		nodes = append(nodes, &node{limiter: limit.NewLimiter(id(i)), reports: map[models.DaemonID]models.PeerReport{}, ends: map[int]int{}})
	}
	cut := random.IntN(daemons)
	var admitted, byNaive [totalTicks]int
	weights := make([]float64, daemons)
	var result outcome
	for now := range totalTicks {
		at := time.Unix(1000, 0).Add(time.Duration(now) * tick)
		cutOff := now > totalTicks/3 && now < 2*totalTicks/3
		if now%shiftTicks == 0 {
			for i := range weights {
				weights[i] = random.ExpFloat64()
			}
		}
		running := 0
		for i, n := range nodes {
			n.finish(now)
			if (now+i*3)%tellTicks == 0 {
				tell(nodes, i, cut, cutOff, at)
			}
			if now%learnTicks == 0 {
				n.learn(at)
			}
			for range poisson(random, 4*50*tick.Seconds()*weights[i]/sum(weights)) {
				admitted[now] += n.offer(settings, now, random, at)
				if n.naive.Admit(50, at) {
					byNaive[now]++
				}
			}
			running += n.work.Running
		}
		if settings.Concurrent > 0 {
			result.concurrent = max(result.concurrent, float64(running)/float64(settings.Concurrent))
		}
	}
	result.requests, result.used = most(admitted[:], settings.RequestsPerSecond)
	result.tokens, _ = most(admitted[:], settings.TokensPerSecond/tokensEach)
	result.naive, _ = most(byNaive[:], settings.RequestsPerSecond)
	return result
}

func id(i int) models.DaemonID {
	return models.DaemonID("d-" + strconv.Itoa(i))
}

func (n *node) finish(now int) {
	for range n.ends[now] {
		n.work.Running--
		n.limiter.Leave(workspace.Name, tokensEach, tokensEach)
	}
}

func (n *node) offer(settings models.WorkspaceSettings, now int, random *rand.Rand, at time.Time) int {
	if !n.limiter.Admit(settings, tokensEach, at).Admitted {
		n.work.Refused++
		return 0
	}
	n.work.Requests++
	n.work.Running++
	n.ends[now+1+random.IntN(longestTicks)]++
	return 1
}

func (n *node) learn(at time.Time) {
	var reports []models.PeerReport
	for i := range daemons {
		if report, ok := n.reports[id(i)]; ok {
			reports = append(reports, report)
		}
	}
	n.limiter.Learn(map[models.Workspace]models.WorkDone{workspace.Name: n.work}, reports, at)
}

func tell(nodes []*node, from, cut int, cutOff bool, at time.Time) {
	report := models.DaemonReport{Daemon: id(from), Work: map[models.Workspace]models.WorkDone{workspace.Name: nodes[from].work}}
	for to, n := range nodes {
		if to != from && (!cutOff || to != cut && from != cut) {
			n.reports[id(from)] = models.PeerReport{Report: report, ReceivedAt: at}
		}
	}
}

// most returns the most admitted in a window over what the limit allows, and
// the share of the limit that was used over all.
func most(admitted []int, perSecond float64) (float64, float64) {
	inWindow, total := 0, 0
	var greatest float64
	settled := 100 // ticks until all daemons have heard of each other
	for i, count := range admitted {
		if i < settled {
			continue
		}
		inWindow += count
		total += count
		if i-settled >= windowTicks {
			inWindow -= admitted[i-windowTicks]
		}
		greatest = max(greatest, float64(inWindow)/(perSecond*windowTicks*tick.Seconds()))
	}
	return greatest, float64(total) / (perSecond * float64(len(admitted)-settled) * tick.Seconds())
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for passed := random.ExpFloat64(); passed < mean; passed += random.ExpFloat64() {
		count++
	}
	return count
}

func sum(weights []float64) float64 {
	var all float64
	for _, weight := range weights {
		all += weight
	}
	return all
}

// only returns the settings with one limit.
func only(kind string) models.WorkspaceSettings {
	settings := models.WorkspaceSettings{Name: workspace.Name}
	switch kind {
	case "requests":
		settings.RequestsPerSecond = workspace.RequestsPerSecond
	case "tokens":
		settings.TokensPerSecond = workspace.TokensPerSecond
	case "concurrent":
		settings.Concurrent = workspace.Concurrent
	}
	return settings
}

// TestOvershoot holds the bound: over any ten seconds no more than 1.25 of the
// limit, with the burst of one second on top; at once no more than 1.25.
func TestOvershoot(t *testing.T) {
	const rateBound, concurrentBound = 1.25 + 0.1, 1.25
	for seed := range uint64(20) {
		is := is.New(t)
		is.True(simulate(seed, only("requests")).requests <= rateBound)           // requests stay within the bound
		is.True(simulate(seed, only("tokens")).tokens <= rateBound)               // tokens stay within the bound
		is.True(simulate(seed, only("concurrent")).concurrent <= concurrentBound) // requests at once stay within the bound
	}
}

// alone returns the limiter of a daemon that has long heard of no other.
func alone(now time.Time) *limit.Limiter {
	l := limit.NewLimiter("d")
	for ago := 10 * time.Second; ago >= 0; ago -= 250 * time.Millisecond {
		l.Learn(map[models.Workspace]models.WorkDone{workspace.Name: {}}, nil, now.Add(-ago))
	}
	return l
}

func TestAlone(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("a daemon alone has the whole limit", func(t *testing.T) {
		is := is.New(t)
		l := alone(start)
		count := 0
		for l.Admit(only("concurrent"), tokensEach, start).Admitted {
			count++
		}
		is.Equal(count, workspace.Concurrent)
	})
	t.Run("a refusal tells when to come back", func(t *testing.T) {
		is := is.New(t)
		l := alone(start)
		settings := models.WorkspaceSettings{Name: workspace.Name, RequestsPerSecond: 0.5}
		is.True(l.Admit(settings, tokensEach, start).Admitted)
		verdict := l.Admit(settings, tokensEach, start)
		is.Equal(verdict, limit.Verdict{Limit: "requests a second", RetryAfter: 2 * time.Second})
		is.True(l.Admit(settings, tokensEach, start.Add(verdict.RetryAfter)).Admitted) // it was the truth
	})
	t.Run("tokens used beyond the estimate are owed", func(t *testing.T) {
		is := is.New(t)
		l := alone(start)
		is.True(l.Admit(only("tokens"), tokensEach, start).Admitted)
		l.Leave(workspace.Name, tokensEach, 3*workspace.TokensPerSecond)
		is.True(!l.Admit(only("tokens"), tokensEach, start.Add(time.Second)).Admitted)
	})
}

func BenchmarkLimit(b *testing.B) {
	for _, kind := range []string{"requests", "tokens", "concurrent"} {
		b.Run(kind, func(b *testing.B) {
			var worst outcome
			for n := range b.N {
				o := simulate(uint64(n), only(kind))
				worst.requests = max(worst.requests, o.requests)
				worst.tokens = max(worst.tokens, o.tokens)
				worst.concurrent = max(worst.concurrent, o.concurrent)
				worst.naive = max(worst.naive, o.naive)
				worst.used += o.used / float64(b.N)
			}
			switch kind {
			case "requests":
				b.ReportMetric(worst.requests-1, "overshoot")
				b.ReportMetric(worst.naive-1, "naive-overshoot")
				b.ReportMetric(worst.used, "limit-used")
			case "tokens":
				b.ReportMetric(worst.tokens-1, "overshoot")
			case "concurrent":
				b.ReportMetric(worst.concurrent-1, "overshoot")
			}
		})
	}
}
