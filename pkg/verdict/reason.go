package verdict

import "net/http"

// Reason is the cause of a refusal. The list is closed: metrics are labelled by it.
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
	KeyReused             Reason = "key_reused"
	BudgetExhausted       Reason = "budget_exhausted"
	BudgetUnreachable     Reason = "budget_unreachable"
	ClaimUnavailable      Reason = "claim_unavailable"
	ClaimHeld             Reason = "claim_held"
	NoTarget              Reason = "no_target"
	Overloaded            Reason = "overloaded"
	Deadline              Reason = "deadline"
	ShuttingDown          Reason = "shutting_down"
	NoBundle              Reason = "no_bundle"
	StaleBundle           Reason = "stale_bundle"
	RequestCrashesTargets Reason = "request_crashes_targets"
	TargetFailed          Reason = "target_failed"
	RetryBudget           Reason = "retry_budget"
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

// HTTPStatus returns the status code of the reason, 500 for one outside the list.
func (r Reason) HTTPStatus() int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Valid reports whether r is in the closed list.
func (r Reason) Valid() bool {
	_, ok := statusByReason[r]
	return ok
}

// Reasons returns every reason, for registering one counter each.
func Reasons() []Reason {
	all := make([]Reason, 0, len(statusByReason))
	for r := range statusByReason {
		all = append(all, r)
	}
	return all
}
