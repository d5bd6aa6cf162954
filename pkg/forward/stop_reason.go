package forward

import "time"

// stopReason is why a request is not sent to another target.
type stopReason string

// Reasons to stop.
const (
	stopNoTarget   stopReason = "no_target"    // no further target may get it
	stopDeadline   stopReason = "deadline"     // too little time is left, or the caller is gone
	stopAttempts   stopReason = "attempts"     // as many targets as allowed have tried
	stopMayHaveRun stopReason = "may_have_run" // the route allows no second run
	stopCrashes    stopReason = "crashes"      // it has crashed too many targets
	stopRetries    stopReason = "retry_limit"  // too many requests are sent again
)

// reasonToStop decides whether the request is sent to another target, "" if so.
func (c *call) reasonToStop(result attemptResult, unsent int) stopReason {
	now := time.Now()
	switch {
	case c.ctx.Err() != nil || c.remaining(now) < minRemaining:
		return stopDeadline
	case unsent >= maxUnsentAttempts:
		return stopAttempts
	case result.reason == TargetUnreached || result.reason == ConnectionLimit:
		return "" // nothing was sent
	case c.sentAttempts >= maxSentAttempts:
		return stopAttempts
	case result.reason == AnswerBroken && c.h.Suspects.Crashes(c.fingerprint, now):
		return stopCrashes
	case result.mayHaveRun && !c.route.Idempotent():
		return stopMayHaveRun
	case result.mayHaveRun && c.possibleRuns >= max(1, c.route.MaxAttempts):
		return stopAttempts
	case !c.h.retryLimit(c.service.Name).Allow(now):
		return stopRetries
	}
	return ""
}
