package forward

import "time"

// stop is why a request is not sent to another target.
type stop string

// Reasons to stop.
const (
	stopNoTarget   stop = "no_target"    // no further target may get it
	stopDeadline   stop = "deadline"     // too little time is left, or the caller is gone
	stopAttempts   stop = "attempts"     // as many targets as allowed have tried
	stopMayHaveRun stop = "may_have_run" // the route allows no second run
	stopCrashes    stop = "crashes"      // it has crashed too many targets
	stopRetries    stop = "retry_limit"  // too many requests are sent again
)

// stops decides whether the request is sent to another target, "" if so.
func (c *call) stops(s step, unsent int) stop {
	now := time.Now()
	switch {
	case c.ctx.Err() != nil || c.left(now) < minLeft:
		return stopDeadline
	case unsent >= maxUnsent:
		return stopAttempts
	case s.reason == TargetUnreached || s.reason == ConnectionLimit:
		return "" // nothing was sent
	case c.attempts >= maxSends:
		return stopAttempts
	case s.reason == AnswerBroken && c.h.Suspects.Crashes(c.fingerprint, now):
		return stopCrashes
	case s.ran && !c.route.Idempotent():
		return stopMayHaveRun
	case s.ran && c.ran >= max(1, c.route.MaxAttempts):
		return stopAttempts
	case !c.h.limit(c.service.Name).Allow(now):
		return stopRetries
	}
	return ""
}
