package peer

import (
	"context"
	"time"
)

// Clock is a source of time. Its times carry a monotonic reading, so that
// clock steps do not affect durations.
type Clock interface {
	Now() time.Time
	// Sleep waits for d. If ctx ends first, it returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer fires once on C.
type Timer interface {
	C() <-chan time.Time
	// Stop prevents the timer from firing. It returns false if the timer has
	// already fired or been stopped.
	Stop() bool
}
