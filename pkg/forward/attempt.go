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
	// maxSends bounds the targets that one request is sent to, those included
	// that say that they have not run it.
	maxSends = 4
	// maxUnsent bounds the targets that could not be reached at all.
	maxUnsent = 4
	// minLeft is the shortest time left with which a request is still sent.
	minLeft = 20 * time.Millisecond
)

// step is what follows an attempt.
type step struct {
	done   bool   // the answer is out, or the caller's connection is to be broken off
	reason Reason // why the attempt did not end with an answer to pass on
	ran    bool   // the target may have run the request
	// passed gives the caller the target's failure, for want of a better answer.
	passed func()
}

// forward sends the request to targets until one answers. It returns the
// refusal to send if none does.
func (c *call) forward() *Refusal {
	unsent := 0
	var passed func() // the last answer of a target that may be given up for a better one
	for {
		attempt, err := c.pick()
		if err != nil {
			c.stopped = stopNoTarget
			return c.settleFor(passed, NoTarget)
		}
		c.trail = append(c.trail, attempt.Target.ID)
		s := c.try(attempt)
		if s.done {
			return nil
		}
		c.trail[len(c.trail)-1] += ":" + string(s.reason)
		if s.reason == TargetUnreached || s.reason == ConnectionLimit {
			unsent++
		}
		if s.passed != nil {
			passed = s.passed
		}
		if c.stopped = c.stops(s, unsent); c.stopped != "" {
			return c.settleFor(passed, s.reason)
		}
		c.h.Observer.Retried(s.reason)
	}
}

// settleFor passes on a target's failure if there is one and no part of another
// answer is out, and refuses otherwise.
func (c *call) settleFor(passed func(), r Reason) *Refusal {
	if passed == nil || c.started {
		return c.unanswered(r)
	}
	passed()
	return nil
}

func (c *call) pick() (*balance.Attempt, error) {
	return c.h.Targets.Pick(balance.Request{
		Service:      c.service.Name,
		Parts:        c.parts,
		PromptTokens: c.cost.Prompt,
		OutputTokens: c.outputHint,
		Excluded:     c.excluded,
		Now:          time.Now(),
	})
}

// unanswered returns the answer to a request that no target has answered.
func (c *call) unanswered(r Reason) *Refusal {
	switch {
	case c.r.Context().Err() != nil:
		r = CallerGone
	case c.ctx.Err() != nil:
		r = DeadlinePassed
	}
	if c.ran > 0 {
		return fail(r)
	}
	switch r {
	case TargetFull, ConnectionLimit:
		return refuse(r, spread(afterTargetFull))
	case DeadlinePassed:
		return refuse(r, 0)
	}
	return refuse(r, spread(afterNoTarget))
}

// try sends the request to one target.
func (c *call) try(a *balance.Attempt) step {
	c.excluded = append(c.excluded, a.Target.ID)
	c.sent, c.load, c.rank = time.Now(), a.Load, a.Rank
	response, err := c.h.Client.Send(c.ctx, a.Target.Addr, c.request(a), c.connectionShare())
	if err != nil {
		return c.sendFailed(a, err)
	}
	defer response.Close()
	c.attempts++
	load := c.reportedLoad(response)
	a.FirstByteReceived(time.Now(), load)
	return c.answered(a, response)
}

// connectionShare returns this host's share of a target's connections.
func (c *call) connectionShare() int {
	if c.service.MaxConnections <= 0 {
		return 0
	}
	return max(1, c.service.MaxConnections/c.h.Targets.HostCount())
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

func (c *call) sendFailed(a *balance.Attempt, err error) step {
	now := time.Now()
	if c.ctx.Err() != nil {
		a.End(now, balance.Cancelled)
		if upstream.MayHaveRun(err) {
			c.attempts++
			c.ran++
		}
		return step{reason: DeadlinePassed, ran: upstream.MayHaveRun(err)}
	}
	c.h.Log.Info().Str("request", c.id).Str("target", a.Target.ID).Err(err).Msg("Attempt failed.")
	switch {
	case errors.Is(err, upstream.ErrConnLimit):
		a.End(now, balance.ConnectionLimit)
		return step{reason: ConnectionLimit}
	case !upstream.MayHaveRun(err):
		a.End(now, balance.Unreached)
		return step{reason: TargetUnreached}
	}
	a.End(now, balance.Broken)
	c.attempts++
	c.ran++
	c.h.Suspects.Broke(c.fingerprint, a.Target.ID, now)
	return step{reason: AnswerBroken, ran: true}
}

// answered handles an answer whose head is there.
func (c *call) answered(a *balance.Attempt, response *upstream.Response) step {
	if response.Header.Get(c.h.Dialect.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		return c.notRun(a, response)
	}
	c.ran++
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return c.stream(a, response)
	}
	return c.whole(a, response)
}

// notRun handles the answer of a target that has not run the request.
func (c *call) notRun(a *balance.Attempt, response *upstream.Response) step {
	_, _ = response.ReadWhole(maxRefusalBody) // only so that the connection can be reused
	now := time.Now()
	switch response.Status {
	case http.StatusMisdirectedRequest:
		a.End(now, balance.Replaced)
		return step{reason: TargetReplaced}
	case http.StatusBadRequest:
		a.End(now, balance.Served)
		return step{reason: TargetFailed}
	}
	a.End(now, balance.Rejected)
	return step{reason: TargetFull}
}

// maxRefusalBody bounds the body of a rejection, in bytes.
const maxRefusalBody = 64 << 10
