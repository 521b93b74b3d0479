package fleet

import (
	"math"
	"time"
)

const (
	fastGain          = 0.3  // gain of the average that detects shifts
	minLevelGain      = 0.03 // lower bound of the level's gain, 1/samples
	varianceGain      = 0.05
	blockSize         = 5 // observations per block; block means reveal slow noise
	blockVarianceGain = 0.1
	trendGain         = 0.04 // the trend averages over 1/trendGain observations
	lifetimeGain      = 0.3
	// shiftSigmas is the distance of the fast average from the level that
	// counts as a shift, in standard deviations of the fast average.
	shiftSigmas = 4.0
	// trendSigmas is how far the trend has to move the fast average within
	// 1/trendGain to count, in standard deviations of the fast average.
	trendSigmas    = 4.0
	clipSigmas     = 3.0  // larger differences are clipped to this in the variance
	shiftMargin    = 0.02 // added to the shift threshold, relative to the level
	priorDeviation = 0.2  // standard deviation assumed at first, relative
	priorLifetime  = 75 * time.Second
	minLifetime    = 5 * time.Second
	maxLifetime    = 75 * time.Second
)

// Forecast is the work expected to be offered to one group of engines.
type Forecast struct {
	Mean      Work
	Deviation Work          // standard deviation of one second's work
	Age       time.Duration // since the last shift of the load
	Lifetime  time.Duration // how long the present mix is expected to last
}

// Add returns the forecast for the sum of two independent workloads.
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

// Estimator tracks the offered work. It resets its level when it detects a
// shift, so that it reacts fast, and averages over increasing spans while there
// is none, so that noise does not move it.
type Estimator struct {
	prefill    series
	decode     series
	shiftedAt  time.Time
	reversedAt time.Time
	firstAt    time.Time
	lastAt     time.Time
	lifetime   time.Duration // averaged time between reversals of the mix
	direction  float64       // change of the prefill share at the last shift
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{lifetime: priorLifetime}
}

// Observe records the work offered per second, measured at the given time.
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

// recordShift records a shift. One in the direction opposite to the last shift
// is a reversal of the mix and updates the average lifetime.
func (e *Estimator) recordShift(at time.Time, move float64) {
	e.shiftedAt = at
	if move*e.direction < 0 {
		e.lifetime += time.Duration(lifetimeGain * float64(at.Sub(e.reversedAt)-e.lifetime))
		e.reversedAt = at
	}
	e.direction = move
}

// Forecast returns the work expected a given time after the last observation.
func (e *Estimator) Forecast(after time.Duration) Forecast {
	return Forecast{
		Mean:      Work{Prefill: e.prefill.forecast(after), Decode: e.decode.forecast(after)},
		Deviation: Work{Prefill: e.prefill.deviation(), Decode: e.decode.deviation()},
		Age:       e.lastAt.Sub(e.shiftedAt),
		Lifetime:  e.expectedLifetime(),
	}
}

// expectedLifetime returns how long the present mix is expected to last: the
// larger of the average lifetime and the time since the last reversal, but not
// more than the time observed plus minLifetime.
func (e *Estimator) expectedLifetime() time.Duration {
	observed := e.lastAt.Sub(e.firstAt) + minLifetime
	return min(max(e.lifetime, e.lastAt.Sub(e.reversedAt), minLifetime), observed, maxLifetime)
}

// series estimates the level, trend and variance of one time series.
type series struct {
	samples        int // observations since the level was reset
	fastAverage    float64
	level          float64
	trend          float64           // per second
	sampleVariance varianceEstimator // of single observations
	blockVariance  varianceEstimator // of block means: noise lasting several seconds
	blockSum       float64           // of the current block
	blockCount     int               // observations in the current block
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

// shifted reports whether the fast average deviates from the level by more than
// the shift threshold.
func (s *series) shifted() bool {
	return math.Abs(s.fastAverage-s.level) > shiftSigmas*s.fastDeviation()+shiftMargin*s.level
}

// resetLevel restarts the level at the last observation.
func (s *series) resetLevel() {
	s.level = s.sampleVariance.last
	s.fastAverage = s.sampleVariance.last
	s.trend = 0
	s.samples = 1
}

// trending reports whether the trend is significant against the noise.
func (s *series) trending() bool {
	return math.Abs(s.trend)/trendGain > trendSigmas*s.fastDeviation()
}

// forecast returns the value expected after the given time. It extrapolates the
// trend if there is one.
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

// varianceEstimator estimates a variance from the differences of successive
// values, which a slowly moving level hardly affects.
type varianceEstimator struct {
	count    int
	last     float64
	variance float64
}

func (s *varianceEstimator) observe(value, minGain float64) {
	square := (value - s.last) * (value - s.last) / 2
	s.count++
	s.last = value
	if s.count == 1 {
		s.variance = (priorDeviation * value) * (priorDeviation * value)
		return
	}
	if s.count > int(1/minGain) {
		square = min(square, clipSigmas*clipSigmas*s.variance)
	}
	s.variance += max(1/float64(s.count), minGain) * (square - s.variance)
}
