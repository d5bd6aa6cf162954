package target

import (
	"math/rand/v2"
	"time"
)

// reportJitter spreads the polls of one target by this share of the interval
// in both directions, so that daemons don't poll in step.
const reportJitter = 0.1

// goneIntervalFactor lengthens the interval for gone targets that are still listed, so
// that reads that time out don't take the slots of live targets.
const goneIntervalFactor = 4

// schedule decides when each target's report is due. It belongs to the owner goroutine.
type schedule struct {
	interval time.Duration
	maxRate  float64 // polls per second; zero: no bound
	polls    map[string]*pollState
}

// pollState is the state of one target's polling.
type pollState struct {
	due        time.Time
	inProgress bool // a read is in progress
}

func newSchedule(interval time.Duration, maxRate float64) *schedule {
	return &schedule{interval: interval, maxRate: maxRate, polls: make(map[string]*pollState)}
}

// startDue returns the targets of view whose reports are to be read at now and
// marks them as in progress. Targets that left the view are forgotten.
func (s *schedule) startDue(view []Status, now time.Time) []Target {
	var due []Target
	for i := range view {
		p := s.pollStateOf(view[i].Target.ID, now)
		if p.inProgress || now.Before(p.due) {
			continue
		}
		p.inProgress = true
		p.due = now.Add(withJitter(s.pollInterval(view[i].State, len(view))))
		due = append(due, view[i].Target)
	}
	if len(s.polls) > len(view) {
		s.removeUnlisted(view)
	}
	return due
}

// pollStateOf returns the pollStateOf of a target's polling; a new target is due at now.
func (s *schedule) pollStateOf(id string, now time.Time) *pollState {
	p, known := s.polls[id]
	if !known {
		p = &pollState{due: now}
		s.polls[id] = p
	}
	return p
}

// pollInterval returns the time until the next poll of a target in a state, if there are n targets.
func (s *schedule) pollInterval(state State, n int) time.Duration {
	interval := s.interval
	if s.maxRate > 0 {
		interval = max(interval, time.Duration(float64(n)/s.maxRate*float64(time.Second)))
	}
	if state == Gone {
		interval *= goneIntervalFactor
	}
	return interval
}

// removeUnlisted drops the targets that are not in view.
func (s *schedule) removeUnlisted(view []Status) {
	kept := make(map[string]*pollState, len(view))
	for i := range view {
		id := view[i].Target.ID
		kept[id] = s.polls[id]
	}
	s.polls = kept
}

// readEnded notes that the read of a target's report has ended.
func (s *schedule) readEnded(id string) {
	if p, ok := s.polls[id]; ok {
		p.inProgress = false
	}
}

// withJitter returns d changed by up to reportJitter of itself.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + reportJitter*(2*rand.Float64()-1)))
}
