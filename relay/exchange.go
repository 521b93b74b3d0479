// Package relay proxies requests to backend servers unchanged, and their
// responses back. It routes requests, retries them and refuses them; it does
// not interpret bodies.
package relay

import (
	"context"
	stderrors "errors"
	"net/http"
	"time"

	"quincewinch/lib/pipeline"
	"quincewinch/models"
)

// Exchange is the state of one request in the filter chain.
type Exchange struct {
	ID            models.RequestID
	Resumes       models.RequestID    // the attempt of the caller under which the stream began; empty: a new one
	Call          models.UpstreamCall // as received from the caller
	Key           string              // the caller's API key; Locate clears it
	Prompt        models.Prompt       // zero if the request is not a generation
	Received      time.Time
	CallerTimeout time.Duration // requested by the caller, 0 if it sets none
	Reply         Reply

	authorization authorization // by Authorize

	// Set by Locate.
	Routing   *models.Routing // snapshot in force when the request arrived
	Route     models.PathRoute
	Service   models.RoutedService
	Workspace models.Workspace
	Rank      int // priority, 0 is the most urgent
	Deadline  time.Time

	// BeforeRepeat is called before the request is sent again after a backend server may
	// have run it; nil: nobody needs to know.
	BeforeRepeat func()

	// Set by Resume, or by Sender with the first event: the software that began the
	// stream.
	Origin *models.Software

	// Set by Sender.
	Sends int // attempts at backend servers so far
	Runs  int // of them, those in which the backend server may have run the request
	// Set by the placer: it has admitted the request, and does not refuse it for lack
	// of room any more.
	Admitted bool
	Trace    Trace
}

// MayUse reports whether a backend server may serve the request. A stream is
// continued only by the software that began it: what two versions write does not
// fit together, and backend servers do not check this.
func (e *Exchange) MayUse(server models.Upstream) bool {
	return e.Origin == nil || server.Software() == *e.Origin
}

// Trace collects the fields of a request's log line.
type Trace struct {
	Rejections         int // by backend servers that did not run the request
	Engine             models.EngineID
	EngineVersion      string          // of the software of Engine
	Prefiller          models.EngineID // ran the prefill for Engine; empty if Engine did
	CopiedFrom         models.EngineID // cached parts were copied from there; empty: none were
	Via                models.DaemonID // made the call at Engine; empty: this daemon
	PrefillTokens      int             // prompt tokens to prefill, as predicted
	PrefillDuration    time.Duration   // of the call to Prefiller, 0 if there was none
	Status             int
	Events             int
	FirstResponseAfter time.Duration          // from arrival to the response or its first event
	Predicted          time.Duration          // FirstResponseAfter as predicted at placement
	LastFailure        string                 // error of the last failed attempt
	Statement          models.ServerStatement // of Engine, in its last answer
	PrefillerStatement models.ServerStatement
	PrefillResult      Result // empty if no prefiller was asked
}

// Reply writes the response to the caller.
type Reply interface {
	// Begin writes the status and the header. A length below zero is unknown.
	Begin(status int, header http.Header, length int64)
	// Write writes a chunk of the body. If flush is set, it returns once the
	// caller's connection has taken the chunk.
	Write(ctx context.Context, chunk []byte, flush bool) error
}

// Handler handles a request. Its error is a *models.Refusal.
type Handler = pipeline.Handler[Exchange]

// HandlerFunc is a function that handles a request.
type HandlerFunc = pipeline.HandlerFunc[Exchange]

// Filter is a middleware: it handles a request itself or passes it to the next
// handler.
type Filter = pipeline.Filter[Exchange]

// RefusalOf returns the refusal that err wraps. Any other error becomes an
// internal refusal, which leaves open whether the request has run.
func RefusalOf(err error) *models.Refusal {
	var refusal *models.Refusal
	if stderrors.As(err, &refusal) {
		return refusal
	}
	return &models.Refusal{Code: models.RefusalInternal, Message: err.Error()}
}

// Chain returns a handler that applies the filters in order before last.
func Chain(last Handler, filters ...Filter) Handler {
	return pipeline.Chain(last, filters...)
}
