package edge

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Parts of the grace period.
const (
	// balancerDelay is how long the balancer may still send new connections.
	balancerDelay = 2500 * time.Millisecond
	// returnReserve is kept for giving back the shares of budgets.
	returnReserve = 700 * time.Millisecond
	// exitReserve is kept for the end of the process.
	exitReserve = 300 * time.Millisecond
)

// stop lets the balancer take the daemon out, ends open requests, gives the
// unspent budget back and returns before the grace period ends.
func (d *Daemon) stop() error {
	start := time.Now()
	d.leaving.Store(true)
	d.log.Info().Msg("Daemon is leaving.")
	time.Sleep(min(balancerDelay, d.settings.Grace/3))
	requests, cancel := context.WithDeadline(context.Background(), start.Add(d.settings.Grace-returnReserve-exitReserve))
	defer cancel()
	err := d.callers.Shutdown(requests)
	if err != nil {
		err = fmt.Errorf("open requests: %w", err)
	}
	shares, cancel := context.WithDeadline(context.Background(), start.Add(d.settings.Grace-exitReserve))
	defer cancel()
	if leaveErr := d.budgets.Leave(shares); leaveErr != nil {
		err = errors.Join(err, fmt.Errorf("shares: %w", leaveErr))
	}
	if err != nil {
		d.log.Warn().Err(err).Dur("after", time.Since(start)).Msg("Graceful stop incomplete.")
		return nil // the next start recovers the shares
	}
	d.log.Info().Dur("after", time.Since(start)).Msg("Daemon stopped.")
	return nil
}
