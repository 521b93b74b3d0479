package request

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// Claim writes a claim into the table before a request that may not be
// repeated goes to a backend server, so that it runs at most once.
func Claim(table peer.Table) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if e.Route.Repeatable && e.IdempotencyKey == "" {
				return next.Handle(ctx, e)
			}
			if err := claim(ctx, table, e); err != nil {
				return err
			}
			return next.Handle(ctx, e)
		})
	}
}

func claim(ctx context.Context, table peer.Table, e *Exchange) error {
	name := e.IdempotencyKey
	if name == "" {
		name = string(e.ID)
	}
	key := models.RowKey{Partition: models.PartitionClaims, Name: string(e.Workspace.Name) + "/" + name}
	_, err := table.Transact(ctx, models.Transaction{
		ID:         string(e.ID),
		Conditions: []models.Condition{{Key: key}},
		Writes:     []models.Write{{Key: key, Value: e.BodyHash[:]}},
	})
	switch {
	case err == nil:
		return nil
	case peer.OutcomeOf(err) == peer.OutcomeConflict:
		return &models.Refusal{Code: models.RefusalOutcomeUnknown, Message: "the request has been claimed before"}
	}
	return &models.Refusal{Code: models.RefusalStore, Message: "the claim could not be written", NotRun: true, RetryAfter: staleRetryAfter}
}
