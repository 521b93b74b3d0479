// Package reply reads request bodies and writes answers for the stand-ins that
// speak JSON over HTTP.
package reply

import (
	"encoding/json"
	"errors"
	"net/http"

	"quincewinch/peer"
)

// errorBody is the body of an error answer.
type errorBody struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// Decode decodes the JSON body of a request into body. If that fails, it
// answers the request with an error and returns false.
func Decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		Answer(w, nil, peer.NewFailure(peer.OutcomeRefused, "bad body", err))
		return false
	}
	return true
}

// Answer writes body, or an error answer if err is a peer.Failure. If the
// outcome of the failure is unknown, it aborts the connection without an
// answer, as when an answer is lost.
func Answer(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	var failure *peer.Failure
	if errors.As(err, &failure) {
		if failure.Outcome == peer.OutcomeUnknown {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status(failure.Outcome))
		body = errorBody{Outcome: string(failure.Outcome), Message: failure.Error()}
	}
	_ = json.NewEncoder(w).Encode(body)
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
