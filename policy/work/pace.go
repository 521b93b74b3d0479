package work

import (
	"math"
	"time"

	"quincewinch/policy/speed"
)

const (
	// pairWeight is the weight of the latest pair of statements in what is known of how
	// long they hold, and assumedSquare the mean square of their deviations that is
	// assumed at first.
	pairWeight    = 0.01
	assumedSquare = 0.2
	// assumedHold is the time constant with which statements are assumed to lose their
	// value until it is known.
	assumedHold = 300 * time.Millisecond
	// minPace and maxPace bound a stated pace.
	minPace = 0.1
	maxPace = 10.0
)

// ages are the upper bounds of the classes of age of a statement.
var ages = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
}

// Hold learns from the statements of a service's servers how much of a stated pace still
// holds some time later. It is not safe for concurrent use.
type Hold struct {
	mean    float64 // pace over the lasting pace of its server
	classes [len(ages)]covariance
}

// covariance is what the deviations of two statements have in common, and how large they
// are.
type covariance struct {
	product, square float64
}

// NewHold returns a Hold that assumes an exponential decay.
func NewHold() *Hold {
	h := &Hold{mean: 1}
	for i := range h.classes {
		h.classes[i] = covariance{product: assumedSquare * math.Exp(-ages[i].Seconds()/assumedHold.Seconds()), square: assumedSquare}
	}
	return h
}

// observe records two statements of a server, in multiples of its lasting pace.
func (h *Hold) observe(before, after float64, gap time.Duration) {
	h.mean += pairWeight * (after - h.mean)
	class := classOf(gap)
	if class == len(ages) {
		return
	}
	x, y := before-h.mean, after-h.mean
	c := &h.classes[class]
	c.product += pairWeight * (x*y - c.product)
	c.square += pairWeight * ((x*x+y*y)/2 - c.square)
}

// Share returns which share of a deviation is left after a time.
func (h *Hold) Share(age time.Duration) float64 {
	class := classOf(age)
	if class == len(ages) || h.classes[class].square <= 0 {
		return 0
	}
	return min(max(h.classes[class].product/h.classes[class].square, 0), 1)
}

// classOf returns the class of an age, len(ages) beyond the last.
func classOf(age time.Duration) int {
	for i, bound := range ages {
		if age <= bound {
			return i
		}
	}
	return len(ages)
}

// Pace is what a server states of how long work takes there. Its zero value knows
// nothing.
type Pace struct {
	lasting Lasting
	blockAt time.Time // of the last statement that lasting has
	level   float64   // how many times as long as usual for good; 0: 1
	latest  float64   // 0: none
	at      time.Time
}

// State records a statement: how many times as long as usual work took at a time. It
// reports false if a later one is known.
func (p *Pace) State(pace float64, at time.Time, h *Hold, now time.Time) bool {
	if p.latest > 0 && !at.After(p.at) {
		return false
	}
	pace = min(max(pace, minPace), maxPace)
	if p.blockAt.IsZero() || at.Sub(p.blockAt) >= blockLength {
		// One statement stands for its time: the mean of several would be neither the
		// pace of a machine that is busy nor that of one that is not.
		p.lasting.Observe(speed.Sample{Weight: 1, LogSum: math.Log(pace)}, at)
		p.blockAt = at
	}
	if _, known := p.lasting.Raw(now); known && p.latest > 0 {
		h.observe(p.latest/p.Level(), pace/p.Level(), at.Sub(p.at))
	}
	p.level = p.lasting.Factor(1, now)
	p.latest, p.at = pace, at
	return true
}

// Level returns how many times as long as usual work takes at the server for good.
func (p *Pace) Level() float64 {
	if p.level == 0 {
		return 1
	}
	return p.level
}

// Expect returns how many times as long as usual work is expected to take: as stated
// last, as far as that still holds, otherwise as usual there.
func (p *Pace) Expect(h *Hold, now time.Time) float64 {
	level := p.Level()
	if p.latest == 0 {
		return level * h.mean
	}
	return level * (h.mean + h.Share(now.Sub(p.at))*(p.latest/level-h.mean))
}

// Stated returns the last statement; a zero time stands for none.
func (p *Pace) Stated() (pace float64, at time.Time) {
	return p.latest, p.at
}
