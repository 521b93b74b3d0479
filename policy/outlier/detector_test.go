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
	start     = time.Unix(1000, 0)
	failed    = outlier.Observation{Failed: true}
	succeeded = outlier.Observation{Predicted: time.Second, Taken: time.Second}
	slow      = outlier.Observation{Predicted: time.Second, Taken: 10 * time.Second}
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

func assertStatus(t *testing.T, d *outlier.Detector, engine models.EngineID, now time.Time, want outlier.Status) {
	t.Helper()
	is := is.New(t)
	is.Equal(d.Statuses(engines(10), now)[engine], want)
}

func TestEjection(t *testing.T) {
	bad := map[string]outlier.Observation{"fails": failed, "is slow": slow}
	for name, seen := range bad {
		t.Run("an engine that "+name+" is ejected, probed and readmitted", func(t *testing.T) {
			is := is.New(t)
			d := outlier.NewDetector()
			for _, engine := range engines(10) {
				observe(d, engine, succeeded, 50, start)
			}
			observe(d, "e-1", seen, 2, start)
			assertStatus(t, d, "e-1", start, outlier.InService)
			observe(d, "e-1", seen, 20, start)
			assertStatus(t, d, "e-1", start, outlier.Ejected)
			assertStatus(t, d, "e-2", start, outlier.InService)
			later := start.Add(ejectedFor(d, "e-1", start))
			assertStatus(t, d, "e-1", later, outlier.ProbeDue)
			d.RecordProbe("e-1", later)
			assertStatus(t, d, "e-1", later, outlier.Ejected) // one probe at a time
			d.Observe("e-1", seen, later)
			first := ejectedFor(d, "e-1", start)
			is.True(ejectedFor(d, "e-1", later) > first/2) // ejected again
			assertStatus(t, d, "e-1", later, outlier.Ejected)
			readmitted := later.Add(ejectedFor(d, "e-1", later))
			is.True(d.Observe("e-1", succeeded, readmitted)) // the engine was readmitted
			assertStatus(t, d, "e-1", readmitted, outlier.InService)
		})
	}
	t.Run("a late answer does not end an ejection", func(t *testing.T) {
		d := outlier.NewDetector()
		observe(d, "e-1", failed, 3, start)
		d.Observe("e-1", succeeded, start.Add(time.Second))
		assertStatus(t, d, "e-1", start.Add(time.Second), outlier.Ejected)
	})
	t.Run("not all engines are ejected when all fail", func(t *testing.T) {
		is := is.New(t)
		d := outlier.NewDetector()
		for _, engine := range engines(10) {
			observe(d, engine, failed, 10, start)
		}
		inService := 0
		for _, status := range d.Statuses(engines(10), start) {
			if status == outlier.InService {
				inService++
			}
		}
		is.Equal(inService, 6) // at most 40% are ejected
	})
}

func ejectedFor(d *outlier.Detector, engine models.EngineID, now time.Time) time.Duration {
	return d.Ejected(now)[engine]
}
