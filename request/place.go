package request

import (
	"context"
	"time"

	"quincewinch/models"
)

// Placer chooses where a request runs.
type Placer interface {
	// Place returns an engine for a generation, other than those excluded, and
	// why it was chosen. Released must be called once, when the request has
	// left the engine.
	Place(ctx context.Context, exchange *Exchange, excluded []models.EngineID) (Placement, error)
}

// Placement is where a request runs, and why.
type Placement struct {
	Server  models.BackendServer
	Why     string
	Release func(result Result)
}

// Result tells the placer how a request fared at an engine.
type Result struct {
	Failed     bool
	FirstToken bool // a token arrived
	Usage      models.TokenUsage
	Waited     time.Duration // time spent on waiting for the engine; 0: not measured
}
