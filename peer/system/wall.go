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
	// stepAcceptAfter is how long a step has to last until it is taken for the
	// truth.
	stepAcceptAfter = time.Minute
)

// WallClock gives the time of day and does not follow its steps: it goes by the
// time that has passed since, suspensions of the VM included.
type WallClock struct {
	Clock
	wall    func() time.Time
	elapsed func() time.Duration // since the VM started

	mu          sync.Mutex
	base        time.Time // time of day at baseAt
	baseElapsed time.Duration
	stepped     bool
	stepSeenAt  time.Duration // when the step was seen
}

// NewWallClock returns a clock that takes the present time of day for right.
func NewWallClock() *WallClock {
	return newWallClock(time.Now, sinceBoot)
}

func newWallClock(wall func() time.Time, elapsed func() time.Duration) *WallClock {
	return &WallClock{wall: wall, elapsed: elapsed, base: wall().Round(0), baseElapsed: elapsed()}
}

// Now returns the time of day, without a monotonic reading.
func (c *WallClock) Now() time.Time {
	wall, elapsed := c.wall().Round(0), c.elapsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := c.base.Add(elapsed - c.baseElapsed)
	if wall.Sub(expected).Abs() <= stepTolerance {
		c.base, c.baseElapsed = wall, elapsed
		c.stepped = false
		return wall
	}
	if !c.stepped {
		c.stepped = true
		c.stepSeenAt = elapsed
	}
	if elapsed-c.stepSeenAt >= stepAcceptAfter {
		c.base, c.baseElapsed = wall, elapsed
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
