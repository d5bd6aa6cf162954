package ratelimit

import (
	"math"
	"time"
)

const (
	// limitTTL is how long a limit is remembered after the target or another host has last
	// stated it. Targets that are gone are not heard of again.
	limitTTL = 10 * time.Minute
	// maxLimits is the maximum number of limits that are remembered.
	maxLimits = 10_000
	// minAnnouncedChange is the relative change of a rate from which other hosts are told at
	// once. A smaller change is announced at most once in announceInterval.
	minAnnouncedChange = 0.1
	announceInterval   = time.Second
)

// entry is a limit with what this host remembers of it.
type entry struct {
	Limit
	changedAt   time.Time // when this host has learned the limit
	heardAt     time.Time // when the target or another host has last stated it
	announced   Limit     // the last statement that was announced
	announcedAt time.Time
}

// table holds the limits that this host knows.
type table map[Target]*entry

// limited returns the limit of a target, false if it has none.
func (t table) limited(target Target) (Limit, bool) {
	e := t[target]
	if e == nil || e.Ended {
		return Limit{}, false
	}
	return e.Limit, true
}

// observe records what the answer to a request says, which this host has sent at the time
// sentAt. It reports whether that is a change. An answer to a request that was sent before the
// host has learned the present limit may be older than the limit and changes nothing.
func (t table) observe(target Target, perSecond float64, named bool, sentAt, now time.Time) (Limit, bool) {
	e := t[target]
	if e == nil {
		if !named {
			return Limit{}, false
		}
		return t.set(Limit{Target: target, PerSecond: perSecond, Revision: 1}, now)
	}
	if e.Ended != named && (e.Ended || e.PerSecond == perSecond) {
		e.heardAt = now
		return e.Limit, false
	}
	if !sentAt.After(e.changedAt) {
		return e.Limit, false
	}
	return t.set(Limit{Target: target, PerSecond: perSecond, Ended: !named, Revision: e.Revision + 1}, now)
}

// receive records a statement of another host. It reports whether that is a change.
func (t table) receive(l Limit, now time.Time) bool {
	e := t[l.Target]
	if !l.valid() || (e == nil && l.Ended) {
		return false
	}
	if e != nil && !l.supersedes(e.Limit) {
		if l.Revision == e.Revision {
			e.heardAt = now
		}
		return false
	}
	_, changed := t.set(l, now)
	return changed
}

// set stores a limit. It reports false if there is no room for it.
func (t table) set(l Limit, now time.Time) (Limit, bool) {
	e := t[l.Target]
	if e == nil {
		if len(t) >= maxLimits {
			t.prune(now)
		}
		if len(t) >= maxLimits {
			return l, false
		}
		e = &entry{}
		t[l.Target] = e
	}
	e.Limit, e.changedAt, e.heardAt = l, now, now
	return l, true
}

// prune removes limits that were not heard of for limitTTL.
func (t table) prune(now time.Time) {
	for target, e := range t {
		if now.Sub(e.heardAt) > limitTTL {
			delete(t, target)
		}
	}
}

// announce reports whether other hosts are to be told of a limit that has changed, and
// remembers that they are.
func (t table) announce(target Target, now time.Time) bool {
	e := t[target]
	small := e.announced.Revision > 0 && e.Ended == e.announced.Ended && math.Abs(e.PerSecond-e.announced.PerSecond) < minAnnouncedChange*e.announced.PerSecond
	if small && now.Sub(e.announcedAt) < announceInterval {
		return false
	}
	e.announced, e.announcedAt = e.Limit, now
	return true
}
