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

// Forecaster predicts the times of requests and reserves engines for them.
type Forecaster interface {
	// Forecast returns the engine that a request would get if it were placed
	// now, with the predicted times; false if no engine can run it.
	Forecast(exchange *Exchange) (placement.Choice, bool)
	// ExpectedOutput returns the expected output of a request, in tokens.
	ExpectedOutput(exchange *Exchange) int
	// Reserve reserves an engine for a request if the wait is acceptable.
	Reserve(exchange *Exchange, acceptable func(wait time.Duration) bool) bool
	// CancelReservation releases the reservation of a request if it was not
	// used.
	CancelReservation(exchange *Exchange)
}

// Queue holds requests until an engine has room. It starts them in fair order
// between workspaces by their weights, and refuses at once those that cannot
// meet their deadline.
type Queue struct {
	configuration peer.Configuration
	forecaster    Forecaster
	reports       peer.Reports
	clock         peer.Clock
	work          *WorkCounter

	mu        sync.Mutex
	ledger    *fair.Ledger
	queues    map[models.Model]*fair.Queue
	otherWork *demand.Tracker[models.Workspace]
}

// NewQueue returns an empty queue. It counts its requests in work.
func NewQueue(configuration peer.Configuration, forecaster Forecaster, reports peer.Reports, clock peer.Clock, work *WorkCounter) *Queue {
	return &Queue{
		configuration: configuration,
		forecaster:    forecaster,
		reports:       reports,
		clock:         clock,
		work:          work,
		ledger:        fair.NewLedger(),
		queues:        map[models.Model]*fair.Queue{},
		otherWork:     demand.NewTracker[models.Workspace](rateTimeConstant),
	}
}

// Filter returns a filter that holds each generation until it may start. Calls
// of plain services are only counted.
func (q *Queue) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if e.Generation == nil {
				q.work.add(e.Workspace.Name, models.WorkDone{Requests: 1, Running: 1})
				defer q.work.add(e.Workspace.Name, models.WorkDone{Running: -1})
				return next.Handle(ctx, e)
			}
			w := q.Enqueue(e)
			if err := q.await(ctx, w); err != nil {
				return err
			}
			defer q.Finish(w)
			e.Sink = &countingSink{Sink: e.Sink, onToken: func() { q.CountToken(w) }}
			return next.Handle(ctx, e)
		})
	}
}

// Waiter is a request that was put into the queue. It stays in use until the
// request has ended.
type Waiter struct {
	exchange       *Exchange
	ticket         *fair.Ticket
	promptTokens   int
	expectedOutput int
	outputTokens   int        // served so far
	decision       chan error // nil: it may start
}

// Decided returns a channel that receives nil when the request may start, or
// its refusal.
func (w *Waiter) Decided() <-chan error {
	return w.decision
}

// Enqueue puts a request into the queue and starts it if an engine has room. It
// refuses a request that no engine can run or that can't meet its deadline.
func (q *Queue) Enqueue(e *Exchange) *Waiter {
	expected := q.forecaster.ExpectedOutput(e)
	choice, placeable := q.forecaster.Forecast(e)
	q.work.Offer(e, expected)
	w := &Waiter{exchange: e, promptTokens: prefix.Tokens(e.Generation.Prompt), expectedOutput: expected, decision: make(chan error, 1)}
	prefill := choice.FirstToken - choice.Wait
	decode := time.Duration(expected) * choice.Step
	w.ticket = &fair.Ticket{
		Workspace: e.Workspace.Name,
		Weight:    weight(e.Workspace),
		Tokens:    float64(w.promptTokens + expected),
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
		q.refuse(w, deadlineRefusal(e, "the answer would not be whole before its deadline", 0))
		return w
	}
	q.work.add(e.Workspace.Name, models.WorkDone{Waiting: 1})
	model := e.Generation.Model
	q.refuseAll(q.queue(model).Push(w.ticket, now))
	q.startReady(model, now)
	return w
}

// Finish ends a request that was started. Output that was expected but not
// served is credited to its workspace.
func (q *Queue) Finish(w *Waiter) {
	q.forecaster.CancelReservation(w.exchange)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if unused := w.expectedOutput - w.outputTokens; unused > 0 {
		q.ledger.Charge(w.ticket.Workspace, w.ticket.Weight, -float64(unused), now)
	}
	q.work.add(w.ticket.Workspace, models.WorkDone{Running: -1})
	q.startReady(w.exchange.Generation.Model, now)
}

// CountToken counts an output token. Tokens beyond the estimate are charged to
// the workspace as they are served.
func (q *Queue) CountToken(w *Waiter) {
	q.work.add(w.ticket.Workspace, models.WorkDone{OutputTokens: 1})
	q.mu.Lock()
	defer q.mu.Unlock()
	w.outputTokens++
	if w.outputTokens > w.expectedOutput {
		q.ledger.Charge(w.ticket.Workspace, w.ticket.Weight, 1, q.clock.Now())
	}
}

// Step implements control.Task. It charges the work of other daemons, refuses
// requests that can no longer start in time and starts those that have room.
func (q *Queue) Step(context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.chargeReportedWork(now)
	for model, queue := range q.queues {
		q.refuseAll(queue.Expire(now))
		q.startReady(model, now)
	}
}

// await waits until a request may start, and returns its refusal if it may not.
func (q *Queue) await(ctx context.Context, w *Waiter) error {
	select {
	case err := <-w.decision:
		return err
	case <-ctx.Done():
	}
	if q.removeWaiting(w) {
		return waitRefusal(ctx, w.exchange)
	}
	return <-w.decision
}

// waitRefusal returns the refusal of a request whose context ended while it
// waited.
func waitRefusal(ctx context.Context, e *Exchange) error {
	if ctx.Err() == context.DeadlineExceeded {
		return deadlineRefusal(e, "the request's time was up before an engine had room", busyRetryAfter)
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone", NotRun: neverRun(e)}
}

// removeWaiting removes a waiting request from the queue. It returns false if
// the request was already decided.
func (q *Queue) removeWaiting(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(w.decision) > 0 {
		return false
	}
	q.queue(w.exchange.Generation.Model).Remove(w.ticket, q.clock.Now())
	q.work.add(w.ticket.Workspace, models.WorkDone{Waiting: -1})
	return true
}

// startReady starts the requests of a model in fair order until the next one
// cannot get an engine. The lock is held.
func (q *Queue) startReady(model models.Model, now time.Time) {
	queue := q.queue(model)
	for t := queue.Next(now); t != nil; t = queue.Next(now) {
		w := t.Data.(*Waiter)
		acceptable := func(wait time.Duration) bool { return queue.MayStart(t, wait, now) }
		if !q.forecaster.Reserve(w.exchange, acceptable) {
			return
		}
		queue.Start(t, now)
		q.work.add(t.Workspace, models.WorkDone{Requests: 1, PromptTokens: int64(w.promptTokens), Running: 1, Waiting: -1})
		w.decision <- nil
	}
}

// chargeReportedWork charges workspaces for the work that other daemons report.
// The lock is held.
func (q *Queue) chargeReportedWork(now time.Time) {
	workspaces := q.configuration.Config().Workspaces
	for _, report := range q.reports.Reports() {
		totals := map[models.Workspace]demand.Totals{}
		for workspace, work := range report.Report.Work {
			totals[workspace] = demand.Totals{Requests: work.Requests, Tokens: work.PromptTokens + work.OutputTokens}
		}
		for _, increase := range q.otherWork.Observe(report.Report.Daemon, report.ReceivedAt, totals) {
			q.ledger.Charge(increase.Key, weight(workspaces[increase.Key]), float64(increase.Tokens), now)
		}
	}
}

// refuseAll refuses requests that were removed from a queue. The lock is held.
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

// refuse counts a refusal and passes it to the waiting request. The lock is
// held.
func (q *Queue) refuse(w *Waiter, refusal *models.Refusal) {
	q.work.add(w.ticket.Workspace, models.WorkDone{Refused: 1})
	w.decision <- refusal
}

func (q *Queue) queue(model models.Model) *fair.Queue {
	queue, ok := q.queues[model]
	if !ok {
		queue = fair.NewQueue(q.ledger)
		q.queues[model] = queue
	}
	return queue
}

func deadlineRefusal(e *Exchange, message string, retryAfter time.Duration) *models.Refusal {
	return &models.Refusal{Code: models.RefusalDeadline, Message: message, NotRun: neverRun(e), RetryAfter: retryAfter}
}

// neverRun reports whether a request that is refused before its claim is
// looked up has certainly not run. One with an idempotency key may repeat a
// request that has.
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

// countingSink calls onToken for each token on its way to the caller.
type countingSink struct {
	Sink
	onToken func()
}

// Piece implements Sink.
func (s *countingSink) Piece(ctx context.Context, piece models.Piece) error {
	if !piece.Done {
		s.onToken()
	}
	return s.Sink.Piece(ctx, piece)
}
