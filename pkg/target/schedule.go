package target

import (
	"math/rand/v2"
	"time"
)

// pollJitter is the largest random change of the poll interval in either
// direction, as a share of it. It keeps daemons from polling a target at the
// same time.
const pollJitter = 0.1

// goneIntervalFactor multiplies the poll interval of gone targets that are
// still listed, so that their reads, which time out, do not occupy the read
// slots needed for live targets.
const goneIntervalFactor = 4

// schedule determines when the report of each target is due. Only the goroutine
// that owns the tracker may use it.
type schedule struct {
	interval time.Duration
	maxRate  float64               // polls per second of all targets together; zero: no limit
	polls    map[string]*pollState // by target id
}

// pollState is the polling state of one target.
type pollState struct {
	due        time.Time // time of the next read
	inProgress bool      // a read has started and not ended
}

func newSchedule(interval time.Duration, maxRate float64) *schedule {
	return &schedule{interval: interval, maxRate: maxRate, polls: make(map[string]*pollState)}
}

// startDue returns the targets of view whose reports are due at now and marks
// their reads as in progress. It discards the state of targets that are not in
// view.
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
		s.removeAbsent(view)
	}
	return due
}

// pollStateOf returns the polling state of a target. A new target is due at
// now.
func (s *schedule) pollStateOf(id string, now time.Time) *pollState {
	p, known := s.polls[id]
	if !known {
		p = &pollState{due: now}
		s.polls[id] = p
	}
	return p
}

// pollInterval returns the time between two polls of a target in a state if
// there are n targets.
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

// removeAbsent discards the state of targets that are not in view.
func (s *schedule) removeAbsent(view []Status) {
	kept := make(map[string]*pollState, len(view))
	for i := range view {
		id := view[i].Target.ID
		kept[id] = s.polls[id]
	}
	s.polls = kept
}

// readEnded records that the read of a target's report has ended.
func (s *schedule) readEnded(id string) {
	if p, ok := s.polls[id]; ok {
		p.inProgress = false
	}
}

// withJitter returns d lengthened or shortened at random by up to pollJitter
// of itself.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}
