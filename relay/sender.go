package relay

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxRejections is the number of rejections by backend servers after which a
	// request is refused: every further attempt is charged to the retry budget.
	maxRejections = 2
	// maxUnreachable is the number of unreachable backend servers after which a
	// request is refused; each costs up to the dial timeout.
	maxUnreachable = 3
	// maxUnreachablePrefillers is the number of unreachable prefillers after
	// which the target prefills the prompt itself.
	maxUnreachablePrefillers = 2
	// minTimeLeft is the shortest remaining time with which a request is sent:
	// no backend server can answer in less.
	minTimeLeft = 5 * time.Millisecond
	// answerMargin is kept of the remaining time, but no more than the share
	// 1/answerShare of it, for what a backend server answers when its time is over.
	answerMargin = 20 * time.Millisecond
	answerShare  = 10
	// releaseTimeout bounds a call that releases KV cache; the request waits for
	// it before it is retried elsewhere.
	releaseTimeout = 300 * time.Millisecond
	// rejectedRetryAfter is sent to callers whose request was rejected by full
	// backend servers, which finish some requests within that time.
	rejectedRetryAfter = 250 * time.Millisecond
)

// Placer chooses backend servers. It is safe for concurrent use.
type Placer interface {
	// Place chooses a backend server that is not in tried, and reserves capacity
	// for the request there until the placement ends. A stream that has an origin
	// is placed only where the same software runs. Its error is a *models.Refusal.
	Place(e *Exchange, tried map[models.EngineID]bool) (Placement, error)
	// TakeRetry takes one retry from the retry budget of a service. It reports
	// whether the budget allows the retry.
	TakeRetry(service models.ServiceName) bool
	// BeginPrefill reports whether the retry budget of a service allows a call to a
	// prefiller, which is a retry if it is rejected. EndPrefill must follow.
	BeginPrefill(service models.ServiceName) bool
	// EndPrefill ends a call to a prefiller that BeginPrefill has allowed.
	EndPrefill(service models.ServiceName, result Result)
	// Answered reports what the answer of a backend server, to a request that was sent
	// to it at a time, says of the server.
	Answered(server models.Upstream, statement models.ServerStatement, sentAt time.Time)
	// AcceptsCalls reports whether a backend server may be sent other calls than
	// requests: it neither leaves nor rests.
	AcceptsCalls(server models.Upstream) bool
}

// Placement is a reservation for a request at a backend server.
type Placement interface {
	// Target is the backend server that runs the request.
	Target() models.Upstream
	// Prefiller is the engine that prefills the prompt for the target; false if
	// the target does so itself.
	Prefiller() (models.Upstream, bool)
	// CopyFrom is the engine whose cached parts of the prompt are copied to the
	// one that prefills it; false if nothing is copied.
	CopyFrom() (models.Upstream, bool)
	// AcceptsWork reports whether the target still accepts new requests: it may
	// have started draining since it was chosen.
	AcceptsWork() bool
	// TakesRequest reports whether the target has room for the request within the limit
	// that it states, and does not rest. It uses the room, and is asked right before the
	// request is sent.
	TakesRequest() bool
	// Software is what the target runs. It reports false if the target has been
	// registered with another version since it was chosen: either may serve the
	// request.
	Software() (software models.Software, certain bool)
	// Predicted is the expected time to the response or its first event.
	Predicted() time.Duration
	// PrefillTokens is the expected number of prompt tokens to prefill.
	PrefillTokens() int
	// Urgency is the priority of the request in the engine's queue, 0 first.
	Urgency() int
	// PrefillEnded reports the result of the call to the prefiller.
	PrefillEnded(result Result)
	// ResponseStarted reports that the response, or its first event, has
	// arrived, with the load that the backend server stated; nil if none.
	ResponseStarted(load *models.UpstreamLoad)
	// End releases the reservation.
	End(result Result)
}

// Result is the result of an attempt, or of a prefill, at a backend server.
type Result string

// Results of an attempt.
const (
	ResultServed      Result = "served"
	ResultRejected    Result = "rejected"    // the server states that it did not run
	ResultMoved       Result = "moved"       // the address belongs to another server
	ResultUnreachable Result = "unreachable" // nothing was sent
	ResultLeaving     Result = "left"        // draining before anything was sent
	ResultLimited     Result = "limited"     // its limit was reached before anything was sent
	ResultFailed      Result = "failed"      // it failed, or its response was lost
	ResultCancelled   Result = "cancelled"   // by the caller, or the deadline passed
)

// UsageMeter counts the requests that backend servers began to run, for billing.
type UsageMeter interface {
	// Count adds one request of a workspace that a backend server responded to.
	Count(workspace models.Workspace)
}

// Sender is the last handler of the chain: it sends a request to backend
// servers until one has answered or the request is refused.
type Sender struct {
	upstreams peer.Upstreams
	placer    Placer
	meter     UsageMeter
	origins   Origins
	guard     Guard
	clock     peer.Clock
	logger    *zap.Logger
	memory    AnswerMemory
}

// NewSender returns a sender that sends requests where placer places them.
func NewSender(upstreams peer.Upstreams, placer Placer, meter UsageMeter, origins Origins, guard Guard, clock peer.Clock, logger *zap.Logger) *Sender {
	return &Sender{
		upstreams: upstreams,
		placer:    placer,
		meter:     meter,
		origins:   origins,
		guard:     guard,
		clock:     clock,
		logger:    logger,
		memory:    make(bufferSlots, maxLargeBuffers),
	}
}

// LimitAnswers charges large responses to memory, in place of a number of them.
func (s *Sender) LimitAnswers(memory AnswerMemory) {
	s.memory = memory
}

// Handle implements Handler.
func (s *Sender) Handle(ctx context.Context, e *Exchange) error {
	d := &delivery{sender: s, exchange: e, tried: map[models.EngineID]bool{}, identity: NewIdentity(&e.Call)}
	d.events.lastID = e.Call.ResumeAfter
	ctx, cancel := context.WithTimeout(ctx, e.Deadline.Sub(s.clock.Now()))
	defer cancel()
	defer d.releaseLargeBuffer()
	return d.run(ctx)
}

// delivery is the state of one request over all its attempts.
type delivery struct {
	sender                *Sender
	exchange              *Exchange
	identity              *Identity
	tried                 map[models.EngineID]bool
	executions            int // attempts that may have run the request
	rejections            int
	unreachable           int
	unreachablePrefillers int             // unreachable engines chosen to prefill
	prefillRequested      bool            // no further prefiller is asked
	prefilled             *prefilledCache // KV cache not yet taken over by a target
	headerWritten         bool            // the status and the header went to the caller
	begun                 streamKind      // of the stream whose header went to the caller
	billed                bool            // counted by the usage meter
	largeBuffer           int             // bytes held of the sender's memory
	events                eventSplitter
	origin                Placement // of the run that began the stream; nil: none did in this answer
	originUncertain       bool      // more than one version may have begun the stream
	originRevision        int       // of the origin that was recorded last
	current               Run       // at the backend server that the request was sent to last
	placed                Placement // of current
	// fallback is the error response of a backend server, relayed if no later
	// attempt succeeds.
	fallback *bufferedResponse
}

// run attempts the request until it is answered or may not be retried.
func (d *delivery) run(ctx context.Context) error {
	defer d.releasePrefilled(ctx)
	for {
		if err := d.admit(); err != nil {
			return d.finish(ctx, err)
		}
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
		retry := ctx.Err() == nil && d.mayRetry(result)
		d.logFailure(placement, result, retry, err)
		if !retry {
			return d.finish(ctx, err)
		}
	}
}

// logFailure logs why an attempt failed, and whether the request is retried.
func (d *delivery) logFailure(placement Placement, result Result, retry bool, err error) {
	e := d.exchange
	target := placement.Target()
	d.sender.logger.Info("request not answered by a backend server",
		zap.String("request", string(e.ID)),
		zap.String("engine", string(target.ID)),
		zap.String("version", target.Version),
		zap.String("address", target.Address.String()),
		zap.String("prefiller", string(e.Trace.Prefiller)),
		zap.String("result", string(result)),
		zap.Bool("again", retry),
		zap.Int("sends", e.Sends),
		zap.Int("attempts", e.Route.Attempts),
		zap.Bool("repeatable", e.Route.Repeatable),
		zap.String("last-event", d.events.lastID),
		zap.String("parts", partList(e.Prompt)),
		zap.String("identity", d.identity.ID().String()),
		milliseconds("left-ms", d.timeLeft()),
		zap.Error(err),
	)
}

// partList returns the parts of a prompt that other prompts may share.
func partList(prompt models.Prompt) string {
	var list []string
	for _, part := range prompt.SharedParts() {
		list = append(list, part.String())
	}
	return strings.Join(list, ",")
}

// attempt sends the request to one backend server and relays its response.
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
	call.TimeLeft = d.serverTime()
	if call.TimeLeft < minTimeLeft {
		return ResultCancelled, errors.New("no time is left")
	}
	// The prefill may have taken seconds.
	if !placement.AcceptsWork() {
		return ResultLeaving, errors.New("the backend server began to leave before the request was sent")
	}
	if err := d.admit(); err != nil {
		return ResultLeaving, err
	}
	if !placement.TakesRequest() {
		return ResultLimited, errors.New("the backend server reached its limit before the request was sent")
	}
	if d.prefilled != nil {
		call.KVSource = &d.prefilled.source
	} else {
		call.CopyFrom = copyAddress(placement)
	}
	d.beginSend(placement)
	answer, err := d.sender.upstreams.Send(ctx, target, call)
	if err != nil {
		return d.handleSendError(ctx, err)
	}
	defer answer.Body.Close()
	return d.handleResponse(ctx, placement, answer)
}

// tracePlacement keeps the fields of a placement for the request's log line.
func (d *delivery) tracePlacement(placement Placement) {
	trace := &d.exchange.Trace
	trace.Engine = placement.Target().ID
	trace.EngineVersion = placement.Target().Version
	trace.Predicted = placement.Predicted()
	trace.PrefillTokens = placement.PrefillTokens()
	trace.Prefiller, trace.Via = "", ""
	trace.Statement, trace.PrefillerStatement = models.ServerStatement{}, models.ServerStatement{}
	source, _ := placement.CopyFrom()
	trace.CopiedFrom = source.ID
}

// handleResponse handles a response whose header has arrived.
func (d *delivery) handleResponse(ctx context.Context, placement Placement, answer peer.UpstreamResponse) (Result, error) {
	d.exchange.Trace.Via = answer.Via
	if !answer.WrongInstance {
		d.exchange.Trace.Statement = answer.Statement
		d.sender.placer.Answered(placement.Target(), answer.Statement, d.current.SentAt)
		d.sender.guard.Responded(placement.Target(), d.current.SentAt)
	}
	if answer.NotRun {
		d.releasePrefilled(ctx)
		return d.handleRejection(answer)
	}
	d.prefilled = nil
	d.countExecution()
	if answer.Unsigned {
		return ResultFailed, errors.Errorf("the backend server answered %d without its signature", answer.Status)
	}
	if kind := kindOf(answer); d.headerWritten && kind != d.begun {
		return ResultFailed, errors.Errorf("the stream of %s cannot be resumed: the backend server answered with %s", d.begun, kind)
	}
	if d.exchange.Route.Stream && answer.Status < minFailureStatus {
		return d.relayStream(ctx, placement, answer)
	}
	return d.relayBuffered(ctx, placement, answer)
}

// timeLeft returns the time until the request's deadline.
func (d *delivery) timeLeft() time.Duration {
	return d.exchange.Deadline.Sub(d.sender.clock.Now())
}

// serverTime returns the time that a backend server has to answer.
func (d *delivery) serverTime() time.Duration {
	left := d.timeLeft()
	return left - min(answerMargin, left/answerShare)
}

// handleSendError classifies an attempt that got no response. KV cache that the
// target may not have taken over is released: the prefiller would keep it, and
// nobody else could use that memory, until the handle expires.
func (d *delivery) handleSendError(ctx context.Context, err error) (Result, error) {
	if peer.OutcomeOf(err) == peer.OutcomeNotDone {
		if ctx.Err() == nil {
			d.unreachable++
		}
		return ResultUnreachable, err
	}
	d.runBroken(ctx, err)
	d.releasePrefilled(ctx)
	d.countExecution()
	if ctx.Err() != nil {
		return ResultCancelled, err
	}
	return ResultFailed, err
}

// handleRejection handles a response that states that the request did not run.
func (d *delivery) handleRejection(answer peer.UpstreamResponse) (Result, error) {
	d.rejections++
	d.exchange.Trace.Rejections++
	if answer.WrongInstance {
		return ResultMoved, errors.Errorf("another backend server has the address, reused connection %t", answer.Reused)
	}
	return ResultRejected, errors.Errorf("the backend server turned the request away with status %d, reused connection %t", answer.Status, answer.Reused)
}

// mayRetry reports whether the request may be sent again. Where the retry
// budget applies, it takes one retry from it.
func (d *delivery) mayRetry(result Result) bool {
	e := d.exchange
	switch result {
	case ResultUnreachable:
		return d.unreachable < maxUnreachable
	case ResultLeaving, ResultLimited:
		return true
	case ResultRejected, ResultMoved:
		return d.rejections < maxRejections && d.sender.placer.TakeRetry(e.Service.Name)
	case ResultFailed:
		return e.Route.Repeatable && !d.partlyRelayed() && !d.originUncertain && d.executions < e.Route.Attempts && d.sender.placer.TakeRetry(e.Service.Name)
	}
	return false
}

// partlyRelayed reports whether the caller has received part of a response that
// no other backend server can continue.
func (d *delivery) partlyRelayed() bool {
	return d.headerWritten && !d.exchange.Route.Stream
}

// recordUsage bills the request once, however often it is sent.
func (d *delivery) recordUsage() {
	if d.billed || d.exchange.Workspace == "" {
		return
	}
	d.billed = true
	d.sender.meter.Count(d.exchange.Workspace)
}

// finish ends a request after its last failure: it relays the fallback response
// or returns a refusal.
func (d *delivery) finish(ctx context.Context, err error) error {
	if d.fallback != nil && !d.headerWritten && ctx.Err() == nil {
		return d.writeBuffered(ctx, *d.fallback)
	}
	notRun := d.executions == 0
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone", NotRun: notRun}
	}
	if cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
		return &models.Refusal{Code: models.RefusalDraining, Message: cause.Error(), NotRun: notRun, RetryAfter: rejectedRetryAfter}
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
