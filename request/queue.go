package request

import (
	"context"
	"sync"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/demand"
	"quincewinch/policy/fair"
	"quincewinch/policy/placement"
)

// Forecaster predicts how a request would fare if it were placed now.
type Forecaster interface {
	Forecast(exchange *Exchange) (placement.Choice, bool)
	// Expect returns the output expected of a request, in tokens.
	Expect(exchange *Exchange) int
	// Reserve chooses a request's engine if the wait there is acceptable.
	Reserve(exchange *Exchange, acceptable func(wait time.Duration) bool) bool
	// Unreserve gives back a reservation that was not used.
	Unreserve(exchange *Exchange)
}

// Queue holds requests until an engine has room, in the order of their
// workspaces' shares, and refuses at once those that cannot be on time.
type Queue struct {
	configuration peer.Configuration
	forecaster    Forecaster
	reports       peer.Reports
	clock         peer.Clock
	work          *Work

	mu     sync.Mutex
	ledger *fair.Ledger
	queues map[models.Model]*fair.Queue
	others *demand.Tracker[models.Workspace]
}

// NewQueue returns an empty queue that counts into work.
func NewQueue(configuration peer.Configuration, forecaster Forecaster, reports peer.Reports, clock peer.Clock, work *Work) *Queue {
	return &Queue{
		configuration: configuration,
		forecaster:    forecaster,
		reports:       reports,
		clock:         clock,
		work:          work,
		ledger:        fair.NewLedger(),
		queues:        map[models.Model]*fair.Queue{},
		others:        demand.NewTracker[models.Workspace](rateMemory),
	}
}

// Filter returns the filter of the line.
func (q *Queue) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if e.Generation == nil {
				q.work.add(e.Workspace.Name, models.WorkDone{Requests: 1, Running: 1})
				defer q.work.add(e.Workspace.Name, models.WorkDone{Running: -1})
				return next.Handle(ctx, e)
			}
			w := q.Enter(e)
			if err := q.await(ctx, w); err != nil {
				return err
			}
			defer q.Leave(w)
			e.Sink = &countingSink{Sink: e.Sink, served: func() { q.Served(w) }}
			return next.Handle(ctx, e)
		})
	}
}

// Waiter is a request in the queue or past it.
type Waiter struct {
	exchange *Exchange
	ticket   *fair.Ticket
	prompt   int
	expected int
	output   int        // tokens served so far
	decided  chan error // nil: it may start
}

// Decided gives nil when the request may start, or its refusal.
func (w *Waiter) Decided() <-chan error {
	return w.decided
}

// Enter takes a request in.
func (q *Queue) Enter(e *Exchange) *Waiter {
	expected := q.forecaster.Expect(e)
	choice, placeable := q.forecaster.Forecast(e)
	q.work.Offer(e, expected)
	w := &Waiter{exchange: e, prompt: prefix.Tokens(e.Generation.Prompt), expected: expected, decided: make(chan error, 1)}
	prefill := choice.FirstToken - choice.Wait
	decode := time.Duration(expected) * choice.Step
	w.ticket = &fair.Ticket{
		Workspace: e.Workspace.Name,
		Weight:    weight(e.Workspace),
		Tokens:    float64(w.prompt + expected),
		StartBy:   fair.StartBy(e.Received, e.Deadline, prefill, decode),
		Data:      w,
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !placeable {
		refusal := noBackend("no engine can run " + string(e.Generation.Model) + " now")
		refusal.NotRun = neverRun(e)
		q.refuse(w, refusal)
		return w
	}
	now := q.clock.Now()
	if now.Add(prefill + decode).After(e.Deadline) {
		q.refuse(w, lateRefusal(e, "the answer would not be whole before its deadline", 0))
		return w
	}
	q.work.add(e.Workspace.Name, models.WorkDone{Waiting: 1})
	model := e.Generation.Model
	q.refuseAll(q.queue(model).Push(w.ticket, now))
	q.pump(model, now)
	return w
}

// Leave ends a request that was started.
func (q *Queue) Leave(w *Waiter) {
	q.forecaster.Unreserve(w.exchange)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if short := w.expected - w.output; short > 0 {
		q.ledger.Charge(w.ticket.Workspace, w.ticket.Weight, -float64(short), now)
	}
	q.work.add(w.ticket.Workspace, models.WorkDone{Running: -1})
	q.pump(w.exchange.Generation.Model, now)
}

// Served counts an output token. Those beyond the estimate are charged as
// they come.
func (q *Queue) Served(w *Waiter) {
	q.work.add(w.ticket.Workspace, models.WorkDone{OutputTokens: 1})
	q.mu.Lock()
	defer q.mu.Unlock()
	w.output++
	if w.output > w.expected {
		q.ledger.Charge(w.ticket.Workspace, w.ticket.Weight, 1, q.clock.Now())
	}
}

// Step implements control.Task: it takes in the other daemons' work, refuses
// what has become late and starts what has room.
func (q *Queue) Step(context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.learn(now)
	for model, queue := range q.queues {
		q.refuseAll(queue.Expire(now))
		q.pump(model, now)
	}
}

// await waits for the decision on a request.
func (q *Queue) await(ctx context.Context, w *Waiter) error {
	select {
	case err := <-w.decided:
		return err
	case <-ctx.Done():
	}
	if q.abandon(w) {
		return goneWaiting(ctx, w.exchange)
	}
	return <-w.decided
}

// goneWaiting returns the refusal of a request that ended while it waited.
func goneWaiting(ctx context.Context, e *Exchange) error {
	if ctx.Err() == context.DeadlineExceeded {
		return lateRefusal(e, "the request's time was up before an engine had room", busyRetryAfter)
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone", NotRun: neverRun(e)}
}

// abandon takes a waiting request out; false if it was decided before.
func (q *Queue) abandon(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(w.decided) > 0 {
		return false
	}
	q.queue(w.exchange.Generation.Model).Remove(w.ticket, q.clock.Now())
	q.work.add(w.ticket.Workspace, models.WorkDone{Waiting: -1})
	return true
}

// pump starts what has room. The lock is held.
func (q *Queue) pump(model models.Model, now time.Time) {
	queue := q.queue(model)
	for t := queue.Next(now); t != nil; t = queue.Next(now) {
		w := t.Data.(*Waiter)
		acceptable := func(wait time.Duration) bool { return queue.MayStart(t, wait, now) }
		if !q.forecaster.Reserve(w.exchange, acceptable) {
			return
		}
		queue.Start(t, now)
		q.work.add(t.Workspace, models.WorkDone{Requests: 1, PromptTokens: int64(w.prompt), Running: 1, Waiting: -1})
		w.decided <- nil
	}
}

// learn charges the work of other daemons. The lock is held.
func (q *Queue) learn(now time.Time) {
	workspaces := q.configuration.Config().Workspaces
	for _, report := range q.reports.Reports() {
		totals := map[models.Workspace]demand.Totals{}
		for workspace, work := range report.Report.Work {
			totals[workspace] = demand.Totals{Requests: work.Requests, Tokens: work.PromptTokens + work.OutputTokens}
		}
		for _, increase := range q.others.Observe(report.Report.Daemon, report.ReceivedAt, totals) {
			q.ledger.Charge(increase.Key, weight(workspaces[increase.Key]), float64(increase.Tokens), now)
		}
	}
}

func (q *Queue) refuseAll(refused []fair.Rejection) {
	for _, r := range refused {
		w := r.Ticket.Data.(*Waiter)
		q.work.add(r.Ticket.Workspace, models.WorkDone{Waiting: -1})
		q.refuse(w, &models.Refusal{
			Code:       models.RefusalOverload,
			Message:    "no engine will have room in time",
			NotRun:     neverRun(w.exchange),
			RetryAfter: r.RetryAfter,
		})
	}
}

// refuse decides against a request. The lock is held.
func (q *Queue) refuse(w *Waiter, refusal *models.Refusal) {
	q.work.add(w.ticket.Workspace, models.WorkDone{Refused: 1})
	w.decided <- refusal
}

func (q *Queue) queue(model models.Model) *fair.Queue {
	queue, ok := q.queues[model]
	if !ok {
		queue = fair.NewQueue(q.ledger)
		q.queues[model] = queue
	}
	return queue
}

func lateRefusal(e *Exchange, message string, retryAfter time.Duration) *models.Refusal {
	return &models.Refusal{Code: models.RefusalDeadline, Message: message, NotRun: neverRun(e), RetryAfter: retryAfter}
}

// neverRun reports whether a request that is refused before its claim is
// looked up has certainly not run: one with an idempotency key may be the
// repeat of a request that has.
func neverRun(e *Exchange) bool {
	return e.IdempotencyKey == ""
}

// weight returns a workspace's weight. An open route has no workspace and
// counts as one of weight 1.
func weight(workspace models.WorkspaceSettings) float64 {
	if workspace.Name == "" {
		return 1
	}
	return workspace.Weight
}

// countingSink tells of each token that reaches the caller.
type countingSink struct {
	Sink
	served func()
}

// Piece implements Sink.
func (s *countingSink) Piece(ctx context.Context, piece models.Piece) error {
	if !piece.Done {
		s.served()
	}
	return s.Sink.Piece(ctx, piece)
}
