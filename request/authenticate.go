package request

import (
	"context"
	"crypto/sha256"

	"quincewinch/models"
	"quincewinch/peer"
)

// Authenticate finds the route and the workspace of a request. A key is looked
// up by its hash, so that no comparison depends on the secret's bytes. It runs
// a keyed request only on evidence, no older than the workspace's
// key-freshness, that no withdrawal was missed.
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
			if err := admit(config, e, key); err != nil {
				return err
			}
			if err := fresh(configuration, clock, e); err != nil {
				return err
			}
			return next.Handle(ctx, e)
		})
	}
}

func admit(config *models.Config, e *Exchange, key string) error {
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

func fresh(configuration peer.Configuration, clock peer.Clock, e *Exchange) error {
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
