package forward

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/routing"
)

// Stop describes a host that shuts down.
type Stop struct {
	Ends time.Time // open requests are cut off then
	// Strict means that only requests whose deadline is before Ends are taken. Before, those
	// that are expected to end in time are taken as well: callers still come in numbers.
	Strict bool
}

// unsafeTimeFactor multiplies the longest time of recent answers for requests that may run only
// once: their callers cannot repeat them if they are cut off.
const unsafeTimeFactor = 2

// shuttingDown reports whether the host is shutting down.
func (h *Handler) shuttingDown() bool { return h.Stop != nil && h.Stop() != nil }

// refuseIfCutOff refuses a request that may not have ended when a host that shuts down cuts off
// the open ones.
func (c *call) refuseIfCutOff() *Refusal {
	if !c.h.shuttingDown() || c.endsBefore(c.h.Stop()) {
		return nil
	}
	return refuseNotRun(ShuttingDown, withJitter(retryAfterShuttingDown))
}

func (c *call) endsBefore(s *Stop) bool {
	left := s.Ends.Sub(c.receivedAt)
	if c.remaining(c.receivedAt) <= left {
		return true
	}
	if c.route == nil {
		return false
	}
	expected, known := c.h.answerTimes.longest(c.route.Name)
	if c.route.Kind == routing.Unsafe {
		expected *= unsafeTimeFactor
	}
	return known && !s.Strict && expected <= left
}
