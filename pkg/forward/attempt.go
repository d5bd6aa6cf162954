package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// maxSentAttempts bounds the targets that one request is sent to, including
	// those that report that they have not run it.
	maxSentAttempts = 4
	// maxUnsentAttempts bounds the attempts of one request in which nothing was
	// sent: no connection, or the connection limit was reached.
	maxUnsentAttempts = 4
	// minTimeForRetry is the shortest time until the deadline with which a request is
	// sent to another target.
	minTimeForRetry = 20 * time.Millisecond
)

// attemptResult says how an attempt ended and whether another one may follow.
type attemptResult struct {
	done       bool   // no further attempt or refusal follows: the response was sent, or the caller disconnected
	reason     Reason // why the attempt failed
	mayHaveRun bool   // the target may have run the request
	overrun    bool   // the caller has received events of a target that sent more than the request can produce
	// forwardErrorResponse sends the target's 5xx response to the caller. It is called if
	// no further attempt succeeds. It is nil if there is no such response.
	forwardErrorResponse func()
}

// forward sends the request to one target after another until one answers or a
// limit is reached. It returns a refusal if there is no response to forward.
func (c *call) forward() *Refusal {
	unsentAttempts := 0
	var forwardErrorResponse func() // sends the last 5xx response of a target
	for {
		if c.callerClosed() {
			c.stoppedBy = stopDeadline
			return c.forwardErrorResponseOrRefuse(forwardErrorResponse, CallerGone)
		}
		if !c.h.Crashes.Admit(c.crashKeys, time.Now()) {
			c.stoppedBy = stopCrashes
			return c.forwardErrorResponseOrRefuse(forwardErrorResponse, CrashesTargets)
		}
		if c.h.Targets.PathLost(c.service.Name, time.Now()) {
			c.stoppedBy = stopNoPath
			return c.forwardToHostOr(forwardErrorResponse, NoPath)
		}
		attempt, err := c.pickTarget()
		if err != nil {
			c.stoppedBy = stopNoTarget
			return c.forwardErrorResponseOrRefuse(forwardErrorResponse, c.noteNoTarget(err))
		}
		c.attemptOutcomes = append(c.attemptOutcomes, attempt.Target.ID)
		result := c.sendTo(attempt)
		if result.done {
			return nil
		}
		c.attemptOutcomes[len(c.attemptOutcomes)-1] += ":" + string(result.reason)
		if result.reason == TargetUnreached || result.reason == ConnectionLimit {
			unsentAttempts++
		}
		if result.forwardErrorResponse != nil {
			forwardErrorResponse = result.forwardErrorResponse
		}
		if c.stoppedBy = c.reasonToStop(result, unsentAttempts); c.stoppedBy != "" {
			return c.forwardErrorResponseOrRefuse(forwardErrorResponse, result.reason)
		}
		c.h.Observer.Retried(result.reason)
		if unsentAttempts >= unsentBeforeHop && result.reason == TargetUnreached && c.h.Hosts != nil && c.h.Hosts.Available(c.service.Name, time.Now()) {
			c.stoppedBy = stopNoPath
			return c.forwardToHostOr(forwardErrorResponse, TargetUnreached)
		}
	}
}

// forwardErrorResponseOrRefuse forwards a target's 5xx response if there is one and no
// part of another response has been sent, and returns a refusal otherwise.
func (c *call) forwardErrorResponseOrRefuse(forwardErrorResponse func(), r Reason) *Refusal {
	if forwardErrorResponse == nil || c.headerSent {
		return c.refusalFor(r)
	}
	forwardErrorResponse()
	if c.notRead {
		return c.refusalFor(ResponseNotRead)
	}
	return nil
}

// forwardToHostOr forwards a target's 5xx response if there is one, and otherwise the request to
// another host.
func (c *call) forwardToHostOr(forwardErrorResponse func(), lacking Reason) *Refusal {
	if forwardErrorResponse != nil {
		return c.forwardErrorResponseOrRefuse(forwardErrorResponse, lacking)
	}
	return c.forwardToHost(lacking)
}

// callerClosed reports whether the caller has closed its connection. A busy host may not
// have read that yet, and would send a request that nobody waits for.
func (c *call) callerClosed() bool {
	return c.h.CallerClosed != nil && c.h.CallerClosed(c.r.Context())
}

// noteNoTarget logs why no target is left, and takes over when one will be. It returns the
// reason of the refusal.
func (c *call) noteNoTarget(err error) Reason {
	reason := noTargetReason(err)
	if reason == ConnectionLimit {
		return reason
	}
	var wait *balance.WaitError
	if errors.As(err, &wait) {
		c.nextTargetIn = wait.Wait
	}
	c.h.Log.Info().Str("request", c.id).Str("service", c.service.Name).Str("passed_over", c.h.Targets.Unavailable(c.service.Name, time.Now())).Err(err).Msg("No target is available.")
	return reason
}

// noTargetReason returns the reason of a request for which balance has found no target.
func noTargetReason(err error) Reason {
	var wait *balance.WaitError
	switch {
	case errors.Is(err, balance.ErrNoConnection):
		return ConnectionLimit
	case errors.As(err, &wait) && wait.RateLimited:
		return RateLimited
	}
	return NoTarget
}

// refusalFor returns the refusal of a request whose last attempt failed for reason r.
// If the caller has disconnected or the deadline has passed, that is the reason.
func (c *call) refusalFor(r Reason) *Refusal {
	switch err := c.ctx.Err(); {
	case c.notRead: // the server ends the context when the write fails
		r = ResponseNotRead
	case errors.Is(err, context.DeadlineExceeded):
		r = DeadlinePassed
	case err != nil:
		r = CallerGone
	}
	if c.possibleRuns > 0 {
		return refuseMayHaveRun(r)
	}
	if c.causedByOverload(r) {
		return c.refuseOverloaded(retryAfterOverloaded)
	}
	switch r {
	case TargetFull, ConnectionLimit:
		return refuseNotRun(r, withJitter(retryAfterTargetFull))
	case DeadlinePassed:
		return refuseNotRun(r, 0)
	case ConfigurationOutdated:
		c.w.Header().Set("Connection", "close") // the caller's next connection may go to another host
		return refuseNotRun(r, withJitter(retryAfterUnconfirmed))
	case CrashesTargets:
		return refuseNotRun(r, retryAfterCrashes)
	case NoPath:
		if c.h.Targets.AllPathsLost(time.Now()) {
			c.w.Header().Set("Connection", "close") // the caller's next connection goes to another host
		}
		return refuseNotRun(r, withJitter(retryAfterNoPath))
	}
	return refuseNotRun(r, withJitter(max(retryAfterNoTarget, c.nextTargetIn)))
}

// sendTo sends the request to one target and handles the response or the failure.
func (c *call) sendTo(a *balance.Attempt) attemptResult {
	c.excluded = append(c.excluded, a.Target.ID)
	c.lastAttemptAt, c.targetLoad, c.targetRank = time.Now(), a.Load, a.Rank
	response, err := c.h.Client.Send(c.ctx, a.Target.Addr, c.targetRequest(a), c.targetConnectionLimit())
	if err != nil {
		return c.handleSendError(a, err)
	}
	defer response.Close()
	c.sentAttempts++
	if response.Status != http.StatusMisdirectedRequest {
		c.h.Crashes.Responded(crashTarget(a), c.lastAttemptAt, time.Now())
	}
	c.recordTargetState(a, response)
	targetLoad := c.reportedLoad(a.Target.ID, response)
	a.FirstByteReceived(time.Now(), targetLoad)
	return c.handleResponse(a, response)
}

// targetConnectionLimit returns how many connections to one target this host may
// open: its share of the service's limit, but at least 1. It returns 0 if the
// service has no limit.
func (c *call) targetConnectionLimit() int {
	if c.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, c.service.MaxConnections/c.h.Targets.HostCount())
}

// reportedLoad returns the load in a response, nil if there is none or it cannot be
// parsed.
func (c *call) reportedLoad(target string, response *upstream.Response) *balance.Load {
	value := response.Header.Get(c.h.Dialect.Load)
	if value == "" {
		return nil
	}
	load, err := c.h.Dialect.ParseLoad(value)
	if err != nil {
		c.h.logUnreadable(c.h.Dialect.Load, target, err)
		return nil
	}
	return &load
}

// handleSendError handles an attempt that ended before the response header arrived.
func (c *call) handleSendError(a *balance.Attempt, err error) attemptResult {
	now := time.Now()
	if c.ctx.Err() != nil {
		outcome := balance.Cancelled
		if errors.Is(err, upstream.ErrInvalidResponse) {
			outcome = balance.Failed
			c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Err(err).Msg("Request ended within the response header of a target.")
		}
		a.End(now, outcome)
		if upstream.MayHaveRun(err) {
			c.sentAttempts++
			c.possibleRuns++
		}
		return attemptResult{reason: DeadlinePassed, mayHaveRun: upstream.MayHaveRun(err)}
	}
	c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Strs("parts", c.partKeys()).Strs("request_key", c.requestKey()).Err(err).Msg("Attempt failed before a response header arrived.")
	switch {
	case errors.Is(err, upstream.ErrConnLimit):
		a.End(now, balance.ConnectionLimit)
		return attemptResult{reason: ConnectionLimit}
	case !upstream.MayHaveRun(err):
		outcome := balance.Unreached
		if c.unreachedLate = upstream.TimedOut(err); c.unreachedLate {
			outcome = balance.UnreachedLate
		}
		a.End(now, outcome)
		return attemptResult{reason: TargetUnreached}
	}
	a.End(now, balance.Broken)
	c.sentAttempts++
	c.possibleRuns++
	c.recordBroken(a, eventTimes{}, now)
	return attemptResult{reason: AnswerBroken, mayHaveRun: true}
}

// handleResponse handles a response whose header has arrived.
func (c *call) handleResponse(a *balance.Attempt, response *upstream.Response) attemptResult {
	if response.Header.Get(c.h.Dialect.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		return c.handleNotRun(a, response)
	}
	c.possibleRuns++
	c.framing, c.trailingBytes = response.Framing, 0
	if isEventStream(response.Header) {
		return c.forwardStream(a, response)
	}
	return c.forwardBuffered(a, response)
}

// handleNotRun handles the response of a target that has not run the request.
func (c *call) handleNotRun(a *balance.Attempt, response *upstream.Response) attemptResult {
	response.Discard(maxRejectionBodyBytes, rejectionBodyTimeout)
	now := time.Now()
	switch response.Status {
	case http.StatusMisdirectedRequest:
		a.End(now, balance.Replaced)
		return attemptResult{reason: TargetReplaced}
	case http.StatusBadRequest:
		// The target rejected the request as invalid. This is not a failure of the
		// target, so it does not count against the target.
		a.End(now, balance.Served)
		return attemptResult{reason: TargetFailed}
	}
	a.End(now, balance.Rejected)
	return attemptResult{reason: TargetFull}
}

const (
	// maxRejectionBodyBytes bounds the body of a response that reports that the request
	// has not run.
	maxRejectionBodyBytes = 64 << 10
	// rejectionBodyTimeout bounds the time to read that body. The request waits for it
	// only so that the connection can be reused.
	rejectionBodyTimeout = 50 * time.Millisecond
)
