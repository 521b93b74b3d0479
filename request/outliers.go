package request

import (
	"sync"
	"time"

	"quincewinch/peer"
)

const (
	// outlierBase and outlierMost bound how long an address that failed is
	// tried last; the time doubles with each failure.
	outlierBase = time.Second
	outlierMost = 30 * time.Second
)

// outliers remembers the addresses of services that failed lately.
type outliers struct {
	clock peer.Clock

	mu        sync.Mutex
	addresses map[string]failedAddress
}

type failedAddress struct {
	failures int
	until    time.Time
}

func newOutliers(clock peer.Clock) *outliers {
	return &outliers{clock: clock, addresses: map[string]failedAddress{}}
}

func (o *outliers) failed(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.addresses[address]
	wait := min(outlierBase<<min(known.failures, 8), outlierMost)
	o.addresses[address] = failedAddress{failures: known.failures + 1, until: o.clock.Now().Add(wait)}
}

func (o *outliers) succeeded(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.addresses, address)
}

// out reports whether an address is tried last.
func (o *outliers) out(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.clock.Now().Before(o.addresses[address].until)
}
