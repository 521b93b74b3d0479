package daemon

import "sync/atomic"

// readiness records whether the daemon is draining, in which case the load
// balancer must not send it requests.
type readiness struct {
	leaving atomic.Bool
}

func (r *readiness) drain() {
	r.leaving.Store(true)
}

func (r *readiness) draining() bool {
	return r.leaving.Load()
}
