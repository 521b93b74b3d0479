package system

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeVM is a VM whose clocks a test sets.
type fakeVM struct {
	wall    time.Time
	elapsed time.Duration
}

func (m *fakeVM) advance(d time.Duration) {
	m.wall = m.wall.Add(d)
	m.elapsed += d
}

func TestWallClock(t *testing.T) {
	start := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name string
		play func(m *fakeVM, c *WallClock)
		want time.Duration // since the start
	}{
		{"time passes", func(m *fakeVM, _ *WallClock) { m.advance(time.Hour) }, time.Hour},
		{"a correction is followed", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(50 * time.Millisecond)
			c.Now()
		}, 50 * time.Millisecond},
		{"a step is not", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.advance(time.Second)
		}, time.Second},
		{"nor one back", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(-3 * time.Second)
			c.Now()
			m.advance(time.Second)
		}, time.Second},
		{"a step that is taken back leaves nothing", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.advance(5 * time.Second)
			m.wall = m.wall.Add(-2 * time.Second)
			c.Now()
		}, 5 * time.Second},
		{"a step that lasts is the truth", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.advance(2 * time.Minute)
		}, 2*time.Minute + 2*time.Second},
		{"a suspension counts", func(m *fakeVM, c *WallClock) {
			m.advance(7 * time.Second) // the clocks of the VM count it
			c.Now()
		}, 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := &fakeVM{wall: start}
			c := newWallClock(func() time.Time { return m.wall }, func() time.Duration { return m.elapsed })
			test.play(m, c)
			is.Equal(c.Now().Sub(start), test.want)
		})
	}
}
