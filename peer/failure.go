package peer

import (
	stderrors "errors"
	"strings"
)

// maxCauseBytes bounds how much of a cause's text a failure repeats: net/http
// quotes in full what it cannot parse.
const maxCauseBytes = 512

// Outcome is what is known about the effect of a failed call.
type Outcome string

// Outcomes.
const (
	OutcomeNotDone  Outcome = "not-done" // certainly had no effect
	OutcomeUnknown  Outcome = "unknown"  // may have taken effect
	OutcomeConflict Outcome = "conflict" // rejected: condition not met; no effect
	OutcomeRefused  Outcome = "refused"  // rejected; a retry will fail too; no effect
	OutcomeStale    Outcome = "stale"    // rejected: stale fencing number; no effect
	OutcomeMissing  Outcome = "missing"  // what it names does not exist; no effect
	OutcomeRestored Outcome = "restored" // rejected: the table has returned from an older copy; no effect
)

// Failure is the error of a failed call to a peer.
type Failure struct {
	Outcome Outcome
	Message string
	Cause   error
}

// NewFailure returns a failure. The cause may be nil.
func NewFailure(outcome Outcome, message string, cause error) *Failure {
	return &Failure{Outcome: outcome, Message: message, Cause: cause}
}

// Error returns the message and the beginning of its cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Message
	}
	cause := f.Cause.Error()
	if len(cause) > maxCauseBytes {
		cause = strings.ToValidUTF8(cause[:maxCauseBytes], "") + "..."
	}
	return f.Message + ": " + cause
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// OutcomeOf returns the outcome of a call that returned err. It is
// OutcomeUnknown if err is not a Failure.
func OutcomeOf(err error) Outcome {
	var f *Failure
	if stderrors.As(err, &f) {
		return f.Outcome
	}
	return OutcomeUnknown
}
