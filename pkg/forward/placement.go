package forward

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/routing"
)

// PlacementQuery describes a request of which the placement is asked.
type PlacementQuery struct {
	Route        string // name of the route
	Customer     string // name of the customer; "": none
	Parts        []balance.Part
	PromptTokens int64 // 0: the sum of the parts
	OutputTokens int64
}

// Placement is the placement of a request at each service of its route.
type Placement struct {
	Route    string `json:"route"`
	Customer string `json:"customer,omitempty"`
	// Refused is the reason for which this host would refuse the request before it chooses a target,
	// as far as it depends on the query. The request's own budget, body and time are not checked.
	Refused  Reason             `json:"refused,omitempty"`
	Services []ServicePlacement `json:"services,omitempty"`
}

// ServicePlacement is the placement of a request at one service.
type ServicePlacement struct {
	balance.Placement
	Weight  int    `json:"weight"`            // of the service in the route
	Refused Reason `json:"refused,omitempty"` // of a request that this host cannot send to a target of the service
	// RetryAfter is the time until a target takes the request, in seconds; 0: unknown.
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

// Placement returns which target a request would get now, for each service of the route's split.
// Nothing is sent and no state changes.
func (h *Handler) Placement(q PlacementQuery) Placement {
	result := Placement{Route: q.Route, Customer: q.Customer}
	config := h.Configuration()
	if config == nil {
		result.Refused = NoConfiguration
		return result
	}
	route := config.RouteNamed(q.Route)
	if route == nil {
		result.Refused = h.notAllowed(NoRoute)
		return result
	}
	switch {
	case h.ConfigurationOutdated != nil && h.ConfigurationOutdated():
		result.Refused = ConfigurationOutdated
	case q.Customer != "" && !hasCustomer(config, q.Customer), q.Customer == "" && config.RequiresKey() && !route.Anonymous:
		result.Refused = h.notAllowed(UnknownKey)
	case h.hasBlockedPart(q.Parts):
		result.Refused = CrashesTargets
	}
	for _, share := range route.Split {
		if service := config.Service(share.Service); service != nil {
			placement := h.placementAt(service, q)
			placement.Weight = share.Weight
			result.Services = append(result.Services, placement)
		}
	}
	return result
}

// notAllowed returns the reason for which a request is refused that the configuration does not
// allow.
func (h *Handler) notAllowed(r Reason) Reason {
	if h.ConfigurationConfirmed != nil && !h.ConfigurationConfirmed() {
		return ConfigurationUnconfirmed
	}
	return r
}

// hasBlockedPart reports whether a part of a prompt is blocked because it crashes targets. Unlike
// Tracker.IsBlocked, it does not evaluate the latest crashes, as that changes the tracker.
func (h *Handler) hasBlockedPart(parts []balance.Part) bool {
	blocked := h.Crashes.BlockedParts(time.Now())
	return slices.ContainsFunc(partKeys(parts), func(key string) bool { return slices.Contains(blocked, key) })
}

func hasCustomer(config *routing.Configuration, name string) bool {
	return slices.ContainsFunc(config.Customers, func(c *routing.Customer) bool { return c.Name == name })
}

// placementAt returns the placement of a request at one service.
func (h *Handler) placementAt(service *routing.Service, q PlacementQuery) ServicePlacement {
	c := &call{h: h, service: service, parts: q.Parts, outputHint: q.OutputTokens}
	for _, part := range q.Parts {
		c.cost.Prompt += part.Tokens
	}
	c.cost.Prompt = cmp.Or(q.PromptTokens, c.cost.Prompt)
	placement := ServicePlacement{Placement: h.Targets.Explain(c.pickRequest())}
	if h.Targets.PathLost(service.Name, time.Now()) {
		placement.Refused = NoPath
		return placement
	}
	if placement.Err == nil {
		return placement
	}
	placement.Refused = noTargetReason(placement.Err)
	var wait *balance.WaitError
	if errors.As(placement.Err, &wait) {
		placement.RetryAfter = wait.Wait.Seconds()
	}
	return placement
}
