package forward

import "time"

// stopReason is the reason why a request is not sent to another target. It is logged.
type stopReason string

// Reasons not to send a request to another target.
const (
	stopNoTarget     stopReason = "no_target"    // no further target is available
	stopDeadline     stopReason = "deadline"     // too little time until the deadline, or the caller has disconnected
	stopAttemptLimit stopReason = "attempts"     // the limit of attempts is reached
	stopMayHaveRun   stopReason = "may_have_run" // the target may have run the request, and the route allows only one run
	stopOverrun      stopReason = "overrun"      // the caller has received events that no other target can continue
	stopCrashes      stopReason = "crashes"      // the request has crashed too many targets
	stopNoPath       stopReason = "no_path"      // this host reaches no target of the service
	stopOutdated     stopReason = "outdated"     // this host has an outdated configuration
	stopNotRead      stopReason = "not_read"     // the caller does not read the response
	stopRetryLimit   stopReason = "retry_limit"  // the retry limit of the service is reached
)

// reasonToStop returns why the request must not be sent to another target, or "" if
// another attempt is allowed. unsentAttempts is the number of attempts in which
// nothing was sent.
func (c *call) reasonToStop(result attemptResult, unsentAttempts int) stopReason {
	now := time.Now()
	switch {
	case c.notRead:
		return stopNotRead
	case c.ctx.Err() != nil || c.remaining(now) < minTimeForRetry:
		return stopDeadline
	case unsentAttempts >= maxUnsentAttempts:
		return stopAttemptLimit
	case result.reason == TargetUnreached || result.reason == ConnectionLimit:
		return "" // nothing was sent
	case c.sentAttempts >= maxSentAttempts:
		return stopAttemptLimit
	case result.reason == AnswerBroken && c.h.Crashes.IsBlocked(c.crashKeys, now):
		return stopCrashes
	case result.overrun:
		return stopOverrun
	case result.mayHaveRun && !c.route.Idempotent():
		return stopMayHaveRun
	case result.mayHaveRun && c.possibleRuns+c.runsBefore >= max(1, c.route.MaxAttempts):
		return stopAttemptLimit
	case !c.h.retryLimit(c.service.Name).AllowRetry(now):
		return stopRetryLimit
	}
	return ""
}
