package route

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Bounds and default of the RetryAfter of a refusal, before jitter.
const (
	MinRetryAfter = 200 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// NoTargetRetryAfter is used when no target is usable. The next report or
	// membership list, either of which can make a target usable, arrives after
	// about a second.
	NoTargetRetryAfter = time.Second
)

// retryJitter is the largest random extension of RetryAfter, as a share of it.
// It keeps callers that were refused together from retrying together.
const retryJitter = 0.25

// refuseNoTarget returns the refusal of a request for which no target is
// usable.
func refuseNoTarget(req Request, r Rand) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.NoTarget, "no usable target for service %s", req.Service)
	return e.WithRetryAfter(retryAfter(NoTargetRetryAfter, r))
}

// refuseOverloaded returns the refusal of a request whose queue limit is reached
// at every usable target. untilOpen is the estimated time until one of them
// accepts requests of this priority.
func refuseOverloaded(req Request, untilOpen time.Duration, r Rand) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.Overloaded, "queues of service %s are full for priority %d", req.Service, req.Priority)
	return e.WithRetryAfter(retryAfter(untilOpen, r))
}

// refuseDeadline returns the refusal of a request whose shortest estimated wait
// exceeds the time to its deadline by excess.
func refuseDeadline(wait, excess time.Duration, r Rand) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.Deadline, "estimated wait %s exceeds the deadline", wait.Round(time.Millisecond))
	return e.WithRetryAfter(retryAfter(excess, r))
}

// refuseExpired returns the refusal of a request whose deadline has passed. It
// has no RetryAfter, since a retry with the same deadline cannot succeed.
func refuseExpired() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Deadline, "deadline has passed")
}

// retryAfter limits d to MinRetryAfter and MaxRetryAfter and adds jitter.
func retryAfter(d time.Duration, r Rand) time.Duration {
	d = min(max(d, MinRetryAfter), MaxRetryAfter)
	return time.Duration(float64(d) * (1 + retryJitter*r.Float64()))
}
