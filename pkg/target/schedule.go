package target

import (
	"math/rand/v2"
	"time"
)

// reportJitter spreads the polls of one target by this share of the interval
// in both directions, so that daemons don't poll in step.
const reportJitter = 0.1

// schedule decides when each target's report is due. It belongs to the owner goroutine.
type schedule struct {
	interval time.Duration
	polls    map[string]poll
}

// poll is the state of one target's polling.
type poll struct {
	due    time.Time
	flying bool // a read is in progress
}

func newSchedule(interval time.Duration) *schedule {
	return &schedule{interval: interval, polls: make(map[string]poll)}
}

// due returns the targets of view whose reports are to be read at now and
// marks them as in progress. Targets that left the view are forgotten.
func (s *schedule) due(view []Status, now time.Time) []Target {
	var due []Target
	polls := make(map[string]poll, len(view))
	for _, status := range view {
		p, known := s.polls[status.Target.ID]
		if !known {
			p.due = now
		}
		if !p.flying && !now.Before(p.due) {
			due = append(due, status.Target)
			p.flying = true
			p.due = now.Add(jittered(s.interval))
		}
		polls[status.Target.ID] = p
	}
	s.polls = polls
	return due
}

// done notes that the read of a target's report has ended.
func (s *schedule) done(id string) {
	if p, ok := s.polls[id]; ok {
		p.flying = false
		s.polls[id] = p
	}
}

// jittered returns d changed by up to reportJitter of itself.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + reportJitter*(2*rand.Float64()-1)))
}
