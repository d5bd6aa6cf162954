package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/peppertrail/peppertrail/pkg/forward"
	"github.com/peppertrail/peppertrail/pkg/ingress"
)

// How the grace period is divided.
const (
	// drainDelay is how long the load balancer may still send new connections after
	// the daemon has become not ready.
	drainDelay = 2500 * time.Millisecond
	// shareReturnReserve is the time reserved for returning budget shares.
	shareReturnReserve = 700 * time.Millisecond
	// exitReserve is the time reserved for the exit of the process.
	exitReserve = 300 * time.Millisecond
)

// shutdown makes the daemon not ready, waits until the load balancer sends no new
// connections, completes open requests and returns unspent budget shares. Requests that may not
// have ended in time are refused meanwhile. It returns before the grace period ends.
func (d *Daemon) shutdown() error {
	start := time.Now()
	ends := start.Add(d.settings.GracePeriod - shareReturnReserve - exitReserve)
	d.stop.Store(&forward.Stop{Ends: ends})
	d.log.Info().Msg("Daemon is shutting down: readiness checks fail from now on.")
	time.Sleep(min(drainDelay, d.settings.GracePeriod/3))
	d.stop.Store(&forward.Stop{Ends: ends, Strict: true})
	requestsCtx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	err := d.drain(requestsCtx)
	sharesCtx, cancel := context.WithDeadline(context.Background(), start.Add(d.settings.GracePeriod-exitReserve))
	defer cancel()
	if leaveErr := d.budgets.Leave(sharesCtx); leaveErr != nil {
		err = errors.Join(err, fmt.Errorf("return budget shares: %w", leaveErr))
	}
	if err != nil {
		d.log.Warn().Err(err).Dur("after", time.Since(start)).Msg("Graceful shutdown incomplete. Budget shares that were not returned are recovered after the next start.")
		return nil // the next start recovers the shares
	}
	d.log.Info().Dur("after", time.Since(start)).Msg("Daemon stopped.")
	return nil
}

// drain completes the open requests of callers and of other hosts. It returns the error of ctx
// if ctx ends first.
func (d *Daemon) drain(ctx context.Context) error {
	ofHosts := make(chan error, 1)
	go func() { ofHosts <- drainListener(ctx, d.hostRequests) }()
	return errors.Join(drainListener(ctx, d.callers), <-ofHosts)
}

func drainListener(ctx context.Context, l *ingress.Listener) error {
	if l == nil {
		return nil
	}
	if err := l.Drain(ctx); err != nil {
		return fmt.Errorf("complete open requests, %d connections are left: %w", l.Open(), err)
	}
	return nil
}
