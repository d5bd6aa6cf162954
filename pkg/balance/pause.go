package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// MaxPause bounds the pause that a target may ask for.
	MaxPause = 5 * time.Minute
	// resumeSpread is the part of a pause over which the hosts come back after its end, at
	// most maxResumeSpread: the target would otherwise get the requests of all hosts that
	// it has sent away together at once.
	resumeSpread    = 0.25
	maxResumeSpread = time.Second
)

// ErrNoTarget means that no target of the service can take the request.
var ErrNoTarget = errors.New("no target available")

// ErrNoConnection means that this host has no connection left to any target that can take
// the request.
var ErrNoConnection = fmt.Errorf("%w: the connection limits of all targets are reached", ErrNoTarget)

// Pause records that the target wants no requests from this host for a time, at most
// MaxPause.
func (a *Attempt) Pause(now time.Time, d time.Duration) {
	a.set.mu.Lock()
	defer a.set.mu.Unlock()
	d = min(d, MaxPause)
	spread := min(time.Duration(resumeSpread*float64(d)), maxResumeSpread)
	until := now.Add(d + time.Duration(rand.Float64()*float64(spread)))
	if until.After(a.state.pausedUntil) {
		a.state.pausedUntil = until
	}
}

// noTarget returns the error of a request for which no target is left. The caller holds
// the mutex.
func (s *Set) noTarget(r *Request) error {
	first := &WaitError{Service: r.Service}
	for _, t := range s.services[r.Service] {
		if t.Draining || t.leaving || t.evacuated {
			continue
		}
		paused, limited := t.pausedUntil.Sub(r.Now), time.Duration(0)
		if r.rateLimited(t) {
			limited = t.limitedFor(r).Sub(r.Now)
		}
		if left := max(paused, limited); left > 0 && (first.Wait == 0 || left < first.Wait) {
			first.Wait, first.RateLimited = left, limited > paused
		}
	}
	if first.Wait > 0 {
		return first
	}
	return ErrNoTarget
}
