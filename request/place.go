package request

import (
	"context"
	"time"

	"quincewinch/models"
)

// Placer chooses the engine that runs a request.
type Placer interface {
	// Place returns an engine for a generation that is not among the excluded
	// ones. The placement's Release must be called once, when the request has
	// ended at the engine.
	Place(ctx context.Context, exchange *Exchange, excluded []models.EngineID) (Placement, error)
}

// Placement is the backend server chosen for a request and the reason.
type Placement struct {
	Server  models.BackendServer
	Why     string
	Release func(result Result)
}

// Result is the result of a request at an engine, as reported to the placer.
type Result struct {
	Failed     bool
	FirstToken bool // a token arrived
	Usage      models.TokenUsage
	Waited     time.Duration // time spent waiting for the engine; 0: not measured
}
