// Package relay passes requests on to backend servers unchanged, and their
// answers back. It decides which request goes where, when it is sent again and
// when it is refused; it does not read bodies.
package relay

import (
	"context"
	stderrors "errors"
	"net/http"
	"time"

	"quincewinch/lib/pipeline"
	"quincewinch/models"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	ID            models.RequestID
	Call          models.UpstreamCall // as the caller sent it
	Key           string              // the caller's secret; Locate clears it
	Prompt        models.Prompt       // zero where it is no generation
	Received      time.Time
	CallerTimeout time.Duration // how long the caller waits, 0 where it does not say
	Reply         Reply

	// Set by Locate.
	Routing   *models.Routing // in force when the request arrived
	Route     models.PathRoute
	Service   models.RoutedService
	Workspace models.Workspace
	Rank      int // 0 the most urgent
	Deadline  time.Time

	// Set by Sender.
	Sends int // to backend servers so far
	Trace Trace
}

// Trace is what became of a request, for its line in the log.
type Trace struct {
	Rejections         int // by backend servers that did not run it
	Engine             models.EngineID
	Prefiller          models.EngineID // read the prompt for Engine; empty: Engine did
	PrefillTokens      int             // prompt tokens that had to be read, as predicted
	PrefillDuration    time.Duration   // what Prefiller took, 0 where there was none
	Status             int
	Events             int
	FirstResponseAfter time.Duration // from arrival to the answer or its first event
	Predicted          time.Duration // FirstAfter as it was predicted at its last placement
	LastFailure        string        // the last failure that it met
}

// Reply takes the answer towards the caller.
type Reply interface {
	// Begin gives status and header. A length below zero is not known.
	Begin(status int, header http.Header, length int64)
	// Write gives a piece of the body. It returns when the caller's connection
	// has taken it, where flush is set.
	Write(ctx context.Context, piece []byte, flush bool) error
}

// Handler handles a request. Its error is a *models.Refusal.
type Handler = pipeline.Handler[Exchange]

// HandlerFunc is a function that handles a request.
type HandlerFunc = pipeline.HandlerFunc[Exchange]

// Filter is one step: it handles a request itself or hands it on to next.
type Filter = pipeline.Filter[Exchange]

// RefusalOf returns the refusal that an error is. Another error leaves open
// whether the request has run.
func RefusalOf(err error) *models.Refusal {
	var refusal *models.Refusal
	if stderrors.As(err, &refusal) {
		return refusal
	}
	return &models.Refusal{Code: models.RefusalInternal, Message: err.Error()}
}

// Chain returns a handler that takes requests through filters in order.
func Chain(last Handler, filters ...Filter) Handler {
	return pipeline.Chain(last, filters...)
}
