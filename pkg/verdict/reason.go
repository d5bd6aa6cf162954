package verdict

import "net/http"

// Reason is the cause of a refusal. The set of reasons is fixed, as it is a label of
// the metrics.
type Reason string

// Reasons of refusal.
const (
	BadRequest            Reason = "bad_request"
	Unauthorized          Reason = "unauthorized"
	UnknownCustomer       Reason = "unknown_customer"
	UnknownBudget         Reason = "unknown_budget"
	UnknownModel          Reason = "unknown_model"
	UnknownService        Reason = "unknown_service"
	TooLarge              Reason = "too_large"
	KeyReused             Reason = "key_reused" // the idempotency key was used with another request body
	BudgetExhausted       Reason = "budget_exhausted"
	BudgetUnreachable     Reason = "budget_unreachable"
	ClaimUnavailable      Reason = "claim_unavailable" // the claim of a non-idempotent request could not be made durable in time
	ClaimHeld             Reason = "claim_held"        // another attempt has dispatched the request or is dispatching it, and its response is not available
	NoTarget              Reason = "no_target"
	Overloaded            Reason = "overloaded"
	Deadline              Reason = "deadline"
	ShuttingDown          Reason = "shutting_down"
	NoBundle              Reason = "no_bundle"    // the host has not received a bundle yet
	StaleBundle           Reason = "stale_bundle" // the host cannot confirm that its bundle is the newest
	RequestCrashesTargets Reason = "request_crashes_targets"
	TargetFailed          Reason = "target_failed"
	RetryBudget           Reason = "retry_budget" // an attempt failed and the retry budget of the host is used up
	Internal              Reason = "internal"
)

// statusByReason gives the HTTP status sent to callers for each reason.
var statusByReason = map[Reason]int{
	BadRequest:            http.StatusBadRequest,
	Unauthorized:          http.StatusUnauthorized,
	UnknownCustomer:       http.StatusUnauthorized,
	UnknownBudget:         http.StatusNotFound,
	UnknownModel:          http.StatusNotFound,
	UnknownService:        http.StatusNotFound,
	TooLarge:              http.StatusRequestEntityTooLarge,
	KeyReused:             http.StatusUnprocessableEntity,
	BudgetExhausted:       http.StatusPaymentRequired,
	BudgetUnreachable:     http.StatusServiceUnavailable,
	ClaimUnavailable:      http.StatusServiceUnavailable,
	ClaimHeld:             http.StatusConflict,
	NoTarget:              http.StatusServiceUnavailable,
	Overloaded:            http.StatusTooManyRequests,
	Deadline:              http.StatusGatewayTimeout,
	ShuttingDown:          http.StatusServiceUnavailable,
	NoBundle:              http.StatusServiceUnavailable,
	StaleBundle:           http.StatusServiceUnavailable,
	RequestCrashesTargets: http.StatusUnprocessableEntity,
	TargetFailed:          http.StatusBadGateway,
	RetryBudget:           http.StatusBadGateway,
	Internal:              http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status of the reason, 500 for an undefined one.
func (r Reason) HTTPStatus() int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Valid reports whether r is one of the defined reasons.
func (r Reason) Valid() bool {
	_, ok := statusByReason[r]
	return ok
}

// Reasons returns every reason, so that a counter can be registered for each.
func Reasons() []Reason {
	all := make([]Reason, 0, len(statusByReason))
	for r := range statusByReason {
		all = append(all, r)
	}
	return all
}
