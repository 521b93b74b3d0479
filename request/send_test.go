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

// claimOf returns the claim of a test's request: the part of its ID after the
// colon.
func claimOf(id models.RequestID) string {
	_, claim, _ := strings.Cut(string(id), ":")
	return claim
}

// cutAttempt splits the ID of an attempt into the request ID and the number of
// the attempt.
func cutAttempt(id models.RequestID) (models.RequestID, string, bool) {
	base, attempt, found := strings.Cut(string(id), "-")
	return models.RequestID(base), attempt, found
}

// assertInvariants asserts that the recorded history breaks no invariant.
func assertInvariants(t *testing.T, f *fleet) {
	t.Helper()
	for _, violation := range invariant.Check(f.history) {
		t.Errorf("%s: %s", violation.Invariant, violation.Detail)
	}
}

// runGeneration runs a generation while disturb runs in the background, and
// returns the refusal and the text received.
func runGeneration(t *testing.T, f *fleet, key string, disturb func()) (*models.Refusal, string) {
	t.Helper()
	sink := &answerSink{}
	id := "r1"
	if key != "" {
		id = "r1:" + key
	}
	go disturb()
	refusal := f.ask(t.Context(), 0, id, "catalogue", key, prompt, sink)
	synctest.Wait()
	assertInvariants(t, f)
	text, _ := sink.text()
	return refusal, text
}

func pause(d time.Duration) { _ = system.NewClock().Sleep(context.Background(), d) }

func TestCompleteAnswers(t *testing.T) {
	want := engine.Answer("catalogue", prompt, maxTokens)
	length := min(engine.AnswerLength("catalogue", prompt), maxTokens)
	cases := []struct {
		name  string
		setUp func(f *fleet)
		later func(f *fleet)
		runs  int
	}{
		{"no failure", func(*fleet) {}, func(*fleet) {}, 1},
		{"connections break", func(f *fleet) {
			for _, e := range f.engines {
				e.SetFaults(engine.Faults{BreakAfter: 3})
			}
		}, func(*fleet) {}, 1},
		{"streams contain wrong and duplicate pieces", func(f *fleet) {
			for _, e := range f.engines {
				e.setAnswerFaults(false, true)
			}
		}, func(*fleet) {}, 1},
		{"engine refuses the request", func(f *fleet) { f.engines["b"].SetFaults(engine.Faults{Refuse: true}) }, func(*fleet) {}, 1},
		{"engine crashes before the first token", func(f *fleet) { f.engines["b"].SetFaults(engine.Faults{Slow: time.Second}) },
			func(f *fleet) { pause(100 * time.Millisecond); f.engines["b"].Crash() }, 2},
		{"engine crashes during the first token", func(*fleet) {},
			func(f *fleet) { pause(9 * time.Millisecond); f.engines["b"].Crash() }, 2},
		{"engine crashes after the first token", func(*fleet) {},
			func(f *fleet) { pause(60 * time.Millisecond); f.engines["b"].Crash() }, 2},
		{"engine hangs", func(*fleet) {},
			func(f *fleet) { pause(60 * time.Millisecond); f.engines["b"].SetFaults(engine.Faults{Hang: true}) }, 2},
		{"answer to the start of the request is lost", func(f *fleet) { f.engines["b"].setAnswerFaults(true, false) }, func(*fleet) {}, 2},
		{"engine is evicted in 5 s", func(f *fleet) { f.engines["b"].SetFaults(engine.Faults{Slow: 500 * time.Millisecond}) },
			func(f *fleet) { pause(time.Second); f.engines["b"].Evict(context.Background(), 5*time.Second) }, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I) {
				f := newFleet(1, 2)
				c.setUp(f)
				refusal, text := runGeneration(t, f, "", func() { c.later(f) })
				is.Equal(refusal, nil)
				is.Equal(text, want)
				runs := len(f.engines["a"].Received()) + len(f.engines["b"].Received())
				is.Equal(runs, c.runs)
				is.Equal(f.usage, models.Usage{Requests: 1, Prompt: int64(prefix.Tokens(prompt)), Cached: f.usage.Cached, Output: int64(length)}) // counted once
			})
		})
	}
}

func TestNonRepeatableGeneration(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		f := newFleet(2, 2)
		refusal, _ := runGeneration(t, f, "k", func() { pause(60 * time.Millisecond); f.engines["b"].Crash() })
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.True(!refusal.NotRun)
		is.Equal(len(f.engines["a"].Received()), 0) // not retried at the other engine
		refusal = f.ask(t.Context(), 1, "r2:k", "catalogue", "k", prompt, &answerSink{})
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.Equal(len(f.engines["a"].Received()), 0)
		assertInvariants(t, f)
	})
}

func TestRefusalAfterStart(t *testing.T) {
	t.Run("key withdrawn during the stream", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			f.engines["a"].SetFaults(engine.Faults{Slow: time.Second})
			var withdrawn time.Time
			refusal, text := runGeneration(t, f, "", func() {
				pause(2500 * time.Millisecond)
				withdrawn = f.clock.Now()
				f.edit(func(config *models.Config) {
					config.Keys = map[[32]byte]models.Key{keyHash: {ID: "k1", Withdrawn: true}}
				})
			})
			is.Equal(refusal.Code, models.RefusalKeyWithdrawn)
			is.True(!refusal.NotRun)
			is.Equal(f.clock.Now(), withdrawn)                             // refused at once
			is.Equal(f.engines["a"].cancelled(), []models.RequestID{"r1"}) // cancelled at the engine
			is.Equal(f.usage.Output, int64(len(strings.Fields(text))))     // only delivered tokens count
			refusal = f.ask(t.Context(), 0, "r2", "catalogue", "", prompt, &answerSink{})
			is.Equal(refusal.Code, models.RefusalKeyWithdrawn)
			is.True(refusal.NotRun)
		})
	})
	t.Run("caller reads too slowly", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			refusal := f.ask(t.Context(), 0, "r1", "catalogue", "", prompt, &answerSink{blocked: true})
			is.Equal(refusal.Code, models.RefusalCancelled)
			is.True(strings.Contains(refusal.Message, "has taken no token"))
			synctest.Wait()
			is.Equal(f.engines["a"].cancelled(), []models.RequestID{"r1"})
		})
	})
	t.Run("caller disconnects", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
			defer cancel()
			refusal := f.ask(ctx, 0, "r1", "catalogue", "", prompt, &answerSink{})
			is.True(refusal != nil)
			synctest.Wait()
			is.Equal(f.engines["a"].cancelled(), []models.RequestID{"r1"}) // cancelled at the engine
		})
	})
	t.Run("all engines crash", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 2)
			refusal, _ := runGeneration(t, f, "", func() {
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
	t.Run("a draining engine finishes its requests and gets no new ones", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 2)
			refusal, _ := runGeneration(t, f, "", func() {
				pause(60 * time.Millisecond)
				is.NoErr(f.engines["b"].Order(context.Background(), models.Order{ID: "d", Kind: models.OrderDrain}))
				f.history.Leaving(invariant.Leaving{At: f.clock.Now(), Backend: "b"})
			})
			is.Equal(refusal, nil)
			is.Equal(len(f.engines["a"].Received()), 0) // not moved
			for i := range 10 {
				is.Equal(f.ask(t.Context(), 0, "s"+strconv.Itoa(i), "catalogue", "", prompt, &answerSink{}), nil)
			}
			is.Equal(len(f.engines["b"].Received()), 1)
			assertInvariants(t, f)
		})
	})
	t.Run("a zone is evicted in 5 s during streams", func(t *testing.T) {
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
			for _, id := range f.engineIDs[:2] {
				f.engines[id].Evict(context.Background(), 5*time.Second)
				f.history.Leaving(invariant.Leaving{At: f.clock.Now(), Backend: string(id)})
			}
			is.Equal(f.ask(t.Context(), 0, "s1", "catalogue", "", prompt, &answerSink{}), nil)
			group.Wait()
			assertInvariants(t, f) // each answer is complete
		})
	})
	t.Run("a draining daemon finishes its requests", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			drained := make(chan error, 1)
			refusal, _ := runGeneration(t, f, "", func() {
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
	t.Run("requests that run past the drain timeout are refused", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 1)
			f.engines["a"].SetFaults(engine.Faults{Slow: time.Second})
			refusal, _ := runGeneration(t, f, "", func() {
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
		{"nearest address first", "reservations", nil, "", []string{"a"}},
		{"a call that was not executed goes to another address", "reservations", nearRefuses, "", []string{"a", "b"}},
		{"a call with unknown outcome is not repeated", "reservations", lost, models.RefusalOutcomeUnknown, []string{"a"}},
		{"a repeatable call with unknown outcome is repeated", "flitches", lost, models.RefusalBackendFailed, []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I) {
				f := newFleet(1, 0)
				f.service.setFault(c.fault)
				var code models.RefusalCode
				if refusal := f.ask(t.Context(), 0, "r1:c", c.route, "", "flitch 7", &answerSink{}); refusal != nil {
					code = refusal.Code
					is.True(!refusal.NotRun)
				}
				is.Equal(code, c.code)
				is.Equal(f.service.calls, c.calls)
				assertInvariants(t, f)
			})
		})
	}
	t.Run("an address that failed is tried last", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			f := newFleet(1, 0)
			f.service.setFault(nearRefuses)
			for range 2 {
				is.Equal(f.ask(t.Context(), 0, "r1", "flitches", "", "x", &answerSink{}), nil)
			}
			is.Equal(f.service.calls, []string{"a", "b", "b"})
		})
	})
}

// TestRetriesUnderFailure checks that retries stay within 10 % of requests when
// 3 of 10 engines, or all 10, fail every request after starting it. With all of
// them failing, unbounded retries would become a retry storm.
func TestRetriesUnderFailure(t *testing.T) {
	const requests = 1000
	for _, failing := range []int{3, 10} {
		t.Run(strconv.Itoa(10*failing)+"%", func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I) {
				f := newFleet(2, 10)
				for _, id := range f.engineIDs[:failing] {
					f.engines[id].setAnswerFaults(true, false)
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
				is.True(extra > 0) // some retries were made
				assertInvariants(t, f)
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
	is.True(taken <= 1000) // at most a tenth of the first attempts
	is.True(taken >= 900)
	is.True(!slices.Contains([]bool{b.Take()}, true)) // the budget is used up
}
