package request

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// withdrawn reports whether a key no longer admits its bearer.
func withdrawn(config *models.Config, hash [32]byte) bool {
	key, ok := config.Keys[hash]
	return !ok || key.Withdrawn
}

// watchKey cuts what runs under a key once the key is withdrawn.
func watchKey(ctx context.Context, configuration peer.Configuration, hash [32]byte, cut context.CancelCauseFunc) {
	for {
		changed := configuration.Watch()
		if withdrawn(configuration.Config(), hash) {
			cut(&models.Refusal{Code: models.RefusalKeyWithdrawn, Message: "the key was withdrawn while the request ran"})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// readmit checks the key of a request again, which may have waited since. It
// comes after the claim, so that what was not started here has not run under
// any attempt.
func readmit(configuration peer.Configuration, clock peer.Clock, e *Exchange) error {
	if e.KeyID == "" {
		return nil
	}
	if withdrawn(configuration.Config(), e.KeyHash) {
		return &models.Refusal{Code: models.RefusalKeyWithdrawn, Message: "the key has been withdrawn", NotRun: !e.Started}
	}
	err := fresh(configuration, clock, e)
	if err == nil {
		return nil
	}
	refusal := refusalOf(err)
	refusal.NotRun = !e.Started
	return refusal
}
