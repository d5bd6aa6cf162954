package balance

import "time"

// Attempt is one request at one target, from the choice to its end.
type Attempt struct {
	Target   Target
	Load     float64 // of the target when it was chosen
	Rank     int     // of the target in the order of the request's prompt part; 0: the first
	set      *Set
	state    *state
	prompt   int64
	number   uint64
	started  time.Time
	expected time.Duration // to the first byte
	answered bool
	ended    bool
}

// Answered tells that the first byte of an answer is there, with the load that
// the target reports in it, if any.
func (a *Attempt) Answered(now time.Time, load *Load) {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.answered {
		return
	}
	a.answered = true
	a.set.tell(a, 0)
	a.state.pendingPrompt -= a.prompt
	delete(a.state.waiting, a)
	ratio := now.Sub(a.started).Seconds() / a.expected.Seconds()
	a.state.pace += (min(ratio, maxPace) - a.state.pace) * paceWeight
	if load != nil {
		a.state.observe(*load, now)
	}
}

// maxPace bounds one measurement of the pace.
const maxPace = 20

// End tells how the attempt ended. Only the first call counts.
func (a *Attempt) End(now time.Time, o Outcome) {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	s := a.state
	s.inFlight--
	s.finishedSince++
	if !a.answered {
		a.set.tell(a, 0)
		s.pendingPrompt -= a.prompt
		delete(s.waiting, a)
	}
	switch o {
	case Served:
		s.inARow = 0
		s.failures -= s.failures * failureDecay
	case Rejected:
		s.inARow = 0
		s.fullUntil = now.Add(fullPause)
	case Replaced:
		s.replaced = true
	case Failed, Broken, Unreached:
		s.failed(now)
	case Cancelled, NoCapacity:
	}
}
