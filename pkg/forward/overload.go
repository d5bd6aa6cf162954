package forward

import "time"

// retryAfterOverloaded is the minimum Retry-After of requests that are refused because a
// connection or a configuration is late. The averages of the link's use fall within 150 ms.
const retryAfterOverloaded = 300 * time.Millisecond

// overloaded reports whether this host has measured lately that its link is saturated.
func (h *Handler) overloaded() bool { return h.Overloaded != nil && h.Overloaded() }

// causedByOverload reports whether a request that has not run is refused for reason r because
// responses to this host are late while its own link is saturated. Reasons that hold regardless
// of the link stay.
func (c *call) causedByOverload(r Reason) bool {
	switch r {
	case ConfigurationOutdated, ConnectionLimit:
		// Connections stay taken while bodies and responses wait for the link.
	case NoPath:
		if !c.h.Targets.PathLate(c.serviceName(), time.Now()) {
			return false
		}
	case RateLimited:
		if !c.h.RateLimits.PermitsLate(time.Now()) {
			return false
		}
	case TargetUnreached:
		if !c.unreachedLate {
			return false
		}
	default:
		return false
	}
	return c.h.overloaded()
}

// refuseOverloaded refuses a request that has not run. The caller's next connection may go to
// another host.
func (c *call) refuseOverloaded(retryAfter time.Duration) *Refusal {
	c.w.Header().Set("Connection", "close")
	return refuseNotRun(Overloaded, withJitter(retryAfter))
}
