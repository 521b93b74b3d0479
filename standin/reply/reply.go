// Package reply writes the answers of the stand-ins that speak HTTP/JSON.
package reply

import (
	"encoding/json"
	"errors"
	"net/http"

	"quincewinch/peer"
)

// errorBody is the body of an answer that is no success.
type errorBody struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// Decode reads a request's body; where that fails it refuses the request and
// returns false.
func Decode(w http.ResponseWriter, r *http.Request, form any) bool {
	if err := json.NewDecoder(r.Body).Decode(form); err != nil {
		Answer(w, nil, peer.NewFailure(peer.OutcomeRefused, "bad body", err))
		return false
	}
	return true
}

// Answer writes a form, or the failure that err is. One whose outcome is
// unknown is a lost answer: the connection ends without any.
func Answer(w http.ResponseWriter, form any, err error) {
	w.Header().Set("Content-Type", "application/json")
	var failure *peer.Failure
	if errors.As(err, &failure) {
		if failure.Outcome == peer.OutcomeUnknown {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status(failure.Outcome))
		form = errorBody{Outcome: string(failure.Outcome), Message: failure.Error()}
	}
	_ = json.NewEncoder(w).Encode(form)
}

func status(outcome peer.Outcome) int {
	switch outcome {
	case peer.OutcomeConflict, peer.OutcomeStale:
		return http.StatusConflict
	case peer.OutcomeRefused:
		return http.StatusBadRequest
	case peer.OutcomeMissing:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}
