package system

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// machine is a VM whose clocks a test sets.
type machine struct {
	wall    time.Time
	elapsed time.Duration
}

func (m *machine) pass(d time.Duration) {
	m.wall = m.wall.Add(d)
	m.elapsed += d
}

func TestWallClock(t *testing.T) {
	start := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name string
		play func(m *machine, c *WallClock)
		want time.Duration // since the start
	}{
		{"time passes", func(m *machine, _ *WallClock) { m.pass(time.Hour) }, time.Hour},
		{"a correction is followed", func(m *machine, c *WallClock) {
			m.wall = m.wall.Add(50 * time.Millisecond)
			c.Now()
		}, 50 * time.Millisecond},
		{"a step is not", func(m *machine, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.pass(time.Second)
		}, time.Second},
		{"nor one back", func(m *machine, c *WallClock) {
			m.wall = m.wall.Add(-3 * time.Second)
			c.Now()
			m.pass(time.Second)
		}, time.Second},
		{"a step that is taken back leaves nothing", func(m *machine, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.pass(5 * time.Second)
			m.wall = m.wall.Add(-2 * time.Second)
			c.Now()
		}, 5 * time.Second},
		{"a step that lasts is the truth", func(m *machine, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.pass(2 * time.Minute)
		}, 2*time.Minute + 2*time.Second},
		{"a suspension counts", func(m *machine, c *WallClock) {
			m.pass(7 * time.Second) // the clocks of the VM count it
			c.Now()
		}, 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := &machine{wall: start}
			c := newWallClock(func() time.Time { return m.wall }, func() time.Duration { return m.elapsed })
			test.play(m, c)
			is.Equal(c.Now().Sub(start), test.want)
		})
	}
}
