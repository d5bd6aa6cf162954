package rowstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// Limits are the transaction rates that a store accepts; 0: no limit.
type Limits struct {
	WritesPerSecond     int // transactions above this rate fail with storage.ErrThrottled
	PartWritesPerSecond int // transactions on one part are delayed to this rate, or refused if the delay exceeds maxPartWait
}

// maxPartWait is the longest time that a transaction waits for earlier transactions
// on its part.
const maxPartWait = time.Second

// limiter enforces the limits.
type limiter struct {
	mu          sync.Mutex
	limits      Limits
	windowStart time.Time
	writes      int                  // transactions since windowStart
	nextFree    map[string]time.Time // time at which each part can take its next transaction
	refused     int
}

// SetLimits replaces the limits.
func (s *Store) SetLimits(l Limits) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.limits, s.limiter.nextFree = l, make(map[string]time.Time)
}

// Refused returns how many transactions the limits have refused.
func (s *Store) Refused() int {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.refused
}

// admit waits until the limits allow a transaction. It returns
// storage.ErrThrottled if they refuse it, and an error that wraps
// storage.ErrUnavailable if ctx is done first.
func (l *limiter) admit(ctx context.Context, part string) error {
	wait, ok := l.reserve(time.Now(), part)
	if !ok {
		return storage.ErrThrottled
	}
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, ctx.Err())
	}
}

// reserve counts a transaction and returns how long it must wait, or false if the
// limits refuse it.
func (l *limiter) reserve(now time.Time, part string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.writes = now, 0
	}
	l.writes++
	if l.limits.WritesPerSecond > 0 && l.writes > l.limits.WritesPerSecond {
		l.refused++
		return 0, false
	}
	if l.limits.PartWritesPerSecond == 0 {
		return 0, true
	}
	wait := max(0, l.nextFree[part].Sub(now))
	if wait > maxPartWait {
		l.refused++
		return 0, false
	}
	interval := time.Second / time.Duration(l.limits.PartWritesPerSecond)
	l.nextFree[part] = now.Add(wait + interval)
	return wait + interval, true
}
