// Package system speaks to the operating system: the clock, and what the
// process itself uses.
package system

import (
	"context"
	"time"

	"quincewinch/peer"
)

// Clock is the operating system's clock.
type Clock struct{}

// NewClock returns the operating system's clock.
func NewClock() Clock {
	return Clock{}
}

// Now returns the time with a monotonic reading.
func (Clock) Now() time.Time {
	return time.Now()
}

// Sleep waits for d or until ctx ends. No wait takes no timer: on the virtual
// time of a test, a timer that has fired before it is waited for crashes the
// race detector.
func (Clock) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewTimer returns a timer that fires once after d.
func (Clock) NewTimer(d time.Duration) peer.Timer {
	return timer{time.NewTimer(d)}
}

type timer struct {
	timer *time.Timer
}

// C returns the channel on which the timer fires.
func (t timer) C() <-chan time.Time {
	return t.timer.C
}

// Stop keeps the timer from firing.
func (t timer) Stop() bool {
	return t.timer.Stop()
}
