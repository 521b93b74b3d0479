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
	daemons          = 7
	tick             = 50 * time.Millisecond
	reportTicks      = 20 // between two reports of a daemon
	updateTicks      = 5
	windowTicks      = 200 // over which overshoot is measured
	totalTicks       = 1600
	shiftTicks       = 200 // between two shifts of the demand
	maxRequestTicks  = 60  // duration of a request
	tokensPerRequest = 100
)

var workspace = models.WorkspaceSettings{Name: "sales", RequestsPerSecond: 50, TokensPerSecond: 4000, Concurrent: 60}

// testDaemon is a simulated daemon, with its counts.
type testDaemon struct {
	limiter *limit.Limiter
	naive   naive.UncoordinatedLimit
	work    models.WorkDone
	reports map[models.DaemonID]models.PeerReport
	ends    map[int]int // number of requests that end at each tick
}

// outcome is the peak of what was admitted relative to each limit.
type outcome struct {
	requests   float64 // in any window, relative to what the limit allows in it
	tokens     float64
	concurrent float64
	naive      float64
	used       float64 // mean share of the requests limit that was used
}

// simulate offers several times the limit to daemons that report to each other
// once a second. The demand shifts between the daemons, and one daemon is
// partitioned from the others for the middle third of the time.
func simulate(seed uint64, settings models.WorkspaceSettings) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	var fleet []*testDaemon
	for i := range daemons {
		fleet = append(fleet, &testDaemon{limiter: limit.NewLimiter(id(i)), reports: map[models.DaemonID]models.PeerReport{}, ends: map[int]int{}})
	}
	partitioned := random.IntN(daemons)
	var admitted, byNaive [totalTicks]int
	weights := make([]float64, daemons)
	var result outcome
	for now := range totalTicks {
		at := time.Unix(1000, 0).Add(time.Duration(now) * tick)
		partition := now > totalTicks/3 && now < 2*totalTicks/3
		if now%shiftTicks == 0 {
			for i := range weights {
				weights[i] = random.ExpFloat64()
			}
		}
		running := 0
		for i, d := range fleet {
			d.finish(now)
			if (now+i*3)%reportTicks == 0 {
				sendReport(fleet, i, partitioned, partition, at)
			}
			if now%updateTicks == 0 {
				d.update(at)
			}
			for range poisson(random, 4*50*tick.Seconds()*weights[i]/sum(weights)) {
				admitted[now] += d.offer(settings, now, random, at)
				if d.naive.Admit(50, at) {
					byNaive[now]++
				}
			}
			running += d.work.Running
		}
		if settings.Concurrent > 0 {
			result.concurrent = max(result.concurrent, float64(running)/float64(settings.Concurrent))
		}
	}
	result.requests, result.used = peakRatio(admitted[:], settings.RequestsPerSecond)
	result.tokens, _ = peakRatio(admitted[:], settings.TokensPerSecond/tokensPerRequest)
	result.naive, _ = peakRatio(byNaive[:], settings.RequestsPerSecond)
	return result
}

func id(i int) models.DaemonID {
	return models.DaemonID("d-" + strconv.Itoa(i))
}

func (d *testDaemon) finish(now int) {
	for range d.ends[now] {
		d.work.Running--
		d.limiter.Release(workspace.Name, tokensPerRequest, tokensPerRequest)
	}
}

func (d *testDaemon) offer(settings models.WorkspaceSettings, now int, random *rand.Rand, at time.Time) int {
	if !d.limiter.Admit(settings, tokensPerRequest, at).Admitted {
		d.work.Refused++
		return 0
	}
	d.work.Requests++
	d.work.Running++
	d.ends[now+1+random.IntN(maxRequestTicks)]++
	return 1
}

func (d *testDaemon) update(at time.Time) {
	var reports []models.PeerReport
	for i := range daemons {
		if report, ok := d.reports[id(i)]; ok {
			reports = append(reports, report)
		}
	}
	d.limiter.Update(map[models.Workspace]models.WorkDone{workspace.Name: d.work}, reports, at)
}

func sendReport(fleet []*testDaemon, from, partitioned int, partition bool, at time.Time) {
	report := models.DaemonReport{Daemon: id(from), Work: map[models.Workspace]models.WorkDone{workspace.Name: fleet[from].work}}
	for to, d := range fleet {
		if to != from && (!partition || to != partitioned && from != partitioned) {
			d.reports[id(from)] = models.PeerReport{Report: report, ReceivedAt: at}
		}
	}
}

// peakRatio returns the most admitted in any window relative to what the limit
// allows, and the mean share of the limit that was used.
func peakRatio(admitted []int, perSecond float64) (float64, float64) {
	inWindow, total := 0, 0
	var peak float64
	settled := 100 // ticks until all daemons have reports from each other
	for i, count := range admitted {
		if i < settled {
			continue
		}
		inWindow += count
		total += count
		if i-settled >= windowTicks {
			inWindow -= admitted[i-windowTicks]
		}
		peak = max(peak, float64(inWindow)/(perSecond*windowTicks*tick.Seconds()))
	}
	return peak, float64(total) / (perSecond * float64(len(admitted)-settled) * tick.Seconds())
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for elapsed := random.ExpFloat64(); elapsed < mean; elapsed += random.ExpFloat64() {
		count++
	}
	return count
}

func sum(weights []float64) float64 {
	var total float64
	for _, weight := range weights {
		total += weight
	}
	return total
}

// onlyLimit returns settings with a single limit.
func onlyLimit(kind string) models.WorkspaceSettings {
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

// TestOvershoot checks that the daemons together admit at most 1.25 times a
// rate limit plus a burst of one second in any ten seconds, and at most 1.25
// times the limit on concurrent requests.
func TestOvershoot(t *testing.T) {
	const rateBound, concurrentBound = 1.25 + 0.1, 1.25
	for seed := range uint64(20) {
		is := is.New(t)
		is.True(simulate(seed, onlyLimit("requests")).requests <= rateBound)           // requests stay within the bound
		is.True(simulate(seed, onlyLimit("tokens")).tokens <= rateBound)               // tokens stay within the bound
		is.True(simulate(seed, onlyLimit("concurrent")).concurrent <= concurrentBound) // concurrent requests stay within the bound
	}
}

// loneLimiter returns the limiter of a daemon that has run for 10 s without
// reports of others.
func loneLimiter(now time.Time) *limit.Limiter {
	l := limit.NewLimiter("d")
	for ago := 10 * time.Second; ago >= 0; ago -= 250 * time.Millisecond {
		l.Update(map[models.Workspace]models.WorkDone{workspace.Name: {}}, nil, now.Add(-ago))
	}
	return l
}

func TestLoneDaemon(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("has the whole limit", func(t *testing.T) {
		is := is.New(t)
		l := loneLimiter(start)
		count := 0
		for l.Admit(onlyLimit("concurrent"), tokensPerRequest, start).Admitted {
			count++
		}
		is.Equal(count, workspace.Concurrent)
	})
	t.Run("a rejection says when to retry", func(t *testing.T) {
		is := is.New(t)
		l := loneLimiter(start)
		settings := models.WorkspaceSettings{Name: workspace.Name, RequestsPerSecond: 0.5}
		is.True(l.Admit(settings, tokensPerRequest, start).Admitted)
		decision := l.Admit(settings, tokensPerRequest, start)
		is.Equal(decision, limit.Decision{Limit: "requests a second", RetryAfter: 2 * time.Second})
		is.True(l.Admit(settings, tokensPerRequest, start.Add(decision.RetryAfter)).Admitted) // a retry after RetryAfter succeeds
	})
	t.Run("tokens used beyond the estimate delay later requests", func(t *testing.T) {
		is := is.New(t)
		l := loneLimiter(start)
		is.True(l.Admit(onlyLimit("tokens"), tokensPerRequest, start).Admitted)
		l.Release(workspace.Name, tokensPerRequest, 3*workspace.TokensPerSecond)
		is.True(!l.Admit(onlyLimit("tokens"), tokensPerRequest, start.Add(time.Second)).Admitted)
	})
}

func BenchmarkLimit(b *testing.B) {
	for _, kind := range []string{"requests", "tokens", "concurrent"} {
		b.Run(kind, func(b *testing.B) {
			var worst outcome
			for n := range b.N {
				o := simulate(uint64(n), onlyLimit(kind))
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
