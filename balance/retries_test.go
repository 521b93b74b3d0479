package balance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/peer/system"
	"quincewinch/policy/retry"
	"quincewinch/relay"
)

func TestRetryBudgetIsDividedAmongDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(plainServers(1)...))
		b.SetDaemons(5, true)
		advance(t, 11*time.Second)
		for range 100 {
			place(t, b, callExchange()).End(relay.ResultServed)
		}
		taken := takeRetries(b)
		is.True(taken <= 30) // 0.2 of 100 requests, and a fifth of the reserve of 50
		is.True(taken >= 20)
	})
}

// takeRetries returns how many retries of 100 a balancer allows.
func takeRetries(b *balance.Balancer) int {
	taken := 0
	for range 100 {
		if b.TakeRetry("desk") {
			taken++
		}
	}
	return taken
}

func TestRetryReserveOfVMsThatMayHaveSpentIt(t *testing.T) {
	tests := []struct {
		name   string
		before func(t *testing.T, b *balance.Balancer)
		want   int // of a reserve of 50, of which 40 are used
	}{
		{"alone for long", func(t *testing.T, b *balance.Balancer) {
			b.SetDaemons(1, true)
			advance(t, 11*time.Second)
		}, 40},
		{"the process has just started", func(_ *testing.T, b *balance.Balancer) { b.SetDaemons(4, true) }, 0},
		{"the others have just become known", func(t *testing.T, b *balance.Balancer) {
			advance(t, time.Minute)
			b.SetDaemons(4, true)
		}, 0},
		{"the registrations have not been read", func(t *testing.T, b *balance.Balancer) {
			b.SetDaemons(4, false)
			advance(t, time.Minute)
		}, 0},
		{"others have left", func(t *testing.T, b *balance.Balancer) {
			b.SetDaemons(8, true)
			advance(t, time.Minute)
			b.SetDaemons(8, true)
			b.SetDaemons(4, true)
			advance(t, 5*time.Second)
		}, 5},
		{"others left long ago", func(t *testing.T, b *balance.Balancer) {
			b.SetDaemons(8, true)
			b.SetDaemons(4, true)
			advance(t, 11*time.Second)
		}, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBalancer(newFleet(plainServers(1)...))
				test.before(t, b)
				is.New(t).Equal(takeRetries(b), test.want)
			})
		})
	}
	t.Run("ratio of a process that has just started", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBalancer(newFleet(plainServers(1)...))
			b.SetDaemons(1, true)
			for range 100 {
				place(t, b, callExchange()).End(relay.ResultServed)
			}
			// What 0.2 for each of 100 requests leaves beside the 0.16 of the process before.
			is.New(t).True(takeRetries(b) <= 4)
		})
	})
	t.Run("no process has run before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := balance.New(newFleet(plainServers(1)...), system.NewClock(), balance.Settings{
				FirstStart: true, Retries: retry.Settings{Ratio: 0.2, Reserve: 50, Window: 10 * time.Second},
			}, 1)
			b.SetDaemons(4, true)
			is.New(t).Equal(takeRetries(b), 10)
		})
	})
}

// Guards against prefill calls that are trusted to be accepted after others that were not
// sent at all.
func TestPrefillCallsWithoutRoomInTheRetryBudget(t *testing.T) {
	tests := []struct {
		result relay.Result
		want   int // prefill calls at once after one with the result
	}{
		{relay.ResultServed, 2},
		{relay.ResultUnreachable, 1},
		{relay.ResultRejected, 0},
		{relay.ResultFailed, 0},
	}
	for _, test := range tests {
		t.Run(string(test.result), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBalancer(newFleet(plainServers(1)...))
				is.True(b.BeginPrefill("llm"))
				b.EndPrefill("llm", test.result)
				begun := 0
				for b.BeginPrefill("llm") {
					begun++
				}
				is.Equal(begun, test.want)
			})
		})
	}
}
