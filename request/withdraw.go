package request

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// keyWithdrawn reports whether a key is withdrawn or missing.
func keyWithdrawn(config *models.Config, hash [32]byte) bool {
	key, ok := config.Keys[hash]
	return !ok || key.Withdrawn
}

// watchKey calls cancel with a refusal once the key is withdrawn. It returns
// then, or when ctx ends.
func watchKey(ctx context.Context, configuration peer.Configuration, hash [32]byte, cancel context.CancelCauseFunc) {
	for {
		changed := configuration.Watch()
		if keyWithdrawn(configuration.Config(), hash) {
			cancel(&models.Refusal{Code: models.RefusalKeyWithdrawn, Message: "the key was withdrawn while the request ran"})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// recheckKey checks the key of a request again, since the request may have
// waited after it was authenticated. It runs after the claim was acquired, so
// a request that was not started here has not run under any attempt.
func recheckKey(configuration peer.Configuration, clock peer.Clock, e *Exchange) error {
	if e.KeyID == "" {
		return nil
	}
	if keyWithdrawn(configuration.Config(), e.KeyHash) {
		return &models.Refusal{Code: models.RefusalKeyWithdrawn, Message: "the key has been withdrawn", NotRun: !e.Started}
	}
	err := checkFreshness(configuration, clock, e)
	if err == nil {
		return nil
	}
	refusal := refusalOf(err)
	refusal.NotRun = !e.Started
	return refusal
}
