package request_test

import (
	"context"
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/invariant"
	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/request"
	"quincewinch/standin/engine"
)

const secret = "qw-secret"

func init() { keyHash = sha256.Sum256([]byte(secret)) }

func hashOf(body string) [32]byte { return sha256.Sum256([]byte(body)) }

// claimOf returns the claim of a test's request, which its name carries after
// a colon.
func claimOf(id models.RequestID) string {
	_, claim, _ := strings.Cut(string(id), ":")
	return claim
}

// cutAttempt splits the identity of an attempt at an engine.
func cutAttempt(id models.RequestID) (models.RequestID, string, bool) {
	base, attempt, found := strings.Cut(string(id), "-")
	return models.RequestID(base), attempt, found
}

// kept asserts that no promise is broken.
func kept(t *testing.T, f *fleet) {
	t.Helper()
	for _, violation := range invariant.Check(f.history) {
		t.Errorf("%s: %s", violation.Promise, violation.Detail)
	}
}

// generated runs a generation while trouble brews, and returns its refusal.
func generated(t *testing.T, f *fleet, key string, trouble func()) (*models.Refusal, string) {
	t.Helper()
	sink := &answerSink{}
	id := "r1"
	if key != "" {
		id = "r1:" + key
	}
	go trouble()
	refusal := f.ask(t.Context(), 0, id, "catalogue", key, prompt, sink)
	synctest.Wait()
	kept(t, f)
	text, _ := sink.text()
	return refusal, text
}

func pause(d time.Duration) { _ = system.NewClock().Sleep(context.Background(), d) }

func TestWholeAnswers(t *testing.T) {
	want := engine.Answer("catalogue", prompt, maxTokens)
	length := min(engine.AnswerLength("catalogue", prompt), maxTokens)
	troubles := []struct {
		name  string
		fill  func(f *fleet)
		later func(f *fleet)
		runs  int
	}{
		{"no trouble", func(*fleet) {}, func(*fleet) {}, 1},
		{"connections break", func(f *fleet) {
			for _, e := range f.engines {
				e.SetFaults(engine.Faults{BreakAfter: 3})
			}
		}, func(*fleet) {}, 1},
		{"answers are crossed and late", func(f *fleet) {
			for _, e := range f.engines {
				e.set(false, true)
			}
		}, func(*fleet) {}, 1},
		{"engine refuses before it runs", func(f *fleet) { f.engines["b"].SetFaults(engine.Faults{Refuse: true}) }, func(*fleet) {}, 1},
		{"engine dies before the first token", func(f *fleet) { f.engines["b"].SetFaults(engine.Faults{Slow: time.Second}) },
			func(f *fleet) { pause(100 * time.Millisecond); f.engines["b"].Crash() }, 2},
		{"engine dies during the first token", func(*fleet) {},
			func(f *fleet) { pause(9 * time.Millisecond); f.engines["b"].Crash() }, 2},
		{"engine dies after the first token", func(*fleet) {},
			func(f *fleet) { pause(60 * time.Millisecond); f.engines["b"].Crash() }, 2},
		{"engine hangs", func(*fleet) {},
			func(f *fleet) { pause(60 * time.Millisecond); f.engines["b"].SetFaults(engine.Faults{Hang: true}) }, 2},
		{"answer of the start is lost", func(f *fleet) { f.engines["b"].set(true, false) }, func(*fleet) {}, 2},
		{"engine is evicted in 5 s", func(f *fleet) { f.engines["b"].SetFaults(engine.Faults{Slow: 500 * time.Millisecond}) },
			func(f *fleet) { pause(time.Second); f.engines["b"].Evict(context.Background(), 5*time.Second) }, 2},
	}
	for _, trouble := range troubles {
		t.Run(trouble.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I) {
				f := newFleet(1, 2)
				trouble.fill(f)
				refusal, text := generated(t, f, "", func() { trouble.later(f) })
				is.Equal(refusal, nil)
				is.Equal(text, want)
				runs := len(f.engines["a"].Received()) + len(f.engines["b"].Received())
				is.Equal(runs, trouble.runs)
				is.Equal(f.usage, models.Usage{Requests: 1, Prompt: int64(prefix.Tokens(prompt)), Cached: f.usage.Cached, Output: int64(length)}) // counted once
			})
		})
	}
}

func TestGenerationThatMayNotBeRepeated(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		f := newFleet(2, 2)
		refusal, _ := generated(t, f, "k", func() { pause(60 * time.Millisecond); f.engines["b"].Crash() })
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.True(!refusal.NotRun)
		is.Equal(len(f.engines["a"].Received()), 0) // it ran nowhere else
		refusal = f.ask(t.Context(), 1, "r2:k", "catalogue", "k", prompt, &answerSink{})
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.Equal(len(f.engines["a"].Received()), 0)
		kept(t, f)
	})
}

func TestExplicitEnds(t *testing.T) {
	t.Run("key withdrawn mid-stream", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			f.engines["a"].SetFaults(engine.Faults{Slow: time.Second})
			var withdrawn time.Time
			refusal, text := generated(t, f, "", func() {
				pause(2500 * time.Millisecond)
				withdrawn = f.clock.Now()
				f.edit(func(config *models.Config) {
					config.Keys = map[[32]byte]models.Key{keyHash: {ID: "k1", Withdrawn: true}}
				})
			})
			is.Equal(refusal.Code, models.RefusalKeyWithdrawn)
			is.True(!refusal.NotRun)
			is.Equal(f.clock.Now(), withdrawn)                             // at once
			is.Equal(f.engines["a"].cancelled(), []models.RequestID{"r1"}) // and at the engine
			is.Equal(f.usage.Output, int64(len(strings.Fields(text))))     // what was given
			refusal = f.ask(t.Context(), 0, "r2", "catalogue", "", prompt, &answerSink{})
			is.Equal(refusal.Code, models.RefusalKeyWithdrawn)
			is.True(refusal.NotRun)
		})
	})
	t.Run("slow reader", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			refusal := f.ask(t.Context(), 0, "r1", "catalogue", "", prompt, &answerSink{blocked: true})
			is.Equal(refusal.Code, models.RefusalCancelled)
			is.True(strings.Contains(refusal.Message, "has taken no token"))
			synctest.Wait()
			is.Equal(f.engines["a"].cancelled(), []models.RequestID{"r1"})
		})
	})
	t.Run("caller leaves", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
			defer cancel()
			refusal := f.ask(ctx, 0, "r1", "catalogue", "", prompt, &answerSink{})
			is.True(refusal != nil)
			synctest.Wait()
			is.Equal(f.engines["a"].cancelled(), []models.RequestID{"r1"}) // the engine is free at once
		})
	})
	t.Run("all engines die", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 2)
			refusal, _ := generated(t, f, "", func() {
				pause(60 * time.Millisecond)
				f.engines["a"].Crash()
				f.engines["b"].Crash()
			})
			is.Equal(refusal.Code, models.RefusalBackendFailed)
			is.True(!refusal.NotRun)
		})
	})
}

func TestDrain(t *testing.T) {
	t.Run("a draining engine finishes what it has and gets nothing new", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 2)
			refusal, _ := generated(t, f, "", func() {
				pause(60 * time.Millisecond)
				is.NoErr(f.engines["b"].Order(context.Background(), models.Order{ID: "d", Kind: models.OrderDrain}))
				f.history.Leaving(invariant.Leaving{At: f.clock.Now(), Backend: "b"})
			})
			is.Equal(refusal, nil)
			is.Equal(len(f.engines["a"].Received()), 0) // it stayed where it was
			for i := range 10 {
				is.Equal(f.ask(t.Context(), 0, "s"+strconv.Itoa(i), "catalogue", "", prompt, &answerSink{}), nil)
			}
			is.Equal(len(f.engines["b"].Received()), 1)
			kept(t, f)
		})
	})
	t.Run("a zone is evicted in 5 s mid-stream", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(2, 4)
			for _, e := range f.engines {
				e.SetFaults(engine.Faults{Slow: 200 * time.Millisecond})
			}
			var group sync.WaitGroup
			for i := range 40 {
				group.Go(func() {
					body := prompt + strconv.Itoa(i)
					is.Equal(f.ask(t.Context(), i%2, "r"+strconv.Itoa(i), "catalogue", "", body, &answerSink{}), nil)
				})
			}
			pause(1100 * time.Millisecond)
			for _, id := range f.order[:2] {
				f.engines[id].Evict(context.Background(), 5*time.Second)
				f.history.Leaving(invariant.Leaving{At: f.clock.Now(), Backend: string(id)})
			}
			is.Equal(f.ask(t.Context(), 0, "s1", "catalogue", "", prompt, &answerSink{}), nil)
			group.Wait()
			kept(t, f) // each answer is whole
		})
	})
	t.Run("a daemon that stops finishes what it has", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			drained := make(chan error, 1)
			refusal, _ := generated(t, f, "", func() {
				pause(60 * time.Millisecond)
				go func() { drained <- f.gates[0].Drain(context.Background()) }()
				pause(time.Millisecond)
				late := f.ask(context.Background(), 0, "r2", "catalogue", "", prompt, &answerSink{})
				is.Equal(late.Code, models.RefusalDraining)
				is.True(late.NotRun && late.RetryAfter > 0)
			})
			is.Equal(refusal, nil)
			is.NoErr(<-drained)
		})
	})
	t.Run("what outlives the drain timeout is told so", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			f.engines["a"].SetFaults(engine.Faults{Slow: time.Second})
			refusal, _ := generated(t, f, "", func() {
				ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				defer cancel()
				pause(time.Millisecond)
				is.True(f.gates[0].Drain(ctx) != nil)
			})
			is.Equal(refusal.Code, models.RefusalDraining)
		})
	})
}

func TestServiceCalls(t *testing.T) {
	lost := func(string) (bool, bool) { return true, false }
	nearRefuses := func(url string) (bool, bool) { return url != "a", true }
	cases := []struct {
		name, route string
		fault       func(string) (bool, bool)
		code        models.RefusalCode
		calls       []string
	}{
		{"nearest first", "reservations", nil, "", []string{"a"}},
		{"not done goes to another address", "reservations", nearRefuses, "", []string{"a", "b"}},
		{"unknown is not repeated", "reservations", lost, models.RefusalOutcomeUnknown, []string{"a"}},
		{"unknown is repeated where allowed", "flitches", lost, models.RefusalBackendFailed, []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I) {
				f := newFleet(1, 0)
				f.service.set(c.fault)
				var code models.RefusalCode
				if refusal := f.ask(t.Context(), 0, "r1:c", c.route, "", "flitch 7", &answerSink{}); refusal != nil {
					code = refusal.Code
					is.True(!refusal.NotRun)
				}
				is.Equal(code, c.code)
				is.Equal(f.service.calls, c.calls)
				kept(t, f)
			})
		})
	}
	t.Run("an address that failed comes last", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 0)
			f.service.set(nearRefuses)
			for range 2 {
				is.Equal(f.ask(t.Context(), 0, "r1", "flitches", "", "x", &answerSink{}), nil)
			}
			is.Equal(f.service.calls, []string{"a", "b", "b"})
		})
	})
}

// TestRetriesUnderFailure loads engines of which some fail each start: three in
// ten, and all of them, which is where a retry storm would begin.
func TestRetriesUnderFailure(t *testing.T) {
	const requests = 1000
	for _, failing := range []int{3, 10} {
		t.Run(strconv.Itoa(10*failing)+"%", func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I) {
				f := newFleet(2, 10)
				for _, id := range f.order[:failing] {
					f.engines[id].set(true, false)
				}
				for i := range requests {
					_ = f.ask(t.Context(), i%2, "r"+strconv.Itoa(i), "catalogue", "", prompt, &answerSink{})
				}
				runs := 0
				for _, e := range f.engines {
					runs += len(e.Received())
				}
				extra := float64(runs-requests) / requests
				t.Logf("%.1f%% retries at %d%% engine failure", 100*extra, 10*failing)
				is.True(extra <= 0.10)
				is.True(extra > 0) // some were made
				kept(t, f)
			})
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := request.NewRetryBudget()
	taken := 0
	for range 10000 {
		b.Earn()
		for b.Take() {
			taken++
		}
	}
	is.True(taken <= 1000) // a tenth of the first attempts
	is.True(taken >= 900)
	is.True(!slices.Contains([]bool{b.Take()}, true)) // and none is left
}
