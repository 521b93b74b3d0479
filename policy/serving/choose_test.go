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
	request := serving.Request{Zone: "z", Tokens: 10000, FetchRate: 1e6, RunTime: 400 * time.Millisecond}
	tests := []struct {
		name      string
		engines   []serving.Engine
		target    int
		prefiller int
	}{
		{"the engine that has the prompt cached", []serving.Engine{decode(), decode(cached(9000))}, 1, -1},
		{"another engine if the one with the prompt has a long backlog", []serving.Engine{decode(), decode(cached(9000), backlog(5*time.Second))}, 0, -1},
		{"the same zone among equal engines", []serving.Engine{decode(elsewhere), decode()}, 1, -1},
		{"an engine with a free slot", []serving.Engine{decode(full), decode()}, 1, -1},
		{"an engine without recent failures", []serving.Engine{decode(failing), decode()}, 1, -1},
		{"a prefiller for a long prompt", []serving.Engine{decode(), prefill()}, 0, 1},
		{"no prefiller if it has a long backlog", []serving.Engine{decode(), prefill(backlog(5 * time.Second))}, 0, -1},
		{"no prefiller if the target has nearly all of the prompt cached", []serving.Engine{decode(cached(9800)), prefill()}, 0, -1},
		{"a prefiller and the target with the shorter backlog", []serving.Engine{decode(backlog(time.Second)), decode(backlog(100 * time.Millisecond)), prefill()}, 1, 2},
		{"the prefiller that has the prompt cached", []serving.Engine{decode(), prefill(), prefill(cached(9000))}, 0, 2},
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
	t.Run("no decode engine", func(t *testing.T) {
		_, ok := serving.Choose(request, []serving.Engine{prefill()})
		is.New(t).True(!ok)
	})
}

func TestChooseCopies(t *testing.T) {
	withFetch := serving.Request{Zone: "z", Tokens: 10000, FetchRate: 1e6}
	tests := []struct {
		name    string
		request serving.Request
		engines []serving.Engine
		target  int
		source  int
	}{
		{"from the engine that has the prompt cached and a long backlog", withFetch, []serving.Engine{decode(), decode(cached(9000), backlog(time.Second))}, 0, 1},
		{"from the one that has more of it", withFetch, []serving.Engine{decode(), decode(cached(4000), backlog(time.Second)), decode(cached(9000), backlog(time.Second))}, 0, 2},
		{"from the same zone", withFetch, []serving.Engine{decode(), decode(cached(9000), elsewhere, backlog(time.Second)), decode(cached(9000), backlog(time.Second))}, 0, 2},
		{"not from a failing engine", withFetch, []serving.Engine{decode(), decode(cached(9000), failing)}, 0, -1},
		{"not at all if engines do not fetch", serving.Request{Zone: "z", Tokens: 10000}, []serving.Engine{decode(), decode(cached(9000), backlog(5*time.Second))}, 0, -1},
		{"not a few tokens", withFetch, []serving.Engine{decode(), decode(cached(500), backlog(time.Second))}, 0, -1},
		{"nothing that the engine has itself", withFetch, []serving.Engine{decode(cached(9000)), decode(cached(9000), backlog(time.Second))}, 0, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			choice, ok := serving.Choose(test.request, test.engines)
			is.True(ok)
			is.Equal(choice.Target, test.target)
			is.Equal(choice.Source, test.source)
		})
	}
}

func TestPrefillTiming(t *testing.T) {
	t.Run("follows the answers", func(t *testing.T) {
		is := is.New(t)
		timing := serving.NewPrefillTiming(false)
		for range 100 {
			timing.Observe(0, 30*time.Millisecond)
			timing.Observe(10000, 1030*time.Millisecond)
		}
		is.True(timing.Setup() > 29*time.Millisecond && timing.Setup() < 31*time.Millisecond)
		is.True(timing.TokensPerSecond() > 9900 && timing.TokensPerSecond() < 10100)
	})
	t.Run("leaves the initial value within a few answers", func(t *testing.T) {
		is := is.New(t)
		timing := serving.NewPrefillTiming(true)
		for range 5 {
			timing.Observe(0, 30*time.Millisecond)
			timing.Observe(10000, 130*time.Millisecond)
		}
		is.True(timing.Setup() < 40*time.Millisecond)
		is.True(timing.TokensPerSecond() > 80000)
	})
	t.Run("a single outlier changes little", func(t *testing.T) {
		is := is.New(t)
		timing := serving.NewPrefillTiming(false)
		for range 20 {
			timing.Observe(5000, 300*time.Millisecond)
		}
		before := timing.TokensPerSecond()
		timing.Observe(5000, time.Hour)
		is.True(timing.TokensPerSecond() > 0.8*before)
	})
	t.Run("short prompts say nothing about the rate", func(t *testing.T) {
		is := is.New(t)
		timing := serving.NewPrefillTiming(true)
		before := timing.TokensPerSecond()
		timing.Observe(100, time.Second)
		is.Equal(timing.TokensPerSecond(), before)
	})
}
