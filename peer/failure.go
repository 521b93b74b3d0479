package peer

import (
	stderrors "errors"
)

// Outcome tells what is known of a call that failed.
type Outcome string

// Outcomes of a failed call.
const (
	OutcomeNotDone  Outcome = "not-done" // certain that it had no effect
	OutcomeUnknown  Outcome = "unknown"  // may have had its effect
	OutcomeConflict Outcome = "conflict" // refused: a condition does not hold; no effect
	OutcomeRefused  Outcome = "refused"  // refused as it stands; a retry won't help; no effect
	OutcomeStale    Outcome = "stale"    // refused: old fencing number; no effect
	OutcomeMissing  Outcome = "missing"  // what it names does not exist; no effect
)

// Failure is a failed call to a peer.
type Failure struct {
	Outcome Outcome
	Message string
	Cause   error
}

// NewFailure returns a failure with its cause, which may be nil.
func NewFailure(outcome Outcome, message string, cause error) *Failure {
	return &Failure{Outcome: outcome, Message: message, Cause: cause}
}

// Error returns the message and its cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Message
	}
	return f.Message + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// OutcomeOf returns what is known of a call that returned err. An error that
// is no Failure leaves the outcome unknown.
func OutcomeOf(err error) Outcome {
	var f *Failure
	if stderrors.As(err, &f) {
		return f.Outcome
	}
	return OutcomeUnknown
}
