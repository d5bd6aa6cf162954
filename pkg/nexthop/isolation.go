package nexthop

import "time"

const (
	// minUnreachedHosts is the number of hosts that could not be reached, all if there are
	// fewer, without an answer of any since, from which this host takes itself for isolated.
	minUnreachedHosts = 3
	// isolationDelay is the least time for which no host was reached before that.
	isolationDelay = 500 * time.Millisecond
	// isolationTrialInterval is the time between two requests that are forwarded nevertheless,
	// to find out whether other hosts can be reached again.
	isolationTrialInterval = 200 * time.Millisecond
)

// isolation tells whether this host reaches any other one. A request that is forwarded while it
// does not waits for connections that are not established.
type isolation struct {
	unreached map[string]struct{} // names of the hosts that could not be reached since the last answer
	since     time.Time           // when the first of them could not be reached
	triedAt   time.Time           // when a request was last forwarded
}

func (i *isolation) record(host string, o Outcome, now time.Time) {
	switch o {
	case Cancelled:
		return
	case Unreached:
	default:
		clear(i.unreached)
		return
	}
	if len(i.unreached) == 0 {
		i.unreached, i.since = make(map[string]struct{}), now
	}
	i.unreached[host] = struct{}{}
}

// admits reports whether a request may be forwarded. hosts is the number of other hosts.
func (i *isolation) admits(hosts int, now time.Time) bool {
	isolated := hosts > 0 && len(i.unreached) >= min(minUnreachedHosts, hosts) && now.Sub(i.since) >= isolationDelay
	return !isolated || now.Sub(i.triedAt) >= isolationTrialInterval
}
