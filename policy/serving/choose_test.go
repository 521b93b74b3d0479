package serving_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/serving"
)

const rate = 18000.0

func decode(changes ...func(*serving.Engine)) serving.Engine {
	e := serving.Engine{Zone: "z", Role: models.RoleDecode, Slots: 64, Rate: rate}
	for _, change := range changes {
		change(&e)
	}
	return e
}

func prefill(changes ...func(*serving.Engine)) serving.Engine {
	e := decode(changes...)
	e.Role = models.RolePrefill
	e.Rate = 2.5 * rate
	return e
}

func cached(tokens int) func(*serving.Engine) {
	return func(e *serving.Engine) { e.Cached = tokens }
}

func backlog(d time.Duration) func(*serving.Engine) {
	return func(e *serving.Engine) { e.Backlog = d }
}

func full(e *serving.Engine) { e.Running = e.Slots }

func elsewhere(e *serving.Engine) { e.Zone = "y" }

func failing(e *serving.Engine) { e.Penalty = time.Second }

func TestChoose(t *testing.T) {
	request := serving.Request{Zone: "z", Tokens: 10000, Fetch: 1e6}
	tests := []struct {
		name      string
		engines   []serving.Engine
		target    int
		prefiller int
	}{
		{"the engine that keeps the prompt", []serving.Engine{decode(), decode(cached(9000))}, 1, -1},
		{"another one where that is far behind", []serving.Engine{decode(), decode(cached(9000), backlog(5*time.Second))}, 0, -1},
		{"one in the own zone among equals", []serving.Engine{decode(elsewhere), decode()}, 1, -1},
		{"one with a free place", []serving.Engine{decode(full), decode()}, 1, -1},
		{"one that has not failed of late", []serving.Engine{decode(failing), decode()}, 1, -1},
		{"a long prompt is read by a prefiller", []serving.Engine{decode(), prefill()}, 0, 1},
		{"not where the prefiller is behind", []serving.Engine{decode(), prefill(backlog(5 * time.Second))}, 0, -1},
		{"nor where the target keeps nearly all", []serving.Engine{decode(cached(9800)), prefill()}, 0, -1},
		{"nor at a target that is behind itself", []serving.Engine{decode(backlog(time.Second)), decode(backlog(100 * time.Millisecond)), prefill()}, 1, 2},
		{"the prefiller that keeps the prompt", []serving.Engine{decode(), prefill(), prefill(cached(9000))}, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			choice, ok := serving.Choose(request, test.engines)
			is.True(ok)
			is.Equal(choice.Target, test.target)
			is.Equal(choice.Prefiller, test.prefiller)
		})
	}
	t.Run("no engine that generates", func(t *testing.T) {
		_, ok := serving.Choose(request, []serving.Engine{prefill()})
		is.New(t).True(!ok)
	})
}

func TestRate(t *testing.T) {
	t.Run("follows what answers tell", func(t *testing.T) {
		is := is.New(t)
		r := serving.NewRate(false)
		for range 100 {
			r.Observe(10000, 1100*time.Millisecond)
		}
		is.True(r.TokensPerSecond() > 9900 && r.TokensPerSecond() < 10100)
	})
	t.Run("one answer does not turn it", func(t *testing.T) {
		is := is.New(t)
		r := serving.NewRate(false)
		before := r.TokensPerSecond()
		r.Observe(5000, time.Hour)
		is.True(r.TokensPerSecond() > 0.8*before)
	})
	t.Run("short prompts say nothing", func(t *testing.T) {
		is := is.New(t)
		r := serving.NewRate(true)
		before := r.TokensPerSecond()
		r.Observe(100, time.Second)
		is.Equal(r.TokensPerSecond(), before)
	})
}
