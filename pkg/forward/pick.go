package forward

import (
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/ratelimit"
)

// maxPermitCalls is the number of calls for permits after which a request goes only to targets
// without a limit. Each call takes a few milliseconds.
const maxPermitCalls = 6

// pickTarget chooses a target that the request may be sent to now. A target that names a limit
// of its requests is chosen only with a permit.
func (c *call) pickTarget() (*balance.Attempt, error) {
	request := c.pickRequest()
	calls := 0
	for {
		attempt, err := c.h.Targets.Pick(request)
		if err != nil {
			return nil, err
		}
		wait, asked := c.h.RateLimits.Acquire(c.ctx, limitedTarget(attempt.Target), attempt.Light)
		if wait == 0 {
			attempt.Sending()
			return attempt, nil
		}
		request.Now = time.Now()
		attempt.Withhold(request.Now, wait)
		request.Excluded = append(request.Excluded, attempt.Target.ID)
		if calls += asked; calls >= maxPermitCalls {
			request.ExcludeRateLimited = true
		}
	}
}

func (c *call) pickRequest() balance.Request {
	limit := c.targetConnectionLimit()
	return balance.Request{
		Service:      c.service.Name,
		Parts:        c.parts,
		PromptTokens: c.cost.Prompt,
		OutputTokens: c.outputHint,
		Excluded:     slices.Clone(c.excluded),
		Now:          time.Now(),
		RateLimited:  c.h.rateLimited(),
		Reachable:    func(t balance.Target) bool { return c.h.Client.Available(t.Addr, limit) },
	}
}

// rateLimited returns a function that tells the targets that name a limit of their requests,
// nil if none does.
func (h *Handler) rateLimited() func(balance.Target) bool {
	limits := h.RateLimits.Limited()
	if len(limits) == 0 {
		return nil
	}
	return func(t balance.Target) bool {
		_, limited := limits[limitedTarget(t)]
		return limited
	}
}

func limitedTarget(t balance.Target) ratelimit.Target {
	return ratelimit.Target{ID: t.ID, Born: t.Born}
}
