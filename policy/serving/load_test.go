package serving_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

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

// choose chooses as the product does.
func (f fleet) choose(thing int, now time.Duration) serving.Choice {
	engines := make([]serving.Engine, len(f))
	for i, e := range f {
		engines[i] = serving.Engine{Role: e.role, Slots: 64, Rate: e.rate, Backlog: max(e.free-now, 0)}
		if e.kept[thing] {
			engines[i].Cached = sharedTokens
		}
	}
	// There is always an engine that generates.
	c, _ := serving.Choose(serving.Request{Tokens: sharedTokens + ownTokens, Fetch: 1.3e6}, engines)
	return c
}

// send has a prompt read as chosen and returns when its first token comes.
func (f fleet) send(c serving.Choice, thing int, now time.Duration) time.Duration {
	reader := f[c.Target]
	if c.Prefiller >= 0 {
		reader = f[c.Prefiller]
		f[c.Target].kept[thing] = true
	}
	return reader.read(thing, now) + 100*time.Millisecond
}

// byPolicy places as the product does.
func byPolicy(f fleet, thing int, now time.Duration) time.Duration {
	return f.send(f.choose(thing, now), thing, now)
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

// playLoss plays the load on a fleet that loses half of its engines for five
// seconds, and returns the share of requests whose first token came in time and
// the share that came before their callers left.
func playLoss(seed uint64, hold bool) (onTime, answered float64) {
	const (
		lossFrom = 20 * time.Second
		lossTo   = 25 * time.Second
		patience = 6 * time.Second
		lossPace = 2.0 // times as much as on the whole fleet
	)
	type request struct {
		thing int
		at    time.Duration
	}
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet()
	var held []request
	asked, served, late := 0, 0, 0
	offer := func(r request, now time.Duration) (sent bool) {
		engines := f
		if now >= lossFrom && now < lossTo {
			engines = append(append(fleet(nil), f[:3]...), f[5:7]...)
		}
		c := engines.choose(r.thing, now)
		urge := serving.Urge{Objective: r.at + objective - now, Patience: r.at + patience - now}
		if hold && serving.Hold(urge, c) {
			return false
		}
		switch took := engines.send(c, r.thing, now) - r.at; {
		case took <= objective:
			served++
		case took <= patience:
			late++
		}
		return true
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < loadTime+patience; now += serving.HoldStep {
		waiting := held
		held = nil
		for _, r := range waiting {
			if !offer(r, now) {
				held = append(held, r)
			}
		}
		for next <= now && next < loadTime {
			r := request{thing: random.IntN(things), at: next}
			asked++
			if !offer(r, next) {
				held = append(held, r)
			}
			next += time.Duration(random.ExpFloat64() / (perSecond * lossPace) * float64(time.Second))
		}
	}
	return float64(served) / float64(asked), float64(served+late) / float64(asked)
}

func TestHoldingAfterALoss(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			onTime, answered := playLoss(seed, true)
			before, answeredBefore := playLoss(seed, false)
			if onTime <= before {
				t.Errorf("%.3f in time, %.3f where all are sent at once", onTime, before)
			}
			if answered < answeredBefore {
				t.Errorf("%.3f answered, %.3f where all are sent at once", answered, answeredBefore)
			}
		})
	}
}

func TestHold(t *testing.T) {
	behind := serving.Choice{Predicted: time.Second, Behind: 700 * time.Millisecond}
	soon := serving.Urge{Objective: 600 * time.Millisecond, Patience: 4 * time.Second}
	tests := []struct {
		name   string
		urge   serving.Urge
		choice serving.Choice
		want   bool
	}{
		{"one that would be late", soon, behind, true},
		{"one in time", serving.Urge{Objective: time.Second, Patience: 4 * time.Second}, behind, false},
		{"one whose engine is not behind", soon, serving.Choice{Predicted: time.Second, Behind: 20 * time.Millisecond}, false},
		{"one whose caller is about to leave", serving.Urge{Objective: -time.Second, Patience: 2 * time.Second}, behind, false},
		{"one that is late already", serving.Urge{Objective: -time.Second, Patience: 3 * time.Second}, behind, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(serving.Hold(test.urge, test.choice), test.want)
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
