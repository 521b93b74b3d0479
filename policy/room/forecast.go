package room

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// forecastDecay is the time constant with which observed errors are forgotten.
	forecastDecay = 5 * time.Second
	// priorError, priorSpread and priorCount are the error that is assumed of
	// predictions, as mean and standard deviation of the logarithm of the time taken
	// over the time predicted, and the number of observations that it counts for.
	priorError  = 0.1
	priorSpread = 0.4
	priorCount  = 10.0
	// minSpread is the smallest standard deviation.
	minSpread = 0.15
	// maxError bounds a single observation.
	maxError = 3.0
)

// forecast keeps the error of the predicted time to the first token, by route and by how
// a request waited.
type forecast struct {
	errors map[errorKey]*errorSum
}

type errorKey struct {
	route string
	wait  models.WaitClass
}

// errorSum is a decaying sum of the logarithms of the time taken over the predicted.
type errorSum struct {
	count, sum, squares float64
	updatedAt           time.Time
}

func newForecast() forecast {
	return forecast{errors: map[errorKey]*errorSum{}}
}

// errorOf returns the error of one prediction.
func errorOf(route string, wait models.WaitClass, taken, predicted time.Duration) (e models.PredictionError, ok bool) {
	if taken <= 0 || predicted <= 0 {
		return models.PredictionError{}, false
	}
	ratio := min(max(math.Log(taken.Seconds()/predicted.Seconds()), -maxError), maxError)
	return models.PredictionError{Route: route, Wait: wait, Count: 1, Sum: ratio, Squares: ratio * ratio}, true
}

func (f forecast) add(e models.PredictionError, now time.Time) {
	key := errorKey{e.Route, e.Wait}
	s, ok := f.errors[key]
	if !ok {
		s = &errorSum{updatedAt: now}
		f.errors[key] = s
	}
	s.decay(now)
	s.count += e.Count
	s.sum += e.Sum
	s.squares += e.Squares
}

func (s *errorSum) decay(now time.Time) {
	factor := math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds() / forecastDecay.Seconds())
	s.count *= factor
	s.sum *= factor
	s.squares *= factor
	s.updatedAt = now
}

// moments returns the mean and the standard deviation of the error.
func (f forecast) moments(route string, wait models.WaitClass, now time.Time) (mean, spread float64) {
	count, sum, squares := priorCount, priorCount*priorError, priorCount*(priorSpread*priorSpread+priorError*priorError)
	if s, ok := f.errors[errorKey{route, wait}]; ok {
		s.decay(now)
		count, sum, squares = count+s.count, sum+s.sum, squares+s.squares
	}
	mean = sum / count
	return mean, max(math.Sqrt(max(squares/count-mean*mean, 0)), minSpread)
}

// chance returns the probability that a first token that is predicted for a time
// arrives within a limit.
func (f forecast) chance(route string, wait models.WaitClass, predicted, limit time.Duration, now time.Time) float64 {
	if limit <= 0 {
		return 0
	}
	if predicted <= 0 {
		return 1
	}
	mean, spread := f.moments(route, wait, now)
	return normal((math.Log(limit.Seconds()/predicted.Seconds()) - mean) / spread)
}

// quantile returns the predicted time of a request that has to wait from which it
// arrives within a limit with an even chance.
func (f forecast) quantile(route string, limit time.Duration, now time.Time) time.Duration {
	mean, _ := f.moments(route, models.WaitQueued, now)
	return time.Duration(limit.Seconds() * math.Exp(-mean) * float64(time.Second))
}
