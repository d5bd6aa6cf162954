package forward

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/upstream"
)

const (
	// maxSentAttempts bounds the targets that one request is sent to, those included
	// that say that they have not run it.
	maxSentAttempts = 4
	// maxUnsentAttempts bounds the targets that could not be reached at all.
	maxUnsentAttempts = 4
	// minRemaining is the shortest time left with which a request is still sent.
	minRemaining = 20 * time.Millisecond
)

// attemptResult is what follows an attempt.
type attemptResult struct {
	done       bool   // the answer is out, or the caller's connection is to be broken off
	reason     Reason // why the attempt did not end with an answer to pass on
	mayHaveRun bool   // the target may have run the request
	// forwardFailure gives the caller the target's failure, for want of a better answer.
	forwardFailure func()
}

// forward sends the request to targets until one answers. It returns the
// refusal to send if none does.
func (c *call) forward() *Refusal {
	unsentAttempts := 0
	var forwardFailure func() // the last answer of a target that may be given up for a better one
	for {
		attempt, err := c.pickTarget()
		if err != nil {
			c.stoppedBy = stopNoTarget
			return c.forwardFailureOrRefuse(forwardFailure, NoTarget)
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
		if result.forwardFailure != nil {
			forwardFailure = result.forwardFailure
		}
		if c.stoppedBy = c.reasonToStop(result, unsentAttempts); c.stoppedBy != "" {
			return c.forwardFailureOrRefuse(forwardFailure, result.reason)
		}
		c.h.Observer.Retried(result.reason)
	}
}

// forwardFailureOrRefuse passes on a target's failure if there is one and no part of another
// answer is out, and refuses otherwise.
func (c *call) forwardFailureOrRefuse(forwardFailure func(), r Reason) *Refusal {
	if forwardFailure == nil || c.headerSent {
		return c.refusalFor(r)
	}
	forwardFailure()
	return nil
}

func (c *call) pickTarget() (*balance.Attempt, error) {
	return c.h.Targets.Pick(balance.Request{
		Service:      c.service.Name,
		Parts:        c.parts,
		PromptTokens: c.cost.Prompt,
		OutputTokens: c.outputHint,
		Excluded:     c.excluded,
		Now:          time.Now(),
	})
}

// refusalFor returns the answer to a request that no target has answered.
func (c *call) refusalFor(r Reason) *Refusal {
	switch {
	case c.r.Context().Err() != nil:
		r = CallerGone
	case c.ctx.Err() != nil:
		r = DeadlinePassed
	}
	if c.possibleRuns > 0 {
		return refuseMayHaveRun(r)
	}
	switch r {
	case TargetFull, ConnectionLimit:
		return refuseNotRun(r, withJitter(retryAfterTargetFull))
	case DeadlinePassed:
		return refuseNotRun(r, 0)
	}
	return refuseNotRun(r, withJitter(retryAfterNoTarget))
}

// sendTo sends the request to one target.
func (c *call) sendTo(a *balance.Attempt) attemptResult {
	c.excluded = append(c.excluded, a.Target.ID)
	c.lastSentAt, c.targetLoad, c.targetRank = time.Now(), a.Load, a.Rank
	response, err := c.h.Client.Send(c.ctx, a.Target.Addr, c.targetRequest(a), c.targetConnectionLimit())
	if err != nil {
		return c.handleSendError(a, err)
	}
	defer response.Close()
	c.sentAttempts++
	targetLoad := c.reportedLoad(response)
	a.Answered(time.Now(), targetLoad)
	return c.handleResponse(a, response)
}

// targetConnectionLimit returns this host's share of a target's connections.
func (c *call) targetConnectionLimit() int {
	if c.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, c.service.MaxConnections/c.h.Targets.Hosts())
}

func (c *call) reportedLoad(response *upstream.Response) *balance.Load {
	value := response.Header.Get(c.h.Dialect.Load)
	if value == "" {
		return nil
	}
	load, err := c.h.Dialect.ParseLoad(value)
	if err != nil {
		c.h.Log.Warn().Str("request", c.id).Err(err).Msg("Load of a target unreadable.")
		return nil
	}
	return &load
}

func (c *call) handleSendError(a *balance.Attempt, err error) attemptResult {
	now := time.Now()
	if c.ctx.Err() != nil {
		a.End(now, balance.Cancelled)
		if upstream.MayHaveRun(err) {
			c.sentAttempts++
			c.possibleRuns++
		}
		return attemptResult{reason: DeadlinePassed, mayHaveRun: upstream.MayHaveRun(err)}
	}
	c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Err(err).Msg("Attempt failed.")
	switch {
	case errors.Is(err, upstream.ErrConnLimit):
		a.End(now, balance.NoCapacity)
		return attemptResult{reason: ConnectionLimit}
	case !upstream.MayHaveRun(err):
		a.End(now, balance.Unreached)
		return attemptResult{reason: TargetUnreached}
	}
	a.End(now, balance.Broken)
	c.sentAttempts++
	c.possibleRuns++
	c.h.Suspects.Broke(c.fingerprint, a.Target.ID, now)
	return attemptResult{reason: AnswerBroken, mayHaveRun: true}
}

// handleResponse handles an answer whose head is there.
func (c *call) handleResponse(a *balance.Attempt, response *upstream.Response) attemptResult {
	if response.Header.Get(c.h.Dialect.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		return c.handleNotRun(a, response)
	}
	c.possibleRuns++
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return c.forwardStream(a, response)
	}
	return c.forwardBuffered(a, response)
}

// handleNotRun handles the answer of a target that has not run the request.
func (c *call) handleNotRun(a *balance.Attempt, response *upstream.Response) attemptResult {
	_, _ = response.ReadWhole(maxRejectionBodyBytes) // only so that the connection can be reused
	now := time.Now()
	switch response.Status {
	case http.StatusMisdirectedRequest:
		a.End(now, balance.Replaced)
		return attemptResult{reason: TargetReplaced}
	case http.StatusBadRequest:
		a.End(now, balance.Served)
		return attemptResult{reason: TargetFailed}
	}
	a.End(now, balance.Rejected)
	return attemptResult{reason: TargetFull}
}

// maxRejectionBodyBytes bounds the body of a rejection, in bytes.
const maxRejectionBodyBytes = 64 << 10
