package nexthop

import "time"

// Outcome says how a request that was forwarded to another host ended.
type Outcome int

// Outcomes of forwarded requests.
const (
	Answered     Outcome = iota
	Cancelled            // the caller has left, or the deadline has passed, before the answer began
	Unreached            // there was no connection, or it ended before the answer began
	NoPath               // the host reaches no target of the service either
	Full                 // the host serves as many requests of other hosts as it can
	Outdated             // the host has no recent configuration
	ShuttingDown         // the host takes no further requests
)

// How long a host gets no further requests after an outcome.
const (
	unreachedBackoff    = time.Second
	fullBackoff         = 50 * time.Millisecond
	outdatedBackoff     = 500 * time.Millisecond
	shuttingDownBackoff = 3 * time.Second
	// lostPathTTL is how long a host counts as one without a path to a service after it has
	// said so. It repeats that while it holds.
	lostPathTTL = 1500 * time.Millisecond
)

// backoff returns how long a host gets no requests of any service after the outcome.
func (o Outcome) backoff() time.Duration {
	switch o {
	case Unreached:
		return unreachedBackoff
	case Full:
		return fullBackoff
	case Outdated:
		return outdatedBackoff
	case ShuttingDown:
		return shuttingDownBackoff
	}
	return 0
}
