package ratelimit

import "time"

// WarmUp is the rate of a target that has just started, or is slow again, until it is warm.
type WarmUp struct {
	PerSecond float64   // requests per second that it takes from all hosts together
	Until     time.Time // when it is warm, by the clock of this host
}

// SetWarmUps replaces the targets that warm up. All hosts read them from the registrations, so
// they are not announced. A target that names a limit as well gets the lower of both rates.
//
// Load: a target that comes back while the others are busy is the least loaded one for every
// host at the same time, and would get hundreds of requests in its first second.
func (l *Limiter) SetWarmUps(warmUps map[Target]WarmUp, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(warmUps) == 0 && len(l.warmUps) == 0 {
		return
	}
	l.warmUps = warmUps
	l.updateLimited(now)
}

// limitOf returns the limit of a target at a time, false if it has none. The limit of a target
// that only warms up has no revision, so that hosts do not take it for the target's own word.
// The caller holds the mutex.
func (l *Limiter) limitOf(t Target, now time.Time) (Limit, bool) {
	limit, limited := l.limits.limited(t)
	warmUp, warming := l.warmUps[t]
	if !warming || !now.Before(warmUp.Until) || limited && limit.PerSecond <= warmUp.PerSecond {
		return limit, limited
	}
	return Limit{Target: t, PerSecond: warmUp.PerSecond}, true
}
