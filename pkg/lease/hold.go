package lease

import (
	"context"
	"errors"
	"time"
)

// releaseTimeout bounds the call that releases a role after its work has ended.
const releaseTimeout = time.Second

// Hold runs work whenever this daemon holds the role, until ctx ends. Once per
// interval it tries to acquire the role or renews the lease; the interval must
// be well below the TTL.
//
// The context of work ends when the lease is lost or expires without a
// renewal; work must then return. If work returns earlier, the role is released
// and acquired again after the interval. The lease passed to work has the
// current fencing number, but its version changes with each renewal: Held
// returns the current one.
func Hold(ctx context.Context, lessor Lessor, role string, interval time.Duration, work func(ctx context.Context, lease Lease)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if lease, err := lessor.Acquire(ctx, role); err == nil {
			runUnderLease(ctx, lessor, lease, ticker.C, work)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// runUnderLease runs work until it returns or the lease ends, then releases the
// role.
func runUnderLease(ctx context.Context, lessor Lessor, lease Lease, ticks <-chan time.Time, work func(ctx context.Context, lease Lease)) {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	expiry := time.AfterFunc(time.Until(lease.Expires), cancel)
	defer expiry.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		work(workCtx, lease)
	}()
	renewPeriodically(workCtx, lessor, lease.Role, ticks, ended, expiry)
	cancel()
	<-ended
	release(ctx, lessor, lease.Role)
}

// renewPeriodically renews the lease at each tick until ctx ends, work has ended
// or the lease is lost. expiry ends ctx unless it is reset by a renewal.
func renewPeriodically(ctx context.Context, lessor Lessor, role string, ticks <-chan time.Time, ended <-chan struct{}, expiry *time.Timer) {
	for {
		select {
		case <-ticks:
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
		lease, err := lessor.Renew(ctx, role)
		if errors.Is(err, ErrLost) || errors.Is(err, ErrNotHeld) || errors.Is(err, ErrBadRow) {
			return
		}
		if err == nil {
			expiry.Reset(time.Until(lease.Expires))
		}
	}
}

// release releases the role even if ctx has ended. Errors are ignored: the
// role then becomes free after the TTL.
func release(ctx context.Context, lessor Lessor, role string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = lessor.Release(ctx, role)
}
