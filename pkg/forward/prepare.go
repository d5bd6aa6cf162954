package forward

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/peppertrail/peppertrail/pkg/escrow"
)

// Minimum Retry-After of refusals, by cause.
const (
	retryAfterNoConfiguration   = 500 * time.Millisecond
	retryAfterUnconfirmed       = 300 * time.Millisecond
	retryAfterNoTarget          = 300 * time.Millisecond
	retryAfterHostFull          = 300 * time.Millisecond
	retryAfterTargetFull        = 200 * time.Millisecond
	retryAfterNoPath            = 100 * time.Millisecond
	retryAfterShuttingDown      = 100 * time.Millisecond
	retryAfterBudgetUnreachable = 500 * time.Millisecond
)

// setRouteAndDeadline sets the route that matches the request, and the deadline to the
// earlier of the caller's and the route's. It returns a context that ends at the
// deadline or when the caller disconnects. An invalid timeout header is ignored.
func (c *call) setRouteAndDeadline() (context.Context, context.CancelFunc) {
	c.config = c.h.Configuration()
	if c.config != nil {
		c.route = c.config.Match(c.r.Host, requestPath(c.r))
	}
	timeout := time.Duration(0)
	if value := c.r.Header.Get(c.h.Dialect.CallTimeout); value != "" {
		if d, err := c.h.Dialect.ParseTimeout(value); err == nil {
			timeout = d
		}
	}
	if c.route != nil && c.route.Timeout > 0 && (timeout == 0 || c.route.Timeout < timeout) {
		timeout = c.route.Timeout
	}
	if timeout == 0 {
		return context.WithTimeout(c.r.Context(), timeoutWithoutDeadline)
	}
	c.deadline = c.receivedAt.Add(timeout)
	return context.WithDeadline(c.r.Context(), c.deadline)
}

// prepare authenticates and validates the request, chooses the service and
// reserves the tokens. It returns a refusal if the request must not be sent.
func (c *call) prepare() *Refusal {
	if c.h.TooManyConnections != nil && c.h.TooManyConnections(c.r) {
		c.unreadBody = c.hasBody()
		c.w.Header().Set("Connection", "close")
		return refuseNotRun(HostFull, withJitter(retryAfterHostFull))
	}
	if c.config == nil {
		return refuseNotRun(NoConfiguration, retryAfterNoConfiguration)
	}
	if c.config.Version < c.minVersion {
		return refuseNotRun(ConfigurationOutdated, withJitter(retryAfterUnconfirmed))
	}
	if c.configurationOutdated() {
		return c.prepareForHost(ConfigurationOutdated)
	}
	if c.route == nil {
		return c.refuseNotAllowed(NoRoute)
	}
	d := c.h.Dialect
	if c.config.RequiresKey() && !c.route.Anonymous {
		if c.customer = c.config.Customer(c.r.Header.Get(d.Key)); c.customer == nil {
			return c.refuseNotAllowed(UnknownKey)
		}
	}
	if refusal := c.refuseIfCutOff(); refusal != nil {
		return refusal
	}
	if refusal := c.parseCostHeaders(); refusal != nil {
		return refusal
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.setCrashKeys()
	if c.h.Crashes.IsBlocked(c.crashKeys, c.receivedAt) {
		return refuseNotRun(CrashesTargets, retryAfterCrashes)
	}
	c.service = c.config.Service(c.route.Service(splitPosition(c.id)))
	if c.h.Targets.PathLost(c.service.Name, c.receivedAt) {
		c.lacking, c.stoppedBy = NoPath, stopNoPath
		if !c.mayForwardToHost() || !c.h.Hosts.Available(c.service.Name, c.receivedAt) {
			return c.refusalFor(NoPath)
		}
	}
	c.judged = true
	if !c.counted && c.lacking == "" { // the host that the request is forwarded to counts it otherwise
		c.counted = true
		c.h.retryLimit(c.service.Name).CountRequest(c.receivedAt)
	}
	return c.reserveTokens()
}

func (c *call) configurationOutdated() bool {
	return c.h.ConfigurationOutdated != nil && c.h.ConfigurationOutdated()
}

// prepareForHost reads a request that only another host may handle. This host does not judge
// it, as what it knows of routes and customers is outdated.
func (c *call) prepareForHost(lacking Reason) *Refusal {
	if refusal := c.refuseIfCutOff(); refusal != nil {
		return refusal
	}
	c.lacking, c.stoppedBy = lacking, stopOutdated
	return c.readBody()
}

// refuseNotAllowed refuses a request that the configuration does not allow. The refusal is
// final only if the configuration is known to be the current one: otherwise another host may
// have the route or the key already, and the caller is asked to come back.
func (c *call) refuseNotAllowed(r Reason) *Refusal {
	reason := c.h.notAllowed(r)
	if reason == r {
		return refuseNotRun(r, 0)
	}
	if c.h.ConfigurationLate != nil && c.h.ConfigurationLate() && c.h.overloaded() {
		return c.refuseOverloaded(retryAfterUnconfirmed)
	}
	return refuseNotRun(reason, withJitter(retryAfterUnconfirmed))
}

// splitPosition hashes a request id to a number in [0, 1), which selects a service
// of the route's traffic split. It uses 53 bits of the hash, which a float64 holds
// exactly.
func splitPosition(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum64()>>11) / math.Exp2(53)
}

// parseCostHeaders parses the headers for the cost, the prompt parts and the
// expected output. An invalid output hint is ignored.
func (c *call) parseCostHeaders() *Refusal {
	d := c.h.Dialect
	var err error
	if value := c.r.Header.Get(d.Cost); value != "" {
		if c.cost, err = d.ParseCost(value); err != nil {
			return c.refuseHeader(d.Cost, err)
		}
		if c.cost.Prompt > maxCostTokens || c.cost.MaxOutput > maxCostTokens {
			return c.refuseHeader(d.Cost, fmt.Errorf("%q exceeds %d tokens", value, int64(maxCostTokens)))
		}
	}
	if value := c.r.Header.Get(d.PromptParts); value != "" {
		if c.parts, err = d.ParseParts(value); err != nil {
			return c.refuseHeader(d.PromptParts, err)
		}
	}
	c.outputHint = c.cost.MaxOutput
	if hint, err := strconv.ParseInt(c.r.Header.Get(d.OutputHint), 10, 64); err == nil && hint >= 0 {
		c.outputHint = min(hint, c.cost.MaxOutput)
	}
	return nil
}

// maxCostTokens bounds the tokens of a prompt and of an output. The sum of larger numbers
// could overflow and add to a budget.
const maxCostTokens = 1 << 40

// refuseHeader logs a header that cannot be parsed and returns the refusal.
func (c *call) refuseHeader(name string, err error) *Refusal {
	c.h.Log.Warn().Str("request", c.id).Str("header", name).Err(err).Msg("Refused request: header could not be parsed.")
	return refuseNotRun(BadHeader, 0)
}

// setBodyDeadline ends reads of the body at the deadline of the request. The server also
// reads the body of a request that is refused without reading it.
func (c *call) setBodyDeadline(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok && c.hasBody() {
		_ = http.NewResponseController(c.w).SetReadDeadline(deadline) // not supported only by writers without a connection
	}
}

// endBodyDeadline removes the deadline once the body is read, as the server goes on to read
// the connection to notice that the caller disconnects.
func (c *call) endBodyDeadline() {
	if c.hasBody() {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{}) // as above
	}
}

// hasBody reports whether bytes of a body may follow the header.
func (c *call) hasBody() bool { return c.r.ContentLength != 0 }

// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// reserveTokens reserves the maximum cost of the request in the customer's budget.
func (c *call) reserveTokens() *Refusal {
	tokens := c.cost.Prompt + c.cost.MaxOutput
	if c.reservedElsewhere || c.customer == nil || c.customer.Prepaid == nil || tokens == 0 {
		return nil
	}
	reservation, err := c.h.Budgets.Reserve(c.ctx, c.customer.Name, tokens)
	switch {
	case err == nil:
		c.reservation = reservation
		return nil
	case errors.Is(err, escrow.ErrExhausted):
		c.h.Log.Info().Str("request", c.id).Str("customer", c.customer.Name).Int64("tokens", tokens).Err(err).Msg("Refused request: budget of the customer is exhausted.")
		return refuseNotRun(BudgetExhausted, 0)
	}
	c.h.Log.Info().Str("request", c.id).Str("customer", c.customer.Name).Int64("tokens", tokens).Err(err).Msg("Refused request: tokens could not be reserved in the budget of the customer.")
	var unreachable *escrow.UnreachableError
	retryAfter := retryAfterBudgetUnreachable
	if errors.As(err, &unreachable) {
		if unreachable.RetryAfter > 0 {
			retryAfter = unreachable.RetryAfter
		}
		if unreachable.Late && c.h.overloaded() {
			return c.refuseOverloaded(retryAfter)
		}
	}
	return refuseNotRun(BudgetUnreachable, withJitter(retryAfter))
}
