package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStopTimes(t *testing.T) {
	// The platform's terms: a request sent later than this after the stop signal
	// must not be cut off, and the process is killed at the end of the grace
	// time.
	const cutTolerated = 3 * time.Second
	for _, grace := range []time.Duration{time.Second, 8 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			times := newStopTimes(grace)
			is.True(times.accept < cutTolerated)
			is.True(times.accept > 0 && times.finish > 0 && times.closing > 0)
			is.True(times.accept+times.finish >= grace*5/6) // running requests get most of it
			is.True(times.accept+times.finish+times.closing < grace)
		})
	}
}
