// Package idle ends calls that make no progress for some time, while calls whose reply
// is large or arrives slowly may continue. A fixed deadline discards the part of such a
// reply that has arrived, and the repeated call transfers it again.
package idle

import (
	"context"
	"time"
)

// timer ends a context unless it is reset in time.
type timer struct {
	parent  *timer // timer of the context that this one derives from; nil: none
	timeout time.Duration
	timer   *time.Timer
}

type timerKey struct{}

// WithTimeout returns a context that ends, with the cause context.DeadlineExceeded,
// when timeout passes without a call of Progress.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &timer{timeout: timeout}
	t.parent, _ = parent.Value(timerKey{}).(*timer)
	t.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, timerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

// WithTimeouts returns the context of WithTimeout, which also ends after total, whether
// there is progress or not.
func WithTimeouts(parent context.Context, timeout, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(parent, total)
	ctx, cancelIdle := WithTimeout(ctx, timeout)
	return ctx, func() {
		cancelIdle()
		cancelTotal()
	}
}

// Progress restarts the timeouts of ctx and of the contexts that it derives from. It
// has no effect on a context that has ended.
func Progress(ctx context.Context) {
	t, _ := ctx.Value(timerKey{}).(*timer)
	for ; t != nil; t = t.parent {
		if t.timer.Stop() { // false: the timeout has passed or the call has ended
			t.timer.Reset(t.timeout)
		}
	}
}
