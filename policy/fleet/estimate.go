package fleet

import (
	"math"
	"time"
)

const (
	fastGain          = 0.3  // of the average that looks for a swing
	minLevelGain      = 0.03 // of the level once it has settled
	varianceGain      = 0.05
	blockSize         = 5 // observations in a block, whose means show slow noise
	blockVarianceGain = 0.1
	trendGain         = 0.04 // averages a trend over its inverse in observations
	lifetimeGain      = 0.3
	shiftSigmas       = 4.0  // deviation of the fast average that counts as a swing
	trendSigmas       = 4.0  // of the fast average, by which it has to move in that span
	clipSigmas        = 3.0  // a step counts as no more than this in the variance
	shiftMargin       = 0.02 // of the level, in the test for a swing
	priorDeviation    = 0.2  // of the first observation
	priorLifetime     = 75 * time.Second
	minLifetime       = 5 * time.Second
	maxLifetime       = 75 * time.Second
)

// Forecast is what is expected of the work offered for one group of engines.
type Forecast struct {
	Mean      Work
	Deviation Work          // standard deviation of one second's work
	Age       time.Duration // since the mix last swung
	Lifetime  time.Duration // how long the present mix is expected to last
}

// Add returns the forecast of both groups' work together.
func (f Forecast) Add(other Forecast) Forecast {
	return Forecast{
		Mean: f.Mean.Add(other.Mean),
		Deviation: Work{
			Prefill: math.Hypot(f.Deviation.Prefill, other.Deviation.Prefill),
			Decode:  math.Hypot(f.Deviation.Decode, other.Deviation.Decode),
		},
		Age:      min(f.Age, other.Age),
		Lifetime: min(f.Lifetime, other.Lifetime),
	}
}

// Estimator follows the work offered. It restarts its level at a swing, so
// that it is fast then, and averages over longer and longer spans while none
// shows, so that it is steady on noise.
type Estimator struct {
	prefill    series
	decode     series
	shiftedAt  time.Time
	reversedAt time.Time
	firstAt    time.Time
	lastAt     time.Time
	lifetime   time.Duration // between turns of the mix, averaged
	direction  float64       // in which the share of prefill last swung
}

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{lifetime: priorLifetime}
}

// Observe takes in the work offered per second, measured at an instant.
func (e *Estimator) Observe(at time.Time, offered Work) {
	if e.lastAt.IsZero() {
		e.firstAt, e.shiftedAt, e.reversedAt = at, at, at
	}
	elapsed := at.Sub(e.lastAt).Seconds()
	e.lastAt = at
	before := Work{Prefill: e.prefill.level, Decode: e.decode.level}
	e.prefill.observe(offered.Prefill, elapsed)
	e.decode.observe(offered.Decode, elapsed)
	if !e.prefill.shifted() && !e.decode.shifted() {
		return
	}
	e.prefill.resetLevel()
	e.decode.resetLevel()
	after := Work{Prefill: e.prefill.level, Decode: e.decode.level}
	e.recordShift(at, after.PrefillShare()-before.PrefillShare())
}

// recordShift notes a swing, and whether the mix turned back by it.
func (e *Estimator) recordShift(at time.Time, move float64) {
	e.shiftedAt = at
	if move*e.direction < 0 {
		e.lifetime += time.Duration(lifetimeGain * float64(at.Sub(e.reversedAt)-e.lifetime))
		e.reversedAt = at
	}
	e.direction = move
}

// Forecast returns what is expected after a span from the last observation.
func (e *Estimator) Forecast(after time.Duration) Forecast {
	return Forecast{
		Mean:      Work{Prefill: e.prefill.forecast(after), Decode: e.decode.forecast(after)},
		Deviation: Work{Prefill: e.prefill.deviation(), Decode: e.decode.deviation()},
		Age:       e.lastAt.Sub(e.shiftedAt),
		Lifetime:  e.expectedLifetime(),
	}
}

// expectedLifetime returns how long the present mix is expected to last: as long
// as mixes lasted before, or as this one has; not much longer than anything
// was seen.
func (e *Estimator) expectedLifetime() time.Duration {
	known := e.lastAt.Sub(e.firstAt) + minLifetime
	return min(max(e.lifetime, e.lastAt.Sub(e.reversedAt), minLifetime), known, maxLifetime)
}

// series follows one figure.
type series struct {
	samples        int // observations since the level's restart
	fastAverage    float64
	level          float64
	trend          float64           // per second
	sampleVariance varianceEstimator // of one observation
	blockVariance  varianceEstimator // of a block's mean: noise that lasts some seconds shows here
	blockSum       float64           // of the block under way
	blockCount     int               // observations in it
}

func (s *series) observe(value, elapsed float64) {
	s.samples++
	s.sampleVariance.observe(value, varianceGain)
	s.addToBlock(value)
	if s.sampleVariance.count == 1 {
		s.fastAverage, s.level = value, value
		return
	}
	fast := s.fastAverage + fastGain*(value-s.fastAverage)
	if elapsed > 0 {
		s.trend += trendGain * ((fast-s.fastAverage)/elapsed - s.trend)
	}
	s.fastAverage = fast
	if s.trending() {
		s.level += s.trend * elapsed
	}
	s.level += max(1/float64(s.samples), minLevelGain) * (value - s.level)
}

func (s *series) addToBlock(value float64) {
	s.blockSum += value
	s.blockCount++
	if s.blockCount == blockSize {
		s.blockVariance.observe(s.blockSum/blockSize, blockVarianceGain)
		s.blockSum, s.blockCount = 0, 0
	}
}

// shifted reports whether the fast average has left the level.
func (s *series) shifted() bool {
	return math.Abs(s.fastAverage-s.level) > shiftSigmas*s.fastDeviation()+shiftMargin*s.level
}

// resetLevel begins a new level at the last observation.
func (s *series) resetLevel() {
	s.level = s.sampleVariance.last
	s.fastAverage = s.sampleVariance.last
	s.trend = 0
	s.samples = 1
}

// trending reports whether the trend stands out of the noise.
func (s *series) trending() bool {
	return math.Abs(s.trend)/trendGain > trendSigmas*s.fastDeviation()
}

// forecast returns the figure expected after a span, by the trend where there
// is one.
func (s *series) forecast(after time.Duration) float64 {
	if !s.trending() {
		return s.level
	}
	return max(0, s.level+s.trend*after.Seconds())
}

func (s *series) deviation() float64 {
	return math.Sqrt(max(s.sampleVariance.variance, s.blockVariance.variance))
}

// fastDeviation returns the standard deviation of the fast average.
func (s *series) fastDeviation() float64 {
	return math.Sqrt(max(s.sampleVariance.variance*fastGain/(2-fastGain), s.blockVariance.variance))
}

// varianceEstimator follows a variance by differences of successive figures, which a
// level that moves leaves alone.
type varianceEstimator struct {
	count    int
	last     float64
	variance float64
}

func (s *varianceEstimator) observe(value, slowest float64) {
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
