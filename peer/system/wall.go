package system

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is how far the time of day may be off the time that has
	// passed before it counts as a step: clocks that are kept in time are
	// corrected by less.
	stepTolerance = 200 * time.Millisecond
	// stepAdopted is how long a step has to last until it is taken for the
	// truth.
	stepAdopted = time.Minute
)

// WallClock gives the time of day and does not follow its steps: it goes by the
// time that has passed since, suspensions of the VM included.
type WallClock struct {
	Clock
	wall    func() time.Time
	elapsed func() time.Duration // since the VM started

	mu      sync.Mutex
	base    time.Time // time of day at baseAt
	baseAt  time.Duration
	stepped bool
	stepAt  time.Duration // when the step was seen
}

// NewWallClock returns a clock that takes the present time of day for right.
func NewWallClock() *WallClock {
	return newWallClock(time.Now, sinceBoot)
}

func newWallClock(wall func() time.Time, elapsed func() time.Duration) *WallClock {
	return &WallClock{wall: wall, elapsed: elapsed, base: wall().Round(0), baseAt: elapsed()}
}

// Now returns the time of day, without a monotonic reading.
func (c *WallClock) Now() time.Time {
	wall, elapsed := c.wall().Round(0), c.elapsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := c.base.Add(elapsed - c.baseAt)
	if wall.Sub(expected).Abs() <= stepTolerance {
		c.base, c.baseAt = wall, elapsed
		c.stepped = false
		return wall
	}
	if !c.stepped {
		c.stepped = true
		c.stepAt = elapsed
	}
	if elapsed-c.stepAt >= stepAdopted {
		c.base, c.baseAt = wall, elapsed
		c.stepped = false
		return wall
	}
	return expected
}

// sinceBoot reads the clock that also counts while the VM is suspended; where
// there is none, the monotonic one.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()
