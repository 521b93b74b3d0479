package system

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeVM holds the clocks of a VM, set by the test.
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
		{"small correction is followed", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(50 * time.Millisecond)
			c.Now()
		}, 50 * time.Millisecond},
		{"forward step is ignored", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.advance(time.Second)
		}, time.Second},
		{"backward step is ignored", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(-3 * time.Second)
			c.Now()
			m.advance(time.Second)
		}, time.Second},
		{"step that is reverted has no effect", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.advance(5 * time.Second)
			m.wall = m.wall.Add(-2 * time.Second)
			c.Now()
		}, 5 * time.Second},
		{"lasting step is accepted", func(m *fakeVM, c *WallClock) {
			m.wall = m.wall.Add(2 * time.Second)
			c.Now()
			m.advance(2 * time.Minute)
		}, 2*time.Minute + 2*time.Second},
		{"suspension counts as elapsed time", func(m *fakeVM, c *WallClock) {
			m.advance(7 * time.Second) // both clocks include the suspension
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
