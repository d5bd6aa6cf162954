package target

import (
	"math/rand/v2"
	"time"
)

// reportJitter spreads the polls of one target by this share of the interval
// in both directions, so that daemons don't poll in step.
const reportJitter = 0.1

// goneFactor lengthens the interval for gone targets that are still listed, so
// that reads that time out don't take the slots of live targets.
const goneFactor = 4

// schedule decides when each target's report is due. It belongs to the owner goroutine.
type schedule struct {
	interval time.Duration
	maxRate  float64 // polls per second; zero: no bound
	polls    map[string]*pollState
}

// pollState is the state of one target's polling.
type pollState struct {
	due    time.Time
	flying bool // a read is in progress
}

func newSchedule(interval time.Duration, maxRate float64) *schedule {
	return &schedule{interval: interval, maxRate: maxRate, polls: make(map[string]*pollState)}
}

// due returns the targets of view whose reports are to be read at now and
// marks them as in progress. Targets that left the view are forgotten.
func (s *schedule) due(view []Status, now time.Time) []Target {
	var due []Target
	for i := range view {
		p := s.state(view[i].Target.ID, now)
		if p.flying || now.Before(p.due) {
			continue
		}
		p.flying = true
		p.due = now.Add(jittered(s.pause(view[i].State, len(view))))
		due = append(due, view[i].Target)
	}
	if len(s.polls) > len(view) {
		s.forget(view)
	}
	return due
}

// state returns the state of a target's polling; a new target is due at now.
func (s *schedule) state(id string, now time.Time) *pollState {
	p, known := s.polls[id]
	if !known {
		p = &pollState{due: now}
		s.polls[id] = p
	}
	return p
}

// pause returns the time until the next poll of a target in a state, if there are n targets.
func (s *schedule) pause(state State, n int) time.Duration {
	pause := s.interval
	if s.maxRate > 0 {
		pause = max(pause, time.Duration(float64(n)/s.maxRate*float64(time.Second)))
	}
	if state == Gone {
		pause *= goneFactor
	}
	return pause
}

// forget drops the targets that are not in view.
func (s *schedule) forget(view []Status) {
	kept := make(map[string]*pollState, len(view))
	for i := range view {
		id := view[i].Target.ID
		kept[id] = s.polls[id]
	}
	s.polls = kept
}

// done notes that the read of a target's report has ended.
func (s *schedule) done(id string) {
	if p, ok := s.polls[id]; ok {
		p.flying = false
	}
}

// jittered returns d changed by up to reportJitter of itself.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + reportJitter*(2*rand.Float64()-1)))
}
