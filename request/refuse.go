package request

import (
	"errors"
	"time"

	"quincewinch/models"
)

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

func mismatch() *models.Refusal {
	return &models.Refusal{
		Code:    models.RefusalClaimMismatch,
		Message: "the idempotency key was used for another request",
		NotRun:  true,
	}
}

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

func answerLost(message string, retryAfter time.Duration) *models.Refusal {
	return &models.Refusal{
		Code:       models.RefusalAnswerNotKept,
		Message:    "the request has run once, in full; " + message,
		Evidence:   "its first attempt has run in full",
		RetryAfter: retryAfter,
	}
}

func delivered(err error) error {
	if err == nil {
		return nil
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
}
