package relay

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxRejections is how many backend servers may turn a request away until
	// it is refused: each is an arrival that the retry budget pays for.
	maxRejections = 2
	// maxUnreachable is how many backend servers may be found unreachable for
	// one request; each costs up to the dial timeout.
	maxUnreachable = 3
	// maxUnreachablePrefillers is how many engines may be found unreachable that are to read
	// a prompt, until the target reads it.
	maxUnreachablePrefillers = 2
	// minTimeLeft is the least time for which a request is sent: below it no
	// backend server can answer.
	minTimeLeft = 5 * time.Millisecond
	// releaseTimeout bounds a call that releases KV cache; the request waits for
	// it before it goes elsewhere.
	releaseTimeout = 300 * time.Millisecond
	// rejectedRetryAfter is when a caller should come back whose request was
	// turned away by full backend servers: they finish some within that time.
	rejectedRetryAfter = 250 * time.Millisecond
)

// Placer chooses backend servers. It is safe for concurrent use.
type Placer interface {
	// Place chooses a backend server that is not in tried, and holds room for
	// the request there until the placement ends. Its error is a
	// *models.Refusal.
	Place(e *Exchange, tried map[models.EngineID]bool) (Placement, error)
	// TakeRetry takes one repeated request for a service from the budget.
	TakeRetry(service models.ServiceName) bool
	// ChargeRetry takes one from the budget that has been sent already.
	ChargeRetry(service models.ServiceName)
}

// Placement is a place that a request was given.
type Placement interface {
	// Target runs the request.
	Target() models.Upstream
	// Prefiller fills KV cache with the prompt first; false: the target does.
	Prefiller() (models.Upstream, bool)
	// AcceptsWork reports whether the target takes new work: it may have begun to
	// leave since it was chosen.
	AcceptsWork() bool
	// Predicted is the expected time to the answer or its first event.
	Predicted() time.Duration
	// PrefillTokens is how many prompt tokens are expected to be read.
	PrefillTokens() int
	// Urgency orders the request among others at the engine, 0 first.
	Urgency() int
	// PrefillEnded tells that the prefiller is done, and how the prompt fared there.
	PrefillEnded(result Result)
	// ResponseStarted tells that the answer, or its first event, is here.
	ResponseStarted(load *models.UpstreamLoad)
	// End gives the room back.
	End(result Result)
}

// Result is how a request, or its prompt, fared at a backend server.
type Result string

// Results at a backend server.
const (
	ResultServed      Result = "served"
	ResultRejected    Result = "rejected"    // it states that the request did not run
	ResultMoved       Result = "moved"       // its address is another's by now
	ResultUnreachable Result = "unreachable" // nothing was sent
	ResultLeaving     Result = "left"        // it began to leave before anything was sent
	ResultFailed      Result = "failed"      // it failed, or its answer was lost
	ResultCancelled   Result = "cancelled"   // the caller left or the time was over
)

// UsageMeter counts requests that backend servers began to run.
type UsageMeter interface {
	Count(workspace models.Workspace)
}

// Sender is the last filter: it sends a request to backend servers until one
// has answered.
type Sender struct {
	upstreams peer.Upstreams
	placer    Placer
	meter     UsageMeter
	clock     peer.Clock
	logger    *zap.Logger
}

// NewSender returns a sender over a placer.
func NewSender(upstreams peer.Upstreams, placer Placer, meter UsageMeter, clock peer.Clock, logger *zap.Logger) *Sender {
	return &Sender{upstreams: upstreams, placer: placer, meter: meter, clock: clock, logger: logger}
}

// Handle implements Handler.
func (s *Sender) Handle(ctx context.Context, e *Exchange) error {
	d := &delivery{sender: s, exchange: e, tried: map[models.EngineID]bool{}}
	d.events.lastID = e.Call.ResumeAfter
	ctx, cancel := context.WithTimeout(ctx, e.Deadline.Sub(s.clock.Now()))
	defer cancel()
	return d.run(ctx)
}

// delivery is one request on its way to an answer.
type delivery struct {
	sender                *Sender
	exchange              *Exchange
	tried                 map[models.EngineID]bool
	executions            int // backend servers that may have run it
	rejections            int
	unreachable           int
	unreachablePrefillers int             // engines found unreachable that were to read the prompt
	prefillRequested      bool            // an engine was asked to read the prompt for a target
	prefilled             *prefilledCache // not yet taken by a target
	headerWritten         bool            // the caller has status and header
	billed                bool            // for billing
	events                eventSplitter
	// fallback is a backend server's own failure, passed on where nothing better
	// comes.
	fallback *bufferedResponse
}

// prefilledCache is KV cache that an engine has filled with the prompt.
type prefilledCache struct {
	source    models.KVSource
	prefiller models.Upstream
}

func (d *delivery) run(ctx context.Context) error {
	defer d.releasePrefilled(ctx)
	for {
		placement, err := d.sender.placer.Place(d.exchange, d.tried)
		if err != nil {
			return d.finish(ctx, err)
		}
		result, err := d.attempt(ctx, placement)
		placement.End(result)
		if err == nil {
			return nil
		}
		d.exchange.Trace.LastFailure = err.Error()
		again := ctx.Err() == nil && d.mayRetry(result)
		d.logFailure(placement, result, again, err)
		if !again {
			return d.finish(ctx, err)
		}
	}
}

// logFailure tells why a backend server did not answer, and whether the request is
// sent again.
func (d *delivery) logFailure(placement Placement, result Result, again bool, err error) {
	e := d.exchange
	target := placement.Target()
	d.sender.logger.Info("request not answered by a backend server",
		zap.String("request", string(e.ID)),
		zap.String("engine", string(target.ID)),
		zap.String("address", target.Address.String()),
		zap.String("prefiller", string(e.Trace.Prefiller)),
		zap.String("result", string(result)),
		zap.Bool("again", again),
		zap.Int("sends", e.Sends),
		zap.Int("attempts", e.Route.Attempts),
		zap.Bool("repeatable", e.Route.Repeatable),
		zap.String("last-event", d.events.lastID),
		milliseconds("left-ms", d.timeLeft()),
		zap.Error(err),
	)
}

// attempt sends the request to one backend server, and passes its answer on.
func (d *delivery) attempt(ctx context.Context, placement Placement) (Result, error) {
	d.tracePlacement(placement)
	target := placement.Target()
	call := d.exchange.Call
	call.Urgency = placement.Urgency()
	call.ResumeAfter = d.events.lastID
	if err := d.prefill(ctx, placement, call); err != nil {
		return ResultLeaving, err
	}
	d.tried[target.ID] = true
	call.TimeLeft = d.timeLeft()
	if call.TimeLeft < minTimeLeft {
		return ResultCancelled, errors.New("no time is left")
	}
	// Reading the prompt may have taken seconds.
	if !placement.AcceptsWork() {
		return ResultLeaving, errors.New("the backend server began to leave before the request was sent")
	}
	if d.prefilled != nil {
		call.KVSource = &d.prefilled.source
	}
	d.exchange.Sends++
	answer, err := d.sender.upstreams.Send(ctx, target, call)
	if err != nil {
		return d.handleSendError(ctx, err)
	}
	defer answer.Body.Close()
	return d.handleResponse(ctx, placement, answer)
}

// tracePlacement keeps what the request's line in the log says of a placement.
func (d *delivery) tracePlacement(placement Placement) {
	trace := &d.exchange.Trace
	trace.Engine = placement.Target().ID
	trace.Predicted = placement.Predicted()
	trace.PrefillTokens = placement.PrefillTokens()
	trace.Prefiller = ""
}

// handleResponse takes in an answer whose header is here.
func (d *delivery) handleResponse(ctx context.Context, placement Placement, answer peer.UpstreamAnswer) (Result, error) {
	if answer.NotRun {
		placement.ResponseStarted(answer.Load)
		d.releasePrefilled(ctx)
		return d.handleRejection(answer)
	}
	d.prefilled = nil
	d.executions++
	if d.exchange.Route.Stream && answer.Status < minFailureStatus {
		return d.relayStream(ctx, placement, answer)
	}
	return d.relayBuffered(ctx, placement, answer)
}

// timeLeft returns how long the request may still take.
func (d *delivery) timeLeft() time.Duration {
	return d.exchange.Deadline.Sub(d.sender.clock.Now())
}

// prefill has the prompt's KV cache filled elsewhere, where the placement says so.
// That is asked for once: a second time would count against the retry budget,
// and what failed at one target may fail at the next. Its error means that
// nobody was asked, and that another place may do better.
func (d *delivery) prefill(ctx context.Context, placement Placement, call models.UpstreamCall) error {
	prefiller, ok := placement.Prefiller()
	if !ok {
		return nil
	}
	call.TimeLeft = d.timeLeft()
	if d.prefillRequested || call.TimeLeft < minTimeLeft {
		placement.PrefillEnded(ResultLeaving)
		return nil
	}
	d.exchange.Trace.Prefiller = prefiller.ID
	begun := d.sender.clock.Now()
	source, answer, err := d.sender.upstreams.Prefill(ctx, prefiller, call)
	d.exchange.Trace.PrefillDuration = d.sender.clock.Now().Sub(begun)
	result := prefillResult(ctx, source, answer, err)
	placement.PrefillEnded(result)
	if result == ResultServed {
		d.prefillRequested = true
		d.prefilled = &prefilledCache{source: source, prefiller: prefiller}
		return nil
	}
	d.exchange.Trace.LastFailure = "prefill at " + string(prefiller.ID) + ": " + prefillFailure(answer, err)
	if result == ResultUnreachable {
		d.tried[prefiller.ID] = true
		d.unreachablePrefillers++
		if ctx.Err() == nil && d.unreachablePrefillers < maxUnreachablePrefillers {
			return errors.Annotatef(err, "prefill at %s", prefiller.ID)
		}
		return nil
	}
	d.prefillRequested = true
	d.sender.placer.ChargeRetry(d.exchange.Service.Name)
	return nil
}

// prefillResult tells how a prompt fared at the engine that was to read it.
func prefillResult(ctx context.Context, source models.KVSource, answer peer.UpstreamAnswer, err error) Result {
	switch {
	case err != nil && peer.OutcomeOf(err) == peer.OutcomeNotDone:
		return ResultUnreachable
	case err != nil && ctx.Err() != nil:
		return ResultCancelled
	case err != nil:
		return ResultFailed
	case source.Handle != "":
		return ResultServed
	case answer.Moved:
		return ResultMoved
	}
	return ResultRejected
}

func prefillFailure(answer peer.UpstreamAnswer, err error) string {
	if err != nil {
		return err.Error()
	}
	return "status " + statusText(answer.Status)
}

// releasePrefilled releases KV cache that no target has taken. It goes on after the request
// has ended: the engine would keep the memory until it expires.
func (d *delivery) releasePrefilled(ctx context.Context) {
	if d.prefilled == nil {
		return
	}
	filled := *d.prefilled
	d.prefilled = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := d.sender.upstreams.Free(ctx, filled.prefiller, filled.source); err != nil {
		d.exchange.Trace.LastFailure = "free KV cache at " + string(filled.prefiller.ID) + ": " + err.Error()
	}
}

func (d *delivery) handleSendError(ctx context.Context, err error) (Result, error) {
	if peer.OutcomeOf(err) == peer.OutcomeNotDone {
		if ctx.Err() == nil {
			d.unreachable++
		}
		return ResultUnreachable, err
	}
	d.prefilled = nil // the target may have taken it
	d.executions++
	if ctx.Err() != nil {
		return ResultCancelled, err
	}
	return ResultFailed, err
}

func (d *delivery) handleRejection(answer peer.UpstreamAnswer) (Result, error) {
	d.rejections++
	d.exchange.Trace.Rejections++
	if answer.Moved {
		return ResultMoved, errors.New("another backend server has the address")
	}
	return ResultRejected, errors.Errorf("the backend server turned the request away with status %d", answer.Status)
}

// mayRetry reports whether the request may be sent once more.
func (d *delivery) mayRetry(result Result) bool {
	e := d.exchange
	switch result {
	case ResultUnreachable:
		return d.unreachable < maxUnreachable
	case ResultLeaving:
		return true
	case ResultRejected, ResultMoved:
		return d.rejections < maxRejections && d.sender.placer.TakeRetry(e.Service.Name)
	case ResultFailed:
		return e.Route.Repeatable && d.executions < e.Route.Attempts && d.sender.placer.TakeRetry(e.Service.Name)
	}
	return false
}

// recordUsage bills the request, once, however often it is sent.
func (d *delivery) recordUsage() {
	if d.billed || d.exchange.Workspace == "" {
		return
	}
	d.billed = true
	d.sender.meter.Count(d.exchange.Workspace)
}

// finish gives the request its final answer after a failure.
func (d *delivery) finish(ctx context.Context, err error) error {
	if d.fallback != nil && !d.headerWritten && ctx.Err() == nil {
		return d.writeBuffered(ctx, *d.fallback)
	}
	notRun := d.executions == 0
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone", NotRun: notRun}
	}
	if ctx.Err() != nil {
		return &models.Refusal{Code: models.RefusalDeadline, Message: "no answer within the request's time: " + err.Error(), NotRun: notRun}
	}
	refusal := RefusalOf(err)
	if refusal.Code == models.RefusalInternal {
		refusal = &models.Refusal{Code: models.RefusalBackendFailed, Message: err.Error()}
	}
	refusal.NotRun = notRun
	if notRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = rejectedRetryAfter
	}
	return refusal
}
