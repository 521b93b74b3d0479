package system

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepTolerance is the difference between the time of day and the elapsed
	// time above which it counts as a step. Synchronised clocks are corrected
	// by less.
	stepTolerance = 200 * time.Millisecond
	// stepAcceptAfter is how long a step must persist before the new time of
	// day is accepted.
	stepAcceptAfter = time.Minute
)

// WallClock returns the time of day and ignores short-lived steps of the system
// clock: during a step it continues from the last accepted reading by the time
// elapsed since, including suspensions of the VM.
type WallClock struct {
	Clock
	wall    func() time.Time
	elapsed func() time.Duration // since boot

	mu          sync.Mutex
	base        time.Time // last accepted time of day, read at baseElapsed
	baseElapsed time.Duration
	stepped     bool
	stepSeenAt  time.Duration // when the step was first seen
}

// NewWallClock returns a clock that assumes the current time of day is correct.
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

// sinceBoot returns the time since boot, including suspensions of the VM. If
// the system has no such clock, it returns the monotonic time since process
// start.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()
