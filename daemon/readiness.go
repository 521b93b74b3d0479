package daemon

import "sync/atomic"

// readiness tells the balancer whether to send requests.
type readiness struct {
	leaving atomic.Bool
}

func (r *readiness) drain() {
	r.leaving.Store(true)
}

func (r *readiness) draining() bool {
	return r.leaving.Load()
}
