package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/policy/admission"
)

const target = 300 * time.Millisecond

func request(changes ...func(*admission.Request)) admission.Request {
	r := admission.Request{
		Rank: 1, Unloaded: 100 * time.Millisecond, Predicted: 100 * time.Millisecond,
		Target: target, Left: 5 * time.Second,
	}
	for _, change := range changes {
		change(&r)
	}
	return r
}

func unloaded(d time.Duration) func(*admission.Request) {
	return func(r *admission.Request) { r.Predicted, r.Unloaded = r.Predicted-r.Unloaded+d, d }
}

func waiting(d time.Duration) func(*admission.Request) {
	return func(r *admission.Request) { r.Predicted = r.Unloaded + d }
}

func rank(n int) func(*admission.Request) {
	return func(r *admission.Request) { r.Rank = n }
}

func returned(r *admission.Request) { r.Returned = true }

func TestUrgency(t *testing.T) {
	// Each request goes before all that follow.
	order := []struct {
		name    string
		request admission.Request
	}{
		{"a short prompt", request(unloaded(30 * time.Millisecond))},
		{"a long one", request()},
		{"one that is late in any case", request(unloaded(time.Second))},
		{"a short one of a lower rank", request(unloaded(30*time.Millisecond), rank(2))},
	}
	for i, test := range order[1:] {
		t.Run(order[i].name+" before "+test.name, func(t *testing.T) {
			is.New(t).True(admission.Urgency(order[i].request) < admission.Urgency(test.request))
		})
	}
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name     string
		request  admission.Request
		standing bool
		ok       bool
	}{
		{"no queue", request(), false, true},
		{"late in a burst", request(waiting(500 * time.Millisecond)), false, true},
		{"its caller would leave", request(waiting(1900 * time.Millisecond)), false, false},
		{"in time in a standing queue", request(waiting(150 * time.Millisecond)), true, true},
		{"late in a standing queue", request(waiting(500 * time.Millisecond)), true, false},
		{"late in any case, with a short wait", request(unloaded(time.Second), waiting(100*time.Millisecond)), true, true},
		{"late in any case, with a long wait", request(unloaded(time.Second), waiting(300*time.Millisecond)), true, false},
		{"refused before, in a standing queue", request(waiting(500*time.Millisecond), returned), true, true},
		{"no latency target", admission.Request{Predicted: time.Hour}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ok, retryAfter := admission.Admit(test.request, test.standing, 0.5)
			is.Equal(ok, test.ok)
			is.Equal(retryAfter > 0, !ok)
			is.True(retryAfter <= test.request.Left/3) // callers heed no later one
		})
	}
}

func TestQueueStands(t *testing.T) {
	start := time.Unix(1000, 0)
	observe := func(q *admission.Queue, from, until time.Duration, wait time.Duration) (standing bool) {
		for at := from; at < until; at += 20 * time.Millisecond {
			standing = q.Observe(request(waiting(wait)), start.Add(at))
		}
		return standing
	}
	t.Run("not in a short burst", func(t *testing.T) {
		var q admission.Queue
		observe(&q, 0, time.Second, 0)
		is.New(t).True(!observe(&q, time.Second, 1100*time.Millisecond, 400*time.Millisecond))
	})
	t.Run("after a second of long waits, until they are short", func(t *testing.T) {
		is := is.New(t)
		var q admission.Queue
		observe(&q, 0, time.Second, 0)
		is.True(observe(&q, time.Second, 2*time.Second, 400*time.Millisecond))
		is.True(!observe(&q, 2*time.Second, 3*time.Second, 0))
	})
}
