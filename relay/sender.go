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
	// mostRejections is how many backend servers may turn a request away until
	// it is refused: each is an arrival that the retry budget pays for.
	mostRejections = 2
	// mostUnreachable is how many backend servers may be found unreachable for
	// one request; each costs up to the dial timeout.
	mostUnreachable = 3
	// mostPrefillers is how many engines may be found unreachable that are to read
	// a prompt, until the target reads it.
	mostPrefillers = 2
	// leastTimeLeft is the least time for which a request is sent: below it no
	// backend server can answer.
	leastTimeLeft = 5 * time.Millisecond
	// freeTimeout bounds a call that releases KV cache; the request waits for
	// it before it goes elsewhere.
	freeTimeout = 300 * time.Millisecond
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
	// MayRepeat takes one repeated request for a service from the budget.
	MayRepeat(service models.ServiceName) bool
	// Repeated takes one from the budget that has been sent already.
	Repeated(service models.ServiceName)
}

// Placement is a place that a request was given.
type Placement interface {
	// Target runs the request.
	Target() models.Upstream
	// Prefiller fills KV cache with the prompt first; false: the target does.
	Prefiller() (models.Upstream, bool)
	// TakesWork reports whether the target takes new work: it may have begun to
	// leave since it was chosen.
	TakesWork() bool
	// Predicted is the expected time to the answer or its first event.
	Predicted() time.Duration
	// Reading is how many prompt tokens are expected to be read.
	Reading() int
	// Urgency orders the request among others at the engine, 0 first.
	Urgency() int
	// Prefilled tells that the prefiller is done, and how the prompt fared there.
	Prefilled(result Result)
	// Answered tells that the answer, or its first event, is here.
	Answered(load *models.UpstreamLoad)
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
	ResultLeft        Result = "left"        // it began to leave before anything was sent
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
	sender      *Sender
	exchange    *Exchange
	tried       map[models.EngineID]bool
	ran         int // backend servers that may have run it
	rejections  int
	unreachable int
	prefillers  int          // engines found unreachable that were to read the prompt
	asked       bool         // an engine was asked to read the prompt for a target
	filled      *filledCache // not yet taken by a target
	begun       bool         // the caller has status and header
	counted     bool         // for billing
	events      eventSplitter
	// kept is a backend server's own failure, passed on where nothing better
	// comes.
	kept *wholeAnswer
}

// filledCache is KV cache that an engine has filled with the prompt.
type filledCache struct {
	source    models.KVSource
	prefiller models.Upstream
}

func (d *delivery) run(ctx context.Context) error {
	defer d.free(ctx)
	for {
		placement, err := d.sender.placer.Place(d.exchange, d.tried)
		if err != nil {
			return d.conclude(ctx, err)
		}
		result, err := d.attempt(ctx, placement)
		placement.End(result)
		if err == nil {
			return nil
		}
		d.exchange.Trace.Last = err.Error()
		again := ctx.Err() == nil && d.mayGoOn(result)
		d.log(placement, result, again, err)
		if !again {
			return d.conclude(ctx, err)
		}
	}
}

// log tells why a backend server did not answer, and whether the request is
// sent again.
func (d *delivery) log(placement Placement, result Result, again bool, err error) {
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
	d.note(placement)
	target := placement.Target()
	call := d.exchange.Call
	call.Urgency = placement.Urgency()
	call.ResumeAfter = d.events.lastID
	if err := d.fill(ctx, placement, call); err != nil {
		return ResultLeft, err
	}
	d.tried[target.ID] = true
	call.TimeLeft = d.timeLeft()
	if call.TimeLeft < leastTimeLeft {
		return ResultCancelled, errors.New("no time is left")
	}
	// Reading the prompt may have taken seconds.
	if !placement.TakesWork() {
		return ResultLeft, errors.New("the backend server began to leave before the request was sent")
	}
	if d.filled != nil {
		call.KVSource = &d.filled.source
	}
	d.exchange.Sends++
	answer, err := d.sender.upstreams.Send(ctx, target, call)
	if err != nil {
		return d.unanswered(ctx, err)
	}
	defer answer.Body.Close()
	return d.answered(ctx, placement, answer)
}

// note keeps what the request's line in the log says of a placement.
func (d *delivery) note(placement Placement) {
	trace := &d.exchange.Trace
	trace.Engine = placement.Target().ID
	trace.Predicted = placement.Predicted()
	trace.Reading = placement.Reading()
	trace.Prefiller = ""
}

// answered takes in an answer whose header is here.
func (d *delivery) answered(ctx context.Context, placement Placement, answer peer.UpstreamAnswer) (Result, error) {
	if answer.NotRun {
		placement.Answered(answer.Load)
		d.free(ctx)
		return d.rejected(answer)
	}
	d.filled = nil
	d.ran++
	if d.exchange.Route.Stream && answer.Status < firstFailure {
		return d.stream(ctx, placement, answer)
	}
	return d.whole(ctx, placement, answer)
}

// timeLeft returns how long the request may still take.
func (d *delivery) timeLeft() time.Duration {
	return d.exchange.Deadline.Sub(d.sender.clock.Now())
}

// fill has the prompt's KV cache filled elsewhere, where the placement says so.
// That is asked for once: a second time would count against the retry budget,
// and what failed at one target may fail at the next. Its error means that
// nobody was asked, and that another place may do better.
func (d *delivery) fill(ctx context.Context, placement Placement, call models.UpstreamCall) error {
	prefiller, ok := placement.Prefiller()
	if !ok {
		return nil
	}
	call.TimeLeft = d.timeLeft()
	if d.asked || call.TimeLeft < leastTimeLeft {
		placement.Prefilled(ResultLeft)
		return nil
	}
	d.exchange.Trace.Prefiller = prefiller.ID
	begun := d.sender.clock.Now()
	source, answer, err := d.sender.upstreams.Prefill(ctx, prefiller, call)
	d.exchange.Trace.FilledIn = d.sender.clock.Now().Sub(begun)
	result := prefillResult(ctx, source, answer, err)
	placement.Prefilled(result)
	if result == ResultServed {
		d.asked = true
		d.filled = &filledCache{source: source, prefiller: prefiller}
		return nil
	}
	d.exchange.Trace.Last = "prefill at " + string(prefiller.ID) + ": " + prefillFailure(answer, err)
	if result == ResultUnreachable {
		d.tried[prefiller.ID] = true
		d.prefillers++
		if ctx.Err() == nil && d.prefillers < mostPrefillers {
			return errors.Annotatef(err, "prefill at %s", prefiller.ID)
		}
		return nil
	}
	d.asked = true
	d.sender.placer.Repeated(d.exchange.Service.Name)
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

// free releases KV cache that no target has taken. It goes on after the request
// has ended: the engine would keep the memory until it expires.
func (d *delivery) free(ctx context.Context) {
	if d.filled == nil {
		return
	}
	filled := *d.filled
	d.filled = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeTimeout)
	defer cancel()
	if err := d.sender.upstreams.Free(ctx, filled.prefiller, filled.source); err != nil {
		d.exchange.Trace.Last = "free KV cache at " + string(filled.prefiller.ID) + ": " + err.Error()
	}
}

func (d *delivery) unanswered(ctx context.Context, err error) (Result, error) {
	if peer.OutcomeOf(err) == peer.OutcomeNotDone {
		if ctx.Err() == nil {
			d.unreachable++
		}
		return ResultUnreachable, err
	}
	d.filled = nil // the target may have taken it
	d.ran++
	if ctx.Err() != nil {
		return ResultCancelled, err
	}
	return ResultFailed, err
}

func (d *delivery) rejected(answer peer.UpstreamAnswer) (Result, error) {
	d.rejections++
	d.exchange.Trace.Rejections++
	if answer.Moved {
		return ResultMoved, errors.New("another backend server has the address")
	}
	return ResultRejected, errors.Errorf("the backend server turned the request away with status %d", answer.Status)
}

// mayGoOn reports whether the request may be sent once more.
func (d *delivery) mayGoOn(result Result) bool {
	e := d.exchange
	switch result {
	case ResultUnreachable:
		return d.unreachable < mostUnreachable
	case ResultLeft:
		return true
	case ResultRejected, ResultMoved:
		return d.rejections < mostRejections && d.sender.placer.MayRepeat(e.Service.Name)
	case ResultFailed:
		return e.Route.Repeatable && d.ran < e.Route.Attempts && d.sender.placer.MayRepeat(e.Service.Name)
	}
	return false
}

// count bills the request, once, however often it is sent.
func (d *delivery) count() {
	if d.counted || d.exchange.Workspace == "" {
		return
	}
	d.counted = true
	d.sender.meter.Count(d.exchange.Workspace)
}

// conclude gives the request its final answer after a failure.
func (d *delivery) conclude(ctx context.Context, err error) error {
	if d.kept != nil && !d.begun && ctx.Err() == nil {
		return d.deliver(ctx, *d.kept)
	}
	notRun := d.ran == 0
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
