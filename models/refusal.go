package models

import "time"

// RefusalCode tells machines why a request was refused or ended.
type RefusalCode string

// Codes of refusal.
const (
	RefusalMalformed        RefusalCode = "malformed-request"
	RefusalTooLarge         RefusalCode = "request-too-large"
	RefusalInvalidKey       RefusalCode = "invalid-key"
	RefusalKeyWithdrawn     RefusalCode = "key-withdrawn"
	RefusalKeyNotConfirmed  RefusalCode = "key-not-confirmed"
	RefusalUnknownRoute     RefusalCode = "unknown-route"
	RefusalRateLimit        RefusalCode = "rate-limited"
	RefusalOverload         RefusalCode = "overloaded"
	RefusalDeadline         RefusalCode = "deadline"
	RefusalNoBackend        RefusalCode = "no-backend"
	RefusalDraining         RefusalCode = "draining"
	RefusalStoreUnreachable RefusalCode = "store-unreachable"
	RefusalClaimMismatch    RefusalCode = "idempotency-mismatch"
	RefusalOutcomeUnknown   RefusalCode = "outcome-unknown"
	RefusalAnswerNotKept    RefusalCode = "answer-not-kept"
	RefusalBackendFailed    RefusalCode = "backend-failed"
	RefusalCancelled        RefusalCode = "cancelled"
	RefusalInternal         RefusalCode = "internal"
)

// Refusal is the final answer to a request that gets no other, and an error.
// NotRun is set only when it is certain that no backend server ran it.
type Refusal struct {
	Code       RefusalCode
	Message    string
	NotRun     bool
	RetryAfter time.Duration
	Evidence   string // what is known of an unknown outcome
}

// Error returns the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
