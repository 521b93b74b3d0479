package request

import (
	"errors"
	"time"

	"quincewinch/models"
)

// refusalOf returns the refusal in err's chain, or an internal error for err.
func refusalOf(err error) *models.Refusal {
	var refusal *models.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &models.Refusal{Code: models.RefusalInternal, Message: err.Error()}
}

func noBackend(message string) *models.Refusal {
	return &models.Refusal{Code: models.RefusalNoBackend, Message: message, NotRun: true, RetryAfter: busyRetryAfter}
}

func storeUnreachable(e *Exchange) *models.Refusal {
	return &models.Refusal{
		Code:       models.RefusalStoreUnreachable,
		Message:    "this attempt did not run: the request may not be repeated, and its claim could not be written",
		NotRun:     neverRun(e),
		RetryAfter: staleRetryAfter,
	}
}

func idempotencyMismatch() *models.Refusal {
	return &models.Refusal{
		Code:    models.RefusalClaimMismatch,
		Message: "the idempotency key was used for another request",
		NotRun:  true,
	}
}

// unknownOutcome returns the refusal of a request that may have run and must
// not run again.
func unknownOutcome(evidence string) *models.Refusal {
	return &models.Refusal{
		Code:     models.RefusalOutcomeUnknown,
		Message:  "the request may have run and is not run again",
		Evidence: evidence,
	}
}

func stillRunning(holder models.DaemonID) *models.Refusal {
	refusal := unknownOutcome("its first attempt is still under way at daemon " + string(holder))
	refusal.RetryAfter = staleRetryAfter
	return refusal
}

// answerUnavailable returns the refusal of a request that has run but whose
// answer cannot be replayed.
func answerUnavailable(message string, retryAfter time.Duration) *models.Refusal {
	return &models.Refusal{
		Code:       models.RefusalAnswerNotKept,
		Message:    "the request has run once, in full; " + message,
		Evidence:   "its first attempt has run in full",
		RetryAfter: retryAfter,
	}
}

// sinkRefusal converts an error of a Sink to a refusal. It returns nil for nil.
func sinkRefusal(err error) error {
	if err == nil {
		return nil
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
}
