package request

import (
	"sync"
	"time"

	"quincewinch/peer"
)

const (
	// addressBackoffBase and addressBackoffMax are the least and the greatest
	// time for which an address that failed is tried after all others. The time
	// doubles with each failure.
	addressBackoffBase = time.Second
	addressBackoffMax  = 30 * time.Second
)

// addressHealth keeps the addresses of services whose latest call failed.
type addressHealth struct {
	clock peer.Clock

	mu        sync.Mutex
	addresses map[string]failedAddress
}

type failedAddress struct {
	failures int
	until    time.Time
}

func newAddressHealth(clock peer.Clock) *addressHealth {
	return &addressHealth{clock: clock, addresses: map[string]failedAddress{}}
}

func (o *addressHealth) recordFailure(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.addresses[address]
	wait := min(addressBackoffBase<<min(known.failures, 8), addressBackoffMax)
	o.addresses[address] = failedAddress{failures: known.failures + 1, until: o.clock.Now().Add(wait)}
}

func (o *addressHealth) recordSuccess(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.addresses, address)
}

// inBackoff reports whether an address is to be tried after all others.
func (o *addressHealth) inBackoff(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.clock.Now().Before(o.addresses[address].until)
}
