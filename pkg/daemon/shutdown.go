package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// leaveDelay is how long the daemon continues to accept requests after it reports
// itself as not ready, so that the load balancer can remove it.
const leaveDelay = time.Second

// finalCommitTimeout is how long a daemon without open requests waits until the
// table has stored its last bill lines and closed its grants. After this time the
// daemon stops and the repair role writes the grants off. This costs the customers
// the remaining tokens of the grants, but no answer is lost.
const finalCommitTimeout = 30 * time.Second

// shutdown stops the daemon without interrupting open requests: it reports itself
// as not ready, refuses new requests, waits until the open ones end and their bill
// lines are durable, closes its grants and marks its holder row as stopped.
func (d *Daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainTimeout)
	defer cancel()
	d.lifecycle.fire(triggerLeave)
	d.log.Info().Msg("Graceful stop started; the host is no longer ready.")
	time.Sleep(leaveDelay)
	d.gateway.BeginShutdown()
	d.lifecycle.fire(triggerDrain)
	err := errors.Join(
		wrapError("open requests", d.gateway.AwaitRequests(ctx)),
		wrapError("attempts of other daemons", d.local.AwaitAttempts(ctx)),
	)
	finalCtx, cancelFinal := context.WithTimeout(ctx, finalCommitTimeout)
	defer cancelFinal()
	err = errors.Join(
		err,
		wrapError("callers' connections to close", d.callerServer.Shutdown(finalCtx)),
		wrapError("settlements", d.gateway.AwaitSettlements(finalCtx)),
		wrapError("grants", d.local.Leave(finalCtx)),
		wrapError("the last commit", d.finishCommits(finalCtx)),
	)
	d.lifecycle.fire(triggerStop)
	if err != nil {
		d.log.Error().Err(err).Str("incarnation", d.Incarnation()).Msg("Graceful stop did not complete; the daemon stops nevertheless.")
		return fmt.Errorf("stop: %w", err)
	}
	d.log.Info().Msg("Daemon stopped.")
	return nil
}

func wrapError(step string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("wait for %s: %w", step, err)
}
