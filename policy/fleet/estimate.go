package fleet

import (
	"math"
	"time"
)

const (
	fastGain       = 0.3  // of the average that looks for a swing
	slowestGain    = 0.03 // of the level once it has settled
	varianceGain   = 0.05
	blockLength    = 5 // observations in a block, whose means show slow noise
	blockGain      = 0.1
	trendGain      = 0.04 // averages a trend over its inverse in observations
	turnGain       = 0.3
	swingSigmas    = 4.0  // deviation of the fast average that counts as a swing
	trendSigmas    = 4.0  // of the fast average, by which it has to move in that span
	clipSigmas     = 3.0  // a step counts as no more than this in the variance
	floorDeviation = 0.02 // of the level, in the test for a swing
	priorDeviation = 0.2  // of the first observation
	priorLife      = 75 * time.Second
	shortestLife   = 5 * time.Second
	longestLife    = 75 * time.Second
)

// Forecast is what is expected of the work offered for one group of engines.
type Forecast struct {
	Mean      Work
	Deviation Work          // standard deviation of one second's work
	Age       time.Duration // since the mix last swung
	Life      time.Duration // how long the present mix is expected to last
}

// Add returns the forecast of both groups' work together.
func (f Forecast) Add(other Forecast) Forecast {
	return Forecast{
		Mean: f.Mean.Add(other.Mean),
		Deviation: Work{
			Prefill: math.Hypot(f.Deviation.Prefill, other.Deviation.Prefill),
			Decode:  math.Hypot(f.Deviation.Decode, other.Deviation.Decode),
		},
		Age:  min(f.Age, other.Age),
		Life: min(f.Life, other.Life),
	}
}

// Estimator follows the work offered. It restarts its level at a swing, so
// that it is fast then, and averages over longer and longer spans while none
// shows, so that it is steady on noise.
type Estimator struct {
	prefill   series
	decode    series
	swungAt   time.Time
	turnedAt  time.Time
	firstAt   time.Time
	lastAt    time.Time
	life      time.Duration // between turns of the mix, averaged
	direction float64       // in which the share of prefill last swung
}

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{life: priorLife}
}

// Observe takes in the work offered per second, measured at an instant.
func (e *Estimator) Observe(at time.Time, offered Work) {
	if e.lastAt.IsZero() {
		e.firstAt, e.swungAt, e.turnedAt = at, at, at
	}
	elapsed := at.Sub(e.lastAt).Seconds()
	e.lastAt = at
	before := Work{Prefill: e.prefill.level, Decode: e.decode.level}
	e.prefill.observe(offered.Prefill, elapsed)
	e.decode.observe(offered.Decode, elapsed)
	if !e.prefill.swung() && !e.decode.swung() {
		return
	}
	e.prefill.restart()
	e.decode.restart()
	after := Work{Prefill: e.prefill.level, Decode: e.decode.level}
	e.swing(at, after.PrefillShare()-before.PrefillShare())
}

// swing notes a swing, and whether the mix turned back by it.
func (e *Estimator) swing(at time.Time, move float64) {
	e.swungAt = at
	if move*e.direction < 0 {
		e.life += time.Duration(turnGain * float64(at.Sub(e.turnedAt)-e.life))
		e.turnedAt = at
	}
	e.direction = move
}

// Forecast returns what is expected after a span from the last observation.
func (e *Estimator) Forecast(after time.Duration) Forecast {
	return Forecast{
		Mean:      Work{Prefill: e.prefill.expect(after), Decode: e.decode.expect(after)},
		Deviation: Work{Prefill: e.prefill.deviation(), Decode: e.decode.deviation()},
		Age:       e.lastAt.Sub(e.swungAt),
		Life:      e.expectedLife(),
	}
}

// expectedLife returns how long the present mix is expected to last: as long
// as mixes lasted before, or as this one has; not much longer than anything
// was seen.
func (e *Estimator) expectedLife() time.Duration {
	known := e.lastAt.Sub(e.firstAt) + shortestLife
	return min(max(e.life, e.lastAt.Sub(e.turnedAt), shortestLife), known, longestLife)
}

// series follows one figure.
type series struct {
	settled int // observations since the level's restart
	fast    float64
	level   float64
	trend   float64 // per second
	single  spread  // of one observation
	block   spread  // of a block's mean: noise that lasts some seconds shows here
	sum     float64 // of the block under way
	summed  int     // observations in it
}

func (s *series) observe(value, elapsed float64) {
	s.settled++
	s.single.observe(value, varianceGain)
	s.addToBlock(value)
	if s.single.count == 1 {
		s.fast, s.level = value, value
		return
	}
	fast := s.fast + fastGain*(value-s.fast)
	if elapsed > 0 {
		s.trend += trendGain * ((fast-s.fast)/elapsed - s.trend)
	}
	s.fast = fast
	if s.trending() {
		s.level += s.trend * elapsed
	}
	s.level += max(1/float64(s.settled), slowestGain) * (value - s.level)
}

func (s *series) addToBlock(value float64) {
	s.sum += value
	s.summed++
	if s.summed == blockLength {
		s.block.observe(s.sum/blockLength, blockGain)
		s.sum, s.summed = 0, 0
	}
}

// swung reports whether the fast average has left the level.
func (s *series) swung() bool {
	return math.Abs(s.fast-s.level) > swingSigmas*s.fastDeviation()+floorDeviation*s.level
}

// restart begins a new level at the last observation.
func (s *series) restart() {
	s.level = s.single.last
	s.fast = s.single.last
	s.trend = 0
	s.settled = 1
}

// trending reports whether the trend stands out of the noise.
func (s *series) trending() bool {
	return math.Abs(s.trend)/trendGain > trendSigmas*s.fastDeviation()
}

// expect returns the figure expected after a span, by the trend where there
// is one.
func (s *series) expect(after time.Duration) float64 {
	if !s.trending() {
		return s.level
	}
	return max(0, s.level+s.trend*after.Seconds())
}

func (s *series) deviation() float64 {
	return math.Sqrt(max(s.single.variance, s.block.variance))
}

// fastDeviation returns the standard deviation of the fast average.
func (s *series) fastDeviation() float64 {
	return math.Sqrt(max(s.single.variance*fastGain/(2-fastGain), s.block.variance))
}

// spread follows a variance by differences of successive figures, which a
// level that moves leaves alone.
type spread struct {
	count    int
	last     float64
	variance float64
}

func (s *spread) observe(value, slowest float64) {
	square := (value - s.last) * (value - s.last) / 2
	s.count++
	s.last = value
	if s.count == 1 {
		s.variance = (priorDeviation * value) * (priorDeviation * value)
		return
	}
	if s.count > int(1/slowest) {
		square = min(square, clipSigmas*clipSigmas*s.variance)
	}
	s.variance += max(1/float64(s.count), slowest) * (square - s.variance)
}
