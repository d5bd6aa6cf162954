package balance

import "time"

// Attempt is one request sent to one target, from the choice of the target to the
// end of the request.
type Attempt struct {
	Target Target
	// Load is the load by which the target was chosen, in requests: its open requests,
	// its prompt tokens yet to be processed and this request, times its slowness.
	Load float64
	// Rank is the position of the target among the candidates in the order of their
	// affinity to the shared prompt part; 0 is the first. It is the number of candidates
	// if the load of all of them exceeded the limit.
	Rank int
	// Light means that the request has a short prompt, while others of the service have long
	// ones. They are worth more of the requests that a target with a rate limit takes.
	Light                 bool
	set                   *Set
	state                 *state
	promptTokens          int64
	number                uint64 // unique on this host
	started               time.Time
	expectedFirstByteTime time.Duration // expected time from the start to the first byte
	announced             bool          // other hosts were told of the prompt
	firstByteReceived     bool
	ended                 bool
}

// Sending records that the request is about to be sent, and announces a long prompt.
func (a *Attempt) Sending() {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	a.announced = true
	a.set.announcePrompt(a, a.promptTokens)
}

// Withhold ends an attempt whose request is not sent, because the target takes no more
// requests at present. The target gets no request of this host for a time.
func (a *Attempt) Withhold(now time.Time, wait time.Duration) {
	a.End(now, Cancelled)
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.Light {
		a.state.lightLimitedUntil = now.Add(wait)
	} else {
		a.state.limitedUntil = now.Add(wait)
	}
}

// FirstByteReceived records that the first byte of the answer has arrived. load is the
// load that the target reports in the answer, if any.
func (a *Attempt) FirstByteReceived(now time.Time, load *Load) {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.firstByteReceived {
		return
	}
	a.firstByteReceived = true
	a.set.path(a.Target.Service).recordReached()
	a.set.announcePrompt(a, 0)
	a.state.ownPrefillTokens -= a.promptTokens
	delete(a.state.awaitingFirstByte, a)
	ratio := now.Sub(a.started).Seconds() / a.expectedFirstByteTime.Seconds()
	a.state.latencyRatio += (min(ratio, maxLatencyRatio) - a.state.latencyRatio) * latencyRatioWeight
	if load != nil {
		a.state.applyReport(*load, now)
	}
}

// SlotsTaken reports whether the target has no slot left for another request: it has just
// rejected one, or as many requests are open as it has slots, which may be unknown.
func (a *Attempt) SlotsTaken(now time.Time) bool {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	s := a.state
	return now.Before(s.fullUntil) || s.Slots > 0 && s.load(now, a.set.hostCount) >= float64(s.Slots)
}

// maxLatencyRatio bounds a single measurement of the latency ratio.
const maxLatencyRatio = 20

// End records how the attempt ended. Only the first call counts.
func (a *Attempt) End(now time.Time, o Outcome) {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	s := a.state
	s.inFlight--
	s.finishedSinceReport++
	if !a.firstByteReceived {
		a.set.announcePrompt(a, 0)
		s.ownPrefillTokens -= a.promptTokens
		delete(s.awaitingFirstByte, a)
	}
	switch o {
	case Served:
		s.consecutiveFailures = 0
		s.failedShare -= s.failedShare * failedShareWeight
	case Rejected:
		s.consecutiveFailures = 0
		s.fullUntil = now.Add(rejectionBackoff)
	case Replaced:
		s.replaced = true
	case Unreached, UnreachedLate:
		s.recordFailure(now)
		a.set.path(a.Target.Service).recordUnreached(a.Target.ID, now, o == UnreachedLate)
	case Failed, Broken:
		s.recordFailure(now)
	case Cancelled, ConnectionLimit:
	}
}
