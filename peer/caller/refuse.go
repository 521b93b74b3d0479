package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"quincewinch/models"
)

var statuses = map[models.RefusalCode]int{
	models.RefusalMalformed:        http.StatusBadRequest,
	models.RefusalTooLarge:         http.StatusRequestEntityTooLarge,
	models.RefusalInvalidKey:       http.StatusUnauthorized,
	models.RefusalKeyWithdrawn:     http.StatusUnauthorized,
	models.RefusalKeyNotConfirmed:  http.StatusServiceUnavailable,
	models.RefusalUnknownRoute:     http.StatusNotFound,
	models.RefusalRateLimit:        http.StatusTooManyRequests,
	models.RefusalOverload:         http.StatusServiceUnavailable,
	models.RefusalDeadline:         http.StatusGatewayTimeout,
	models.RefusalNoBackend:        http.StatusServiceUnavailable,
	models.RefusalDraining:         http.StatusServiceUnavailable,
	models.RefusalStoreUnreachable: http.StatusServiceUnavailable,
	models.RefusalClaimMismatch:    http.StatusUnprocessableEntity,
	models.RefusalOutcomeUnknown:   http.StatusConflict,
	models.RefusalAnswerNotKept:    http.StatusConflict,
	models.RefusalBackendFailed:    http.StatusBadGateway,
	models.RefusalCancelled:        http.StatusRequestTimeout,
	models.RefusalInternal:         http.StatusInternalServerError,
}

// shouldRetryHeader tells OpenAI clients whether to retry automatically. It
// keeps them from repeating a request that may have run.
const shouldRetryHeader = "X-Should-Retry"

func refuse(w http.ResponseWriter, refusal *models.Refusal) {
	refuseAttempt(w, refusal, refusal.NotRun)
}

// refuseAttempt writes the refusal of one attempt at a request. Retryable
// states that another attempt is safe.
func refuseAttempt(w http.ResponseWriter, refusal *models.Refusal, retryable bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(shouldRetryHeader, strconv.FormatBool(retryable && refusal.RetryAfter > 0))
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(statusOf(refusal.Code))
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal))
}

func statusOf(code models.RefusalCode) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func newErrorBody(refusal *models.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message:  refusal.Message,
		Type:     errorType(refusal.Code),
		Code:     string(refusal.Code),
		NotRun:   refusal.NotRun,
		Evidence: refusal.Evidence,
	}}
}

func errorType(code models.RefusalCode) string {
	switch statusOf(code) {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return "invalid_request_error"
	}
	return "server_error"
}
