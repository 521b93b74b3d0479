package fair_test

import (
	"flag"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quincewinch/models"
	"quincewinch/policy/fair"
	"quincewinch/policy/naive"
)

// TestMain fixes the seed, so that each run draws the same values.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var start = time.Unix(1000, 0)

func ticket(workspace models.Workspace, weight, tokens float64) *fair.Ticket {
	return &fair.Ticket{Workspace: workspace, Weight: weight, Tokens: tokens, StartBy: start.Add(time.Second)}
}

// TestSharesMatchExactDivision serves part of a backlog without advancing the
// clock and compares what each workspace got with the exact division.
func TestSharesMatchExactDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		q := fair.NewQueue(fair.NewLedger())
		claims := map[models.Workspace]naive.Claim{}
		var offered, largest float64
		for i := range rapid.IntRange(1, 8).Draw(t, "workspaces") {
			workspace := models.Workspace("w-" + strconv.Itoa(i))
			weight := rapid.SampledFrom([]float64{0.5, 1, 2, 4}).Draw(t, "weight")
			size := float64(rapid.IntRange(1, 50).Draw(t, "tokens"))
			count := rapid.IntRange(1, 60).Draw(t, "tickets")
			for range count {
				is.Equal(len(q.Push(ticket(workspace, weight, size), start)), 0)
			}
			claims[workspace] = naive.Claim{Weight: weight, Demand: size * float64(count)}
			offered += size * float64(count)
			largest = max(largest, size/weight)
		}
		amount := offered * rapid.Float64Range(0.1, 0.9).Draw(t, "part")
		served := map[models.Workspace]float64{}
		var sum float64
		for sum < amount {
			next := q.Next(start)
			q.Start(next, start)
			served[next.Workspace] += next.Tokens
			sum += next.Tokens
		}
		for workspace, share := range naive.Shares(sum, claims) {
			// Tickets are not divided, so levels differ by up to the largest one.
			is.True(math.Abs(served[workspace]-share) <= 2*largest*claims[workspace].Weight)
		}
	})
}

// TestEachTicketEndsOnce pushes, starts and expires tickets at random and
// checks that none ends twice or is lost.
func TestEachTicketEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		q := fair.NewQueue(fair.NewLedger())
		now := start
		waiting := map[*fair.Ticket]bool{}
		end := func(ended *fair.Ticket) {
			is.True(waiting[ended]) // the ticket was still waiting
			delete(waiting, ended)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				pushed := ticket(models.Workspace("w-"+strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "workspace"))), 1, 100)
				pushed.StartBy = now.Add(time.Second)
				waiting[pushed] = true
				for _, rejected := range q.Push(pushed, now) {
					end(rejected.Ticket)
				}
			case 2:
				if next := q.Next(now); next != nil {
					q.Start(next, now)
					end(next)
				}
			case 3:
				for _, rejected := range q.Expire(now) {
					end(rejected.Ticket)
					is.True(rejected.RetryAfter >= time.Second)
				}
			}
			is.Equal(q.Len(), len(waiting))
		}
	})
}

func TestShed(t *testing.T) {
	// busy returns a queue that has started a ticket of 100 tokens every 100 ms
	// for a second while other tickets waited.
	busy := func(t *testing.T) (*fair.Queue, time.Time) {
		t.Helper()
		is := is.New(t)
		q := fair.NewQueue(fair.NewLedger())
		now := start
		for range 12 {
			is.Equal(len(q.Push(withoutDeadline(ticket("greedy", 1, 100)), now)), 0)
		}
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			q.Start(q.Next(now), now)
		}
		return q, now
	}
	t.Run("tickets that cannot start in time are rejected at once, those of the highest level first", func(t *testing.T) {
		is := is.New(t)
		q, now := busy(t)
		var rejected []fair.Rejection
		for range 20 {
			pushed := ticket("greedy", 1, 100)
			pushed.StartBy = now.Add(time.Second)
			rejected = append(rejected, q.Push(pushed, now)...)
		}
		is.True(len(rejected) >= 8) // ten start per second
		modest := ticket("modest", 1, 100)
		modest.StartBy = now.Add(time.Second)
		for _, r := range q.Push(modest, now) {
			is.Equal(r.Ticket.Workspace, models.Workspace("greedy"))
		}
		is.Equal(q.Next(now), modest)
	})
	t.Run("a short queue that drains rejects no ticket", func(t *testing.T) {
		is := is.New(t)
		q, now := busy(t)
		for range 100 {
			pushed := ticket("greedy", 1, 100)
			pushed.StartBy = now.Add(time.Second)
			is.Equal(len(q.Push(pushed, now)), 0)
			now = now.Add(100 * time.Millisecond)
			q.Start(q.Next(now), now)
		}
	})
	t.Run("a ticket past its latest start is rejected", func(t *testing.T) {
		is := is.New(t)
		q := fair.NewQueue(fair.NewLedger())
		is.Equal(len(q.Push(ticket("a", 1, 100), start)), 0)
		is.Equal(len(q.Expire(start.Add(900*time.Millisecond))), 0)
		is.Equal(len(q.Expire(start.Add(1100*time.Millisecond))), 1)
	})
}

// withoutDeadline sets the latest start of a ticket far in the future.
func withoutDeadline(t *fair.Ticket) *fair.Ticket {
	t.StartBy = start.Add(time.Hour)
	return t
}

func TestMayStart(t *testing.T) {
	is := is.New(t)
	q := fair.NewQueue(fair.NewLedger())
	for range 20 {
		q.Start(ticket("greedy", 1, 100), start)
	}
	q.Start(ticket("modest", 1, 100), start)
	const wait = 150 * time.Millisecond
	is.True(!q.MayStart(ticket("greedy", 1, 100), wait, start))
	is.True(q.MayStart(ticket("modest", 1, 100), wait, start))
	is.True(q.MayStart(ticket("greedy", 1, 100), 0, start))          // any workspace may use an idle engine
	is.True(!q.MayStart(ticket("modest", 1, 100), time.Hour, start)) // no workspace may use an overloaded engine
}

func TestMayStartByWeight(t *testing.T) {
	is := is.New(t)
	q := fair.NewQueue(fair.NewLedger())
	q.Start(ticket("greedy", 1, 600), start)
	q.Start(ticket("heavy", 4, 800), start)
	const wait = 150 * time.Millisecond
	is.True(!q.MayStart(ticket("greedy", 1, 100), wait, start)) // three times the level of heavy
	is.True(q.MayStart(ticket("heavy", 4, 100), wait, start))
}

func TestStartBy(t *testing.T) {
	is := is.New(t)
	early := fair.StartBy(start, start.Add(time.Minute), 200*time.Millisecond, time.Second)
	is.Equal(early, start.Add(900*time.Millisecond)) // limited by the first token's target
	tight := fair.StartBy(start, start.Add(1500*time.Millisecond), 200*time.Millisecond, time.Second)
	is.Equal(tight, start.Add(300*time.Millisecond)) // limited by the answer's deadline
}
