package balance

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

const (
	// reportMaxAge is how long a load report is used.
	reportMaxAge = 2 * time.Second
	// rejectionBackoff is how long a target gets no requests after it has
	// rejected one for lack of capacity.
	rejectionBackoff = 150 * time.Millisecond
	// minQuarantine and maxQuarantine bound the time without requests after
	// consecutive failures. It doubles with each further failure. A single request
	// then probes the target.
	minQuarantine = 300 * time.Millisecond
	maxQuarantine = 3 * time.Second
	// firstByteOverdue is how long an open request may wait for its first byte
	// before the wait counts as a sign that the target is slow.
	firstByteOverdue = time.Second
	// latencyRatioWeight is the weight of a new measurement in the moving average
	// of latencyRatio. For a request whose first byte is overdue, slowness multiplies
	// the ratio of the wait so far to the expected time by the same weight.
	latencyRatioWeight = 0.25
	// failedShareWeight is the weight of one answer in the moving average of
	// failed answers.
	failedShareWeight = 0.1
)

// state is what this host knows about a target from its own requests, the
// target's load reports and the announcements of other hosts.
type state struct {
	Target
	poolScore         uint64                           // rendezvous score for poolOrderKey; targets with lower scores are assigned to the long-prompt pool first
	inFlight          int                              // open requests of this host
	ownPrefillTokens  int64                            // prompt tokens of this host's requests without a first byte
	awaitingFirstByte map[*Attempt]struct{}            // this host's requests without a first byte
	remotePrompts     map[remotePromptKey]remotePrompt // long prompts that other hosts have announced

	report              Load // last load report of the target
	reportedAt          time.Time
	startedSinceReport  int // requests that this host has started since the report
	finishedSinceReport int // requests of this host that have ended since the report

	latencyRatio        float64 // moving average of the time to the first byte relative to the expected time; 1: as expected
	failedShare         float64 // moving average of the share of failed answers
	consecutiveFailures int     // failures since the target last served or rejected a request
	quarantinedUntil    time.Time
	fullUntil           time.Time // end of the back-off after a rejection
	replaced            bool      // another target is at the address
	leaving             bool      // the target has said that it leaves
	evacuated           bool      // the operator wants no requests in the failure domain of the target
	limitedUntil        time.Time // the target has got as many requests as it takes, until this time
	lightLimitedUntil   time.Time // the same for light requests, which get what others leave
	pausedUntil         time.Time // the target wants no requests from this host before this time
}

func newState(t Target) *state {
	return &state{Target: t, poolScore: rendezvous.Score(poolOrderKey, t.ID), latencyRatio: 1, awaitingFirstByte: make(map[*Attempt]struct{}), remotePrompts: make(map[remotePromptKey]remotePrompt)}
}

// load estimates the number of open requests of all hosts at the target.
// hostCount is the number of hosts that send requests to it. Without a recent report,
// every host is assumed to have as many open requests as this one.
func (s *state) load(now time.Time, hostCount int) float64 {
	if now.Sub(s.reportedAt) > reportMaxAge {
		return float64(s.inFlight * hostCount)
	}
	reported := float64(s.report.Running + s.report.Waiting)
	return max(float64(s.inFlight), reported+float64(s.startedSinceReport-s.finishedSinceReport))
}

// available reports whether the target may get a request.
func (s *state) available(now time.Time) bool {
	if s.withdrawn(now) || now.Before(s.fullUntil) {
		return false
	}
	if now.Before(s.quarantinedUntil) {
		return false
	}
	return s.consecutiveFailures < quarantineAfter || s.inFlight == 0 // a single request probes the target
}

// availableDespiteFailures reports whether the target may get a request when no target
// is available. It allows quarantined targets, as they may have recovered.
func (s *state) availableDespiteFailures(now time.Time) bool {
	return !s.withdrawn(now) && !now.Before(s.fullUntil)
}

// withdrawn reports whether the target must get no request of this host.
func (s *state) withdrawn(now time.Time) bool {
	return s.Draining || s.replaced || s.leaving || s.evacuated || now.Before(s.pausedUntil)
}

// unavailableReason returns why the target gets no request, "" if it may get one.
func (s *state) unavailableReason(now time.Time) string {
	if !s.withdrawn(now) && now.Before(s.limitedUntil) {
		return rateLimitedReason
	}
	return s.ineligibleReason(now)
}

// rateLimitedReason is why a target gets no request that its rate limit withholds.
const rateLimitedReason = "rate limited"

// ineligibleReason is unavailableReason without regard to rate limits.
func (s *state) ineligibleReason(now time.Time) string {
	switch {
	case s.leaving:
		return "leaving"
	case s.Draining:
		return "draining"
	case s.evacuated:
		return "evacuated"
	case now.Before(s.pausedUntil):
		return "paused"
	case s.replaced:
		return "replaced"
	case now.Before(s.fullUntil):
		return "full"
	case !s.available(now):
		return "failing"
	}
	return ""
}

// quarantineAfter is the number of consecutive failures from which a target is
// quarantined.
const quarantineAfter = 2

// slowness returns the factor by which the target is slower than expected.
func (s *state) slowness(now time.Time) float64 {
	factor := max(s.latencyRatio, 0.5)
	if len(s.awaitingFirstByte) == 0 {
		return factor
	}
	for a := range s.awaitingFirstByte {
		if waited := now.Sub(a.started); waited > firstByteOverdue {
			factor = max(factor, waited.Seconds()/a.expectedFirstByteTime.Seconds()*latencyRatioWeight)
		}
	}
	return factor
}

func (s *state) applyReport(l Load, now time.Time) {
	s.report, s.reportedAt = l, now
	s.startedSinceReport, s.finishedSinceReport = 0, 0
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

// recordFailure counts a failure of the target and quarantines it after
// quarantineAfter failures in a row.
func (s *state) recordFailure(now time.Time) {
	s.consecutiveFailures++
	s.failedShare += (1 - s.failedShare) * failedShareWeight
	if s.consecutiveFailures >= quarantineAfter {
		quarantine := min(minQuarantine<<min(s.consecutiveFailures-quarantineAfter, 8), maxQuarantine)
		s.quarantinedUntil = now.Add(quarantine)
	}
}
