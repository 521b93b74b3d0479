package serving_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/policy/serving"
)

// The load: prompts of a long part that many share and a short one of their
// own, in bursts, on a fleet that cannot read every shared part each time.
const (
	sharedTokens = 13300
	ownTokens    = 3700
	things       = 85 // different shared parts
	objective    = 800 * time.Millisecond
	loadTime     = 60 * time.Second
	perSecond    = 12.6
	burst        = 2.0 // times as much in every third five seconds
)

// fleetEngine is an engine that reads prompts one after another.
type fleetEngine struct {
	role  models.Role
	rate  float64
	free  time.Duration // when it has read what it was given
	kept  map[int]bool  // shared parts
	reads int           // tokens
}

// fleet is the engines of one run.
type fleet []*fleetEngine

func newFleet() fleet {
	var f fleet
	for range 5 {
		f = append(f, &fleetEngine{role: models.RoleDecode, rate: rate, kept: map[int]bool{}})
	}
	for range 4 {
		f = append(f, &fleetEngine{role: models.RolePrefill, rate: 2.5 * rate, kept: map[int]bool{}})
	}
	return f
}

// read has an engine read a prompt and returns when it is done.
func (e *fleetEngine) read(thing int, now time.Duration) time.Duration {
	tokens := ownTokens
	if !e.kept[thing] {
		tokens += sharedTokens
	}
	e.kept[thing] = true
	e.reads += tokens
	e.free = max(e.free, now) + time.Duration(float64(tokens)/e.rate*float64(time.Second))
	return e.free
}

// choice places a prompt and returns when its first token comes.
type choice func(f fleet, thing int, now time.Duration) time.Duration

// byPolicy places as the product does.
func byPolicy(f fleet, thing int, now time.Duration) time.Duration {
	engines := make([]serving.Engine, len(f))
	for i, e := range f {
		engines[i] = serving.Engine{Role: e.role, Slots: 64, Rate: e.rate, Backlog: max(e.free-now, 0)}
		if e.kept[thing] {
			engines[i].Cached = sharedTokens
		}
	}
	c, ok := serving.Choose(serving.Request{Tokens: sharedTokens + ownTokens, Fetch: 1.3e6}, engines)
	if !ok {
		return loadTime
	}
	reader := f[c.Target]
	if c.Prefiller >= 0 {
		reader = f[c.Prefiller]
		f[c.Target].kept[thing] = true
	}
	return reader.read(thing, now) + 100*time.Millisecond
}

// byBacklog gives each prompt to the engine that generates and is least behind.
func byBacklog(f fleet, thing int, now time.Duration) time.Duration {
	var least *fleetEngine
	for _, e := range f {
		if e.role == models.RoleDecode && (least == nil || e.free < least.free) {
			least = e
		}
	}
	return least.read(thing, now) + 100*time.Millisecond
}

// play returns the share of requests whose first token came in time, and the
// tokens that were read.
func play(seed uint64, choose choice) (onTime float64, reads int) {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet()
	asked, served := 0, 0
	for now := time.Duration(0); now < loadTime; {
		pace := perSecond
		if now/(5*time.Second)%3 == 0 {
			pace *= burst
		}
		now += time.Duration(random.ExpFloat64() / pace * float64(time.Second))
		asked++
		if choose(f, random.IntN(things), now)-now <= objective {
			served++
		}
	}
	for _, e := range f {
		reads += e.reads
	}
	return float64(served) / float64(asked), reads
}

func TestMoreComesInTimeThanByBacklogAlone(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			served, reads := play(seed, byPolicy)
			naive, naiveReads := play(seed, byBacklog)
			if served <= naive {
				t.Errorf("%.3f in time, %.3f by backlog alone", served, naive)
			}
			if reads >= naiveReads {
				t.Errorf("%d tokens read, %d by backlog alone", reads, naiveReads)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	engines := make([]serving.Engine, 120)
	for i := range engines {
		engines[i] = decode()
		if i%3 == 0 {
			engines[i] = prefill()
		}
		engines[i].Order = i
	}
	request := serving.Request{Zone: "z", Tokens: sharedTokens + ownTokens, Fetch: 1.3e6}
	for b.Loop() {
		serving.Choose(request, engines)
	}
}

func BenchmarkServedInTime(b *testing.B) {
	for name, choose := range map[string]choice{"policy": byPolicy, "backlog": byBacklog} {
		b.Run(name, func(b *testing.B) {
			var served float64
			for b.Loop() {
				served, _ = play(1, choose)
			}
			b.ReportMetric(served, "in-time")
		})
	}
}
