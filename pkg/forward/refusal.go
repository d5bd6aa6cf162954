package forward

import (
	"net/http"
	"strconv"
	"time"
)

// Refusal is an error response that this host sends itself.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // 0 if a retry would not help or may start at once; then no Retry-After header is sent
}

// Reason is the cause of a refusal or of a retry. It is a label of the metrics.
type Reason string

// Reasons of refusals and retries.
const (
	NoConfiguration Reason = "no_configuration"
	NoRoute         Reason = "no_route"
	// ConfigurationUnconfirmed refuses a request that the known configuration does not allow,
	// while a newer one may.
	ConfigurationUnconfirmed Reason = "configuration_unconfirmed"
	// ConfigurationOutdated refuses a request of a host that knows that others have a newer
	// configuration, and could forward it to none of them.
	ConfigurationOutdated Reason = "configuration_outdated"
	UnknownKey            Reason = "unknown_key"
	BadHeader             Reason = "bad_header"
	BodyTooLarge          Reason = "body_too_large"
	BodyUnread            Reason = "body_unread"   // the body of the request could not be read
	BodyTimeout           Reason = "body_timeout"  // the body of the request had not arrived at its deadline
	BodySlow              Reason = "body_slow"     // the body made no progress while memory or connections were scarce
	CallerMemory          Reason = "caller_memory" // the memory for callers is used up
	BudgetExhausted       Reason = "budget_exhausted"
	BudgetUnreachable     Reason = "budget_unreachable"
	NoTarget              Reason = "no_target"
	NoPath                Reason = "no_path"      // this host reaches no target of the service, and no other host that does
	RateLimited           Reason = "rate_limited" // the targets have got as many requests as they take
	TargetFull            Reason = "target_full"
	TargetReplaced        Reason = "target_replaced"  // another target has taken over the address of the target
	TargetUnreached       Reason = "target_unreached" // nothing was sent, as the target could not be reached
	TargetFailed          Reason = "target_failed"    // the target responded with an error, or with a response that cannot be forwarded
	AnswerBroken          Reason = "answer_broken"    // the response of the target was missing or incomplete
	ConnectionLimit       Reason = "connection_limit" // nothing was sent, as the connection limit to the target was reached
	DeadlinePassed        Reason = "deadline_passed"
	CallerGone            Reason = "caller_gone"       // the caller disconnected
	ResponseNotRead       Reason = "response_not_read" // the caller did not read its response, and others needed what it held
	HostFull              Reason = "host_full"         // this host has too many connections of callers
	Overloaded            Reason = "overloaded"        // the link of this host is saturated, and a response that the request needs is late
	ShuttingDown          Reason = "shutting_down"     // this host stops before the request may have ended
	CrashesTargets        Reason = "crashes_targets"   // the request has crashed too many targets
)

// Reasons returns every reason, so that a counter can be registered for each.
func Reasons() []Reason {
	return []Reason{
		NoConfiguration, ConfigurationUnconfirmed, ConfigurationOutdated, NoRoute, UnknownKey, BadHeader, BodyTooLarge, BodyUnread, BodyTimeout, BodySlow, CallerMemory,
		BudgetExhausted, BudgetUnreachable, NoTarget, NoPath, RateLimited, TargetFull, TargetReplaced,
		TargetUnreached, TargetFailed, AnswerBroken, ConnectionLimit, DeadlinePassed, CallerGone, ResponseNotRead, HostFull, Overloaded, ShuttingDown, CrashesTargets,
	}
}

// statusNotRun gives the HTTP status for a request that has certainly not run. The
// status of other reasons is 503.
var statusNotRun = map[Reason]int{
	NoRoute:         http.StatusNotFound,
	UnknownKey:      http.StatusUnauthorized,
	BadHeader:       http.StatusBadRequest,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
	BodyUnread:      http.StatusBadRequest,
	BodyTimeout:     http.StatusRequestTimeout,
	BodySlow:        http.StatusRequestTimeout,
	BudgetExhausted: http.StatusPaymentRequired,
}

// refuseNotRun returns the refusal of a request that has not run and will not run.
func refuseNotRun(r Reason, retryAfter time.Duration) *Refusal {
	status, ok := statusNotRun[r]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return &Refusal{Status: status, Reason: r, RetryAfter: retryAfter}
}

// refuseMayHaveRun returns the refusal of a request that may have run.
func refuseMayHaveRun(r Reason) *Refusal {
	if r == DeadlinePassed {
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: r}
	}
	return &Refusal{Status: http.StatusBadGateway, Reason: r}
}

// write sends the refusal, with the reason as its body.
func (f *Refusal) write(w http.ResponseWriter) {
	h := w.Header()
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(f.Reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(body)) // an error means that the caller has disconnected
}
