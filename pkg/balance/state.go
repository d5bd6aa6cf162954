package balance

import (
	"time"

	"github.com/peppertrail/peppertrail/pkg/rendezvous"
)

const (
	// reportTerm is how long a load report is used.
	reportTerm = 2 * time.Second
	// fullPause keeps requests from a target that has just rejected one for lack of room.
	fullPause = 150 * time.Millisecond
	// firstQuarantine and maxQuarantine bound the time without requests after
	// failures in a row. A single request then probes the target.
	firstQuarantine = 300 * time.Millisecond
	maxQuarantine   = 3 * time.Second
	// silentAfter counts an open request without a first byte as a sign that
	// the target is slow.
	silentAfter = time.Second
	// paceWeight is the weight of a new measurement in the pace of a target.
	paceWeight = 0.25
	// failureDecay is the weight of one answer in the share of failed ones.
	failureDecay = 0.1
)

// state is what this host knows of a target from its own requests.
type state struct {
	Target
	laneRank      uint64
	inFlight      int   // own open requests
	pendingPrompt int64 // prompt tokens of own requests without a first byte
	waiting       map[*Attempt]struct{}
	remote        map[remoteKey]remotePrompt // of other hosts

	report        Load
	reportedAt    time.Time
	startedSince  int // own requests since the report
	finishedSince int

	pace        float64 // time to the first byte relative to the expected one; 1: as expected
	failures    float64 // share of failed answers, decaying
	inARow      int     // failures without an answer between
	quarantined time.Time
	fullUntil   time.Time
	replaced    bool // another target has the address
}

func newState(t Target) *state {
	return &state{Target: t, laneRank: rendezvous.Score(laneKey, t.ID), pace: 1, waiting: make(map[*Attempt]struct{}), remote: make(map[remoteKey]remotePrompt)}
}

// load estimates the requests at the target. hosts is how many hosts send to it.
func (s *state) load(now time.Time, hosts int) float64 {
	if now.Sub(s.reportedAt) > reportTerm {
		return float64(s.inFlight * hosts)
	}
	reported := float64(s.report.Running + s.report.Waiting)
	return max(float64(s.inFlight), reported+float64(s.startedSince-s.finishedSince))
}

// available reports whether the target may get a request.
func (s *state) available(now time.Time) bool {
	if s.Draining || s.replaced || now.Before(s.fullUntil) {
		return false
	}
	if now.Before(s.quarantined) {
		return false
	}
	return s.inARow < quarantineAfter || s.inFlight == 0 // one request probes it
}

// reachable reports whether the target may get a request if no target is
// available: one that is in quarantine may work again.
func (s *state) reachable(now time.Time) bool {
	return !s.Draining && !s.replaced && !now.Before(s.fullUntil)
}

// quarantineAfter is the number of failures in a row that take a target out.
const quarantineAfter = 2

// slowness is the factor by which the target is slower than expected.
func (s *state) slowness(now time.Time) float64 {
	slow := max(s.pace, 0.5)
	for a := range s.waiting {
		if waited := now.Sub(a.started); waited > silentAfter {
			slow = max(slow, waited.Seconds()/a.expected.Seconds()*paceWeight)
		}
	}
	return slow
}

func (s *state) observe(l Load, now time.Time) {
	s.report, s.reportedAt = l, now
	s.startedSince, s.finishedSince = 0, 0
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

// failed counts a failure against the target.
func (s *state) failed(now time.Time) {
	s.inARow++
	s.failures += (1 - s.failures) * failureDecay
	if s.inARow >= quarantineAfter {
		pause := min(firstQuarantine<<min(s.inARow-quarantineAfter, 8), maxQuarantine)
		s.quarantined = now.Add(pause)
	}
}
