package models

import "time"

// RefusalCode is the machine-readable reason why a request was refused or
// aborted.
type RefusalCode string

// Refusal codes.
const (
	RefusalMalformed        RefusalCode = "malformed-request"
	RefusalTooLarge         RefusalCode = "request-too-large"
	RefusalInvalidKey       RefusalCode = "invalid-key"
	RefusalKeyWithdrawn     RefusalCode = "key-withdrawn"
	RefusalKeyNotConfirmed  RefusalCode = "key-not-confirmed"
	RefusalUnknownRoute     RefusalCode = "unknown-route"
	RefusalRateLimit        RefusalCode = "rate-limited"
	RefusalOverload         RefusalCode = "overloaded"
	RefusalUnknownStream    RefusalCode = "unknown-stream"
	RefusalQuarantined      RefusalCode = "quarantined"
	RefusalDeadline         RefusalCode = "deadline"
	RefusalNoBackend        RefusalCode = "no-backend"
	RefusalNoRoom           RefusalCode = "no-room"
	RefusalDraining         RefusalCode = "draining"
	RefusalStoreUnreachable RefusalCode = "store-unreachable"
	RefusalClaimMismatch    RefusalCode = "idempotency-mismatch"
	RefusalOutcomeUnknown   RefusalCode = "outcome-unknown"
	RefusalAnswerNotKept    RefusalCode = "answer-not-kept"
	RefusalBackendFailed    RefusalCode = "backend-failed"
	RefusalCancelled        RefusalCode = "cancelled"
	RefusalInternal         RefusalCode = "internal"
)

// Refusal is the error that ends a request without a regular answer. NotRun is
// set only if it is certain that no backend server ran the request.
type Refusal struct {
	Code       RefusalCode
	Message    string
	NotRun     bool
	RetryAfter time.Duration
	// What is known about the request if its outcome is unknown.
	Evidence string
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
