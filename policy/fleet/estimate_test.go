package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/policy/fleet"
)

// observe feeds the estimator one noisy observation around a mean per second.
func observe(e *fleet.Estimator, random *rand.Rand, from, seconds int, mean fleet.Work, noise float64) {
	for i := range seconds {
		e.Observe(time.Unix(int64(from+i), 0), fleet.Work{
			Prefill: mean.Prefill * (1 + noise*random.NormFloat64()),
			Decode:  mean.Decode * (1 + noise*random.NormFloat64()),
		})
	}
}

func TestEstimatorDetectsShiftWithin5Seconds(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		e := fleet.NewEstimator()
		observe(e, random, 0, 120, fleet.Work{Prefill: 3.8, Decode: 7}, 0.05)
		observe(e, random, 120, 5, fleet.Work{Prefill: 5.7, Decode: 5.1}, 0.05)
		f := e.Forecast(0)
		is.True(f.Mean.Prefill > 5.3 && f.Mean.Prefill < 6.1) // within five seconds
		is.True(f.Mean.Decode > 4.7 && f.Mean.Decode < 5.5)
	}
}

func TestEstimatorStableUnderNoise(t *testing.T) {
	shifts := 0
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 4))
		e := fleet.NewEstimator()
		observe(e, random, 0, 600, fleet.Work{Prefill: 3.8, Decode: 7}, 0.2)
		f := e.Forecast(0)
		is.True(f.Mean.Prefill > 3.4 && f.Mean.Prefill < 4.2)
		is.True(f.Deviation.Prefill > 0.5 && f.Deviation.Prefill < 1.1) // true value: 0.76
		if f.Age < 590*time.Second {
			shifts++
		}
	}
	is.New(t).True(shifts <= 5) // at most one run in ten detects a shift in ten minutes of noise
}

func TestEstimatorFollowsTrend(t *testing.T) {
	is := is.New(t)
	e := fleet.NewEstimator()
	for second := range 120 {
		e.Observe(time.Unix(int64(second), 0), fleet.Work{Prefill: 2 + 0.02*float64(second), Decode: 7})
	}
	ahead := e.Forecast(20 * time.Second).Mean.Prefill
	is.True(ahead > 4.5 && ahead < 5) // true value: 4.78
}
