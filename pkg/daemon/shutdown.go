package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// leaveDelay is how long the daemon still accepts requests after it stopped
// being ready, so that the balancer can take it out.
const leaveDelay = time.Second

// storeGrace is how long a daemon without open requests waits for the table to
// take its last lines and close its grants. Beyond it the repair role writes
// the grants off, which costs the customers the remainders, not an answer.
const storeGrace = 30 * time.Second

// shutdown stops the daemon without cutting off a request: it leaves the
// balancer, refuses new requests, lets open ones end, waits until their lines
// are durable, closes its grants and marks its holder row as stopped.
func (d *Daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainTimeout)
	defer cancel()
	d.life.fire(triggerLeave)
	d.log.Info().Msg("Host is leaving.")
	time.Sleep(leaveDelay)
	d.gateway.BeginShutdown()
	d.life.fire(triggerDrain)
	err := errors.Join(
		wrap("open requests", d.gateway.AwaitRequests(ctx)),
		wrap("attempts of other daemons", d.local.AwaitAttempts(ctx)),
	)
	final, stop := context.WithTimeout(ctx, storeGrace)
	defer stop()
	err = errors.Join(
		err,
		wrap("callers' connections", d.callers.Shutdown(final)),
		wrap("settlements", d.gateway.AwaitSettlements(final)),
		wrap("grants", d.local.Leave(final)),
		wrap("last commit", d.finishCommits(final)),
	)
	d.life.fire(triggerStop)
	if err != nil {
		d.log.Error().Err(err).Str("incarnation", d.Incarnation()).Msg("Graceful stop incomplete.")
		return fmt.Errorf("stop: %w", err)
	}
	d.log.Info().Msg("Daemon stopped.")
	return nil
}

func wrap(part string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", part, err)
}
