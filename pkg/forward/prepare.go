package forward

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/escrow"
)

// Times after which a refused caller may come back.
const (
	afterNoConfiguration = 500 * time.Millisecond
	afterNoTarget        = 300 * time.Millisecond
	afterTargetFull      = 200 * time.Millisecond
	afterBudget          = 500 * time.Millisecond
)

// admitted returns the context of the request: it ends at the deadline and when
// the caller leaves.
func (c *call) admitted() (context.Context, context.CancelFunc) {
	c.config = c.h.Configuration()
	if c.config != nil {
		c.route = c.config.Match(c.r.Host, path(c.r))
	}
	wait := time.Duration(0)
	if value := c.r.Header.Get(c.h.Dialect.Deadline); value != "" {
		if d, err := c.h.Dialect.ParseDeadline(value); err == nil {
			wait = d
		}
	}
	if c.route != nil && c.route.Timeout > 0 && (wait == 0 || c.route.Timeout < wait) {
		wait = c.route.Timeout
	}
	if wait == 0 {
		return context.WithCancel(c.r.Context())
	}
	c.deadline = c.arrived.Add(wait)
	return context.WithDeadline(c.r.Context(), c.deadline)
}

// prepare checks the request and takes its cost from the customer's budget. It
// returns the refusal of a request that has not been sent.
func (c *call) prepare() *Refusal {
	if c.config == nil {
		return refuse(NoConfiguration, afterNoConfiguration)
	}
	if c.route == nil {
		return refuse(NoRoute, 0)
	}
	d := c.h.Dialect
	c.id = c.r.Header.Get(d.RequestID)
	if c.config.RequiresKey() && !c.route.Anonymous {
		if c.customer = c.config.Customer(c.r.Header.Get(d.Key)); c.customer == nil {
			return refuse(UnknownKey, 0)
		}
	}
	if refusal := c.readHeaders(); refusal != nil {
		return refusal
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.fingerprint = c.requestFingerprint()
	if c.h.Suspects.Crashes(c.fingerprint, c.arrived) {
		return refuse(CrashesTargets, afterCrashes)
	}
	c.service = c.config.Service(c.route.Service(position(c.id)))
	c.h.limit(c.service.Name).Observe(c.arrived)
	return c.reserve()
}

// position spreads request ids evenly over [0, 1).
func position(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum64()>>11) / math.Exp2(53)
}

// readHeaders decodes what the request says of its cost.
func (c *call) readHeaders() *Refusal {
	d := c.h.Dialect
	var err error
	if value := c.r.Header.Get(d.Cost); value != "" {
		if c.cost, err = d.ParseCost(value); err != nil {
			return c.badHeader(d.Cost, err)
		}
	}
	if value := c.r.Header.Get(d.PromptParts); value != "" {
		if c.parts, err = d.ParseParts(value); err != nil {
			return c.badHeader(d.PromptParts, err)
		}
	}
	c.outputHint = c.cost.MaxOutput
	if hint, err := strconv.ParseInt(c.r.Header.Get(d.OutputHint), 10, 64); err == nil && hint >= 0 {
		c.outputHint = min(hint, c.cost.MaxOutput)
	}
	return nil
}

func (c *call) badHeader(name string, err error) *Refusal {
	c.h.Log.Warn().Str("request", c.id).Str("header", name).Err(err).Msg("Header unreadable.")
	return refuse(BadHeader, 0)
}

// readBody reads the whole body, so that the request can be sent again.
func (c *call) readBody() *Refusal {
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(BodyTooLarge, 0)
	case err != nil:
		return refuse(BodyUnread, 0)
	}
	c.body = body
	return nil
}

// defaultBodyBytes bounds bodies where the configuration does not.
const defaultBodyBytes = 4 << 20

// reserve takes the largest cost of the request from the budget.
func (c *call) reserve() *Refusal {
	tokens := c.cost.Prompt + c.cost.MaxOutput
	if c.customer == nil || c.customer.Prepaid == nil || tokens == 0 {
		return nil
	}
	reservation, err := c.h.Budgets.Reserve(c.ctx, c.customer.Name, tokens)
	switch {
	case err == nil:
		c.reservation = reservation
		return nil
	case errors.Is(err, escrow.ErrExhausted):
		c.h.Log.Info().Str("request", c.id).Str("customer", c.customer.Name).Int64("tokens", tokens).Err(err).Msg("Budget exhausted.")
		return refuse(BudgetExhausted, 0)
	}
	c.h.Log.Info().Str("request", c.id).Str("customer", c.customer.Name).Int64("tokens", tokens).Err(err).Msg("Budget out of reach.")
	var unreachable *escrow.UnreachableError
	if errors.As(err, &unreachable) && unreachable.RetryAfter > 0 {
		return refuse(BudgetUnreachable, spread(unreachable.RetryAfter))
	}
	return refuse(BudgetUnreachable, spread(afterBudget))
}
