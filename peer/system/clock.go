// Package system provides the operating system's clocks.
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

// Sleep waits for d or until ctx ends. It uses no timer if d is not positive:
// in a synctest bubble, a timer that fires before it is waited for crashes the
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

// Stop prevents the timer from firing.
func (t timer) Stop() bool {
	return t.timer.Stop()
}
