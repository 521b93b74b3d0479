package outlier_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/outlier"
)

var (
	start  = time.Unix(1000, 0)
	failed = outlier.Observation{Failed: true}
	well   = outlier.Observation{Predicted: time.Second, Taken: time.Second}
	slowly = outlier.Observation{Predicted: time.Second, Taken: 10 * time.Second}
)

func observe(d *outlier.Detector, engine models.EngineID, seen outlier.Observation, times int, now time.Time) {
	for range times {
		d.Observe(engine, seen, now)
	}
}

func engines(n int) []models.EngineID {
	var all []models.EngineID
	for i := range n {
		all = append(all, models.EngineID("e-"+strconv.Itoa(i)))
	}
	return all
}

func assertStanding(t *testing.T, d *outlier.Detector, engine models.EngineID, now time.Time, want outlier.Standing) {
	t.Helper()
	is := is.New(t)
	is.Equal(d.Standings(engines(10), now)[engine], want)
}

func TestEjection(t *testing.T) {
	bad := map[string]outlier.Observation{"fails": failed, "slows": slowly}
	for name, seen := range bad {
		t.Run("an engine that "+name+" is out, probed and let in again", func(t *testing.T) {
			is := is.New(t)
			d := outlier.NewDetector()
			for _, engine := range engines(10) {
				observe(d, engine, well, 50, start)
			}
			observe(d, "e-1", seen, 2, start)
			assertStanding(t, d, "e-1", start, outlier.In)
			observe(d, "e-1", seen, 20, start)
			assertStanding(t, d, "e-1", start, outlier.Out)
			assertStanding(t, d, "e-2", start, outlier.In)
			later := start.Add(outOf(d, "e-1", start))
			assertStanding(t, d, "e-1", later, outlier.Probe)
			d.Probing("e-1", later)
			assertStanding(t, d, "e-1", later, outlier.Out) // one probe at a time
			d.Observe("e-1", seen, later)
			first := outOf(d, "e-1", start)
			is.True(outOf(d, "e-1", later) > first/2) // out again
			assertStanding(t, d, "e-1", later, outlier.Out)
			last := later.Add(outOf(d, "e-1", later))
			is.True(d.Observe("e-1", well, last)) // a change
			assertStanding(t, d, "e-1", last, outlier.In)
		})
	}
	t.Run("a late answer does not end an ejection", func(t *testing.T) {
		d := outlier.NewDetector()
		observe(d, "e-1", failed, 3, start)
		d.Observe("e-1", well, start.Add(time.Second))
		assertStanding(t, d, "e-1", start.Add(time.Second), outlier.Out)
	})
	t.Run("all engines failing do not empty the fleet", func(t *testing.T) {
		is := is.New(t)
		d := outlier.NewDetector()
		for _, engine := range engines(10) {
			observe(d, engine, failed, 10, start)
		}
		in := 0
		for _, standing := range d.Standings(engines(10), start) {
			if standing == outlier.In {
				in++
			}
		}
		is.Equal(in, 6) // at most 40% are out
	})
}

func outOf(d *outlier.Detector, engine models.EngineID, now time.Time) time.Duration {
	return d.Ejected(now)[engine]
}
