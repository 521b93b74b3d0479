package request

import (
	"context"
	"crypto/sha256"

	"quincewinch/models"
	"quincewinch/peer"
)

// Authenticate returns a filter that resolves a request's route and workspace.
// Keys are looked up by their hash, so that no comparison depends on the
// secret's bytes. A request with a key is let through only if this daemon has
// evidence, no older than the workspace's key-freshness, that it has missed no
// withdrawal of a key.
func Authenticate(configuration peer.Configuration, clock peer.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			key := e.Key
			e.Key = ""
			config := configuration.Config()
			route, ok := config.Routes[e.RouteName]
			if !ok {
				return &models.Refusal{Code: models.RefusalUnknownRoute, Message: "no route " + e.RouteName, NotRun: neverRun(e)}
			}
			e.Route = route
			if route.Open && key == "" {
				return next.Handle(ctx, e)
			}
			if err := checkKey(config, e, key); err != nil {
				return err
			}
			if err := checkFreshness(configuration, clock, e); err != nil {
				return err
			}
			return next.Handle(ctx, e)
		})
	}
}

// checkKey resolves a key to its workspace and rejects one that is unknown or
// withdrawn.
func checkKey(config *models.Config, e *Exchange, key string) error {
	hash := sha256.Sum256([]byte(key))
	found, ok := config.Keys[hash]
	if !ok || key == "" {
		return &models.Refusal{Code: models.RefusalInvalidKey, Message: "the key is not valid", NotRun: neverRun(e)}
	}
	if found.Withdrawn {
		return &models.Refusal{Code: models.RefusalKeyWithdrawn, Message: "the key has been withdrawn", NotRun: neverRun(e)}
	}
	workspace, ok := config.Workspaces[found.Workspace]
	if !ok {
		return &models.Refusal{Code: models.RefusalInvalidKey, Message: "the key's workspace does not exist", NotRun: neverRun(e)}
	}
	e.KeyID = found.ID
	e.KeyHash = hash
	e.Workspace = workspace
	return nil
}

// checkFreshness rejects a request if the evidence that its key is still valid
// is missing or older than the workspace's key-freshness.
func checkFreshness(configuration peer.Configuration, clock peer.Clock, e *Exchange) error {
	evidence := configuration.Evidence()
	age := clock.Now().Sub(evidence.At)
	if evidence.Source != models.EvidenceNone && age <= e.Workspace.KeyFreshness {
		return nil
	}
	return &models.Refusal{
		Code:       models.RefusalKeyNotConfirmed,
		Message:    "it cannot be confirmed here that the key is still valid",
		NotRun:     neverRun(e),
		RetryAfter: staleRetryAfter,
	}
}
