package balance

import (
	"time"

	"quincewinch/models"
	"quincewinch/policy/serving"
)

const (
	// initialStart, initialRunTime and initialCall are the assumed times from the
	// fetch of KV cache to the first token, in a slot of an engine, and to the answer
	// of a plain service, before any request has been observed.
	initialStart   = 40 * time.Millisecond
	initialRunTime = 400 * time.Millisecond
	initialCall    = 40 * time.Millisecond
)

// timings are what this daemon has learned of how long engines take.
type timings struct {
	prefills map[timingKey]*serving.PrefillTiming
	starts   map[models.ServiceName]*serving.Typical // from the fetch of KV cache to the first token
	runs     map[models.ServiceName]*serving.Typical // in a slot of an engine
	calls    map[models.ServiceName]*serving.Typical // to the answer of a plain service
}

// timingKey identifies engines that are expected to prefill equally fast. They share
// one estimate, beside which each has a factor of its own.
type timingKey struct {
	service models.ServiceName
	role    models.Role
}

func keyOf(upstream models.Upstream) timingKey {
	return timingKey{service: upstream.Service, role: upstream.Role}
}

func newTimings() timings {
	return timings{
		prefills: map[timingKey]*serving.PrefillTiming{},
		starts:   map[models.ServiceName]*serving.Typical{},
		runs:     map[models.ServiceName]*serving.Typical{},
		calls:    map[models.ServiceName]*serving.Typical{},
	}
}

// prefill returns the prefill timing of engines of the same service and role as
// upstream.
func (t *timings) prefill(upstream models.Upstream) *serving.PrefillTiming {
	key := keyOf(upstream)
	timing, ok := t.prefills[key]
	if !ok {
		timing = serving.NewPrefillTiming(upstream.Role == models.RolePrefill)
		t.prefills[key] = timing
	}
	return timing
}

// start returns the time from the fetch of KV cache to the first token.
func (t *timings) start(service models.ServiceName) *serving.Typical {
	return typical(t.starts, service, initialStart)
}

// run returns the time that requests spend in a slot of an engine.
func (t *timings) run(service models.ServiceName) *serving.Typical {
	return typical(t.runs, service, initialRunTime)
}

// call returns the time to the answer of a plain service.
func (t *timings) call(service models.ServiceName) *serving.Typical {
	return typical(t.calls, service, initialCall)
}

// typical returns the duration of a service, a new one with an initial value if
// there is none.
func typical(durations map[models.ServiceName]*serving.Typical, service models.ServiceName, initial time.Duration) *serving.Typical {
	d, ok := durations[service]
	if !ok {
		d = serving.NewTypical(initial)
		durations[service] = d
	}
	return d
}
