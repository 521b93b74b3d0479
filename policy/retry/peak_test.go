package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/policy/retry"
)

func TestPeak(t *testing.T) {
	const window = 10 * time.Second
	is := is.New(t)
	var p retry.Peak
	is.Equal(p.Highest(start, window), 0)
	for i, value := range []int{3, 8, 6, 7, 2} {
		p.Observe(start.Add(time.Duration(i)*time.Second), value)
	}
	for after, want := range map[int]int{11: 8, 12: 7, 13: 7, 14: 2, 100: 2} {
		q := p
		is.Equal(q.Highest(start.Add(time.Duration(after)*time.Second), window), want)
	}
}
