package peer

import (
	"context"
	"time"
)

// Clock gives the time. Time values carry a monotonic reading, so that
// differences are safe from clock steps.
type Clock interface {
	Now() time.Time
	// Sleep waits for d or until ctx ends, and returns ctx's error then.
	Sleep(ctx context.Context, d time.Duration) error
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer fires once on C.
type Timer interface {
	C() <-chan time.Time
	// Stop keeps the timer from firing and reports whether it was in time.
	Stop() bool
}
