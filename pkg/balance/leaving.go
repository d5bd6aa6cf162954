package balance

import "time"

const (
	// leavingTTL is how long it is remembered that a target leaves. It is longer than any
	// target stays up after that, and than an older registration may come back.
	leavingTTL = 10 * time.Minute
	// maxLeaving is the maximum number of targets that are remembered as leaving.
	maxLeaving = 10_000
)

// incarnation identifies one start of a target.
type incarnation struct {
	id   string
	born int64 // Target.Born
}

// RecordLeaving records that a target leaves, as it has told this or another host. It gets
// no further requests, whatever its registration says. born is Target.Born; another start
// of the target is not affected. It reports whether that is news.
func (s *Set) RecordLeaving(id string, born int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordLeaving(incarnation{id, born}, now)
}

// recordLeaving is RecordLeaving for a caller that holds the mutex.
func (s *Set) recordLeaving(i incarnation, now time.Time) bool {
	if _, known := s.leaving[i]; known {
		return false
	}
	for other, since := range s.leaving {
		if now.Sub(since) > leavingTTL {
			delete(s.leaving, other)
		}
	}
	if len(s.leaving) >= maxLeaving {
		return false
	}
	s.leaving[i] = now
	if t := s.byID[i.id]; t != nil && t.Born == i.born {
		t.leaving = true
	}
	return true
}

// Leaving records that the target has said, in its answer, that it leaves. It reports
// whether that is news.
func (a *Attempt) Leaving(now time.Time) bool {
	news := a.set.RecordLeaving(a.Target.ID, a.Target.Born, now)
	if news && a.set.AnnounceLeaving != nil {
		a.set.AnnounceLeaving(a.Target.ID, a.Target.Born)
	}
	return news
}

// LeavingTarget is a target that has said that it leaves.
type LeavingTarget struct {
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"` // Target.Born
}

// LeavingTargets returns the targets that are known to leave, registered or not.
func (s *Set) LeavingTargets(now time.Time) []LeavingTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]LeavingTarget, 0, len(s.leaving))
	for i, since := range s.leaving {
		if now.Sub(since) <= leavingTTL {
			all = append(all, LeavingTarget{ID: i.id, Born: i.born})
		}
	}
	return all
}
