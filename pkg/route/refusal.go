package route

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/verdict"
)

// Limits of the retry time sent with a refusal.
const (
	MinRetryAfter = 200 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// NoTargetRetryAfter is the retry time when no target is usable. A target
	// becomes usable with its next report or membership list, which take about a second.
	NoTargetRetryAfter = time.Second
)

// retryJitter lengthens retry times by up to this share of themselves, so
// that callers refused together don't return together.
const retryJitter = 0.25

// refuseNoTarget refuses a request because no target is usable.
func refuseNoTarget(req Request, r Rand) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.NoTarget, "no usable target for service %s", req.Service)
	return e.After(retryAfter(NoTargetRetryAfter, r))
}

// refuseOverloaded refuses a request because all queues open to its priority are full for d.
func refuseOverloaded(req Request, untilOpen time.Duration, r Rand) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.Overloaded, "queues of service %s are full for priority %d", req.Service, req.Priority)
	return e.After(retryAfter(untilOpen, r))
}

// refuseDeadline refuses a request whose deadline falls d before the shortest estimated wait ends.
func refuseDeadline(wait, excess time.Duration, r Rand) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.Deadline, "estimated wait %s exceeds the deadline", wait.Round(time.Millisecond))
	return e.After(retryAfter(excess, r))
}

// refuseExpired refuses a request whose deadline has passed. A retry with the same deadline can't help.
func refuseExpired() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Deadline, "deadline has passed")
}

// retryAfter bounds d and adds jitter.
func retryAfter(d time.Duration, r Rand) time.Duration {
	d = min(max(d, MinRetryAfter), MaxRetryAfter)
	return time.Duration(float64(d) * (1 + retryJitter*r.Float64()))
}
