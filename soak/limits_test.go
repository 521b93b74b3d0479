package soak

import "time"

const (
	// statedLimit is the limit of some backend servers while there are faults, in
	// requests per second.
	statedLimit = 2.0
	// limitContact is the time from the first statement of a limit until it must be
	// kept, and for which a daemon must have been undisturbed.
	limitContact = 4 * time.Second
	// toldTime is how long after its first request to such a server a daemon knows of
	// the limit for sure.
	toldTime = 500*time.Millisecond + maxWorkTime
	// A backend server may get limitFactor times what its limit allows in limitSpan, and
	// limitSlack more.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedBackend is a backend server that states a limit for some time.
type limitedBackend struct {
	*backend
	from, until time.Time
}

// limitBackend lets one of the backend servers state a limit.
func (w *world) limitBackend() *limitedBackend {
	l := &limitedBackend{backend: w.backends[w.random.IntN(len(w.backends))], from: w.clock.Now()}
	l.server.SetLimit(statedLimit)
	return l
}

func (l *limitedBackend) lift() {
	l.until = l.clock.Now()
	l.server.LiftLimit()
}

// processOf is the name under which disturbances of a daemon's process are recorded,
// rather than of its path to the store.
func processOf(daemon string) string {
	return daemon + " process"
}

// checkLimits checks that a backend server with a limit got no more than it allows from
// undisturbed daemons that knew of it.
func (ck *checker) checkLimits() {
	sender := map[string]string{} // by request
	for _, r := range ck.replies {
		sender[r.id] = r.daemon
	}
	l, w := ck.limited, ck.world
	first := map[string]time.Time{} // by daemon
	for _, a := range l.recordedArrivals() {
		daemon := sender[a.id]
		if a.at.Before(l.from) || a.at.After(l.until) || daemon == "" {
			continue
		}
		if _, ok := first[daemon]; !ok {
			first[daemon] = a.at
		}
		known := a.at.Sub(first[daemon]) >= toldTime && a.at.Sub(l.from) >= limitContact
		if known && w.healthyDuring(processOf(daemon), a.at.Add(-limitContact), a.at) && w.healthyDuring(l.id, a.at, a.at) {
			ck.withinLimit = append(ck.withinLimit, a.at)
		}
	}
	allowed := int(limitFactor*limitSpan.Seconds()*statedLimit + limitSlack)
	for i, from := range ck.withinLimit {
		n := 0
		for _, at := range ck.withinLimit[i:] {
			if at.Sub(from) <= limitSpan {
				n++
			}
		}
		if n > allowed {
			ck.violationf("%s got %d requests in %s, more than %d, %s after it stated its limit", l.id, n, limitSpan, allowed, from.Sub(l.from))
			return
		}
	}
}
