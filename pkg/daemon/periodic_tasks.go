package daemon

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

// periodicTaskInterval is the interval of runPeriodicTasks.
const periodicTaskInterval = time.Second

// runPeriodicTasks updates the metrics, records failed targets and closes
// connections to peers that are no longer live, once per periodicTaskInterval until
// ctx ends.
func (d *Daemon) runPeriodicTasks(ctx context.Context) {
	ticker := time.NewTicker(periodicTaskInterval)
	defer ticker.Stop()
	states := make(targetStates)
	commits := commitCounts{}
	for {
		select {
		case <-ticker.C:
			d.metrics.SetBundle(d.watcher.Version(), d.watcher.Unconfirmed())
			d.metrics.SetPendingSettlements(d.gateway.PendingSettlements())
			d.recordFailedTargets(states)
			d.closeStalePeerConnections()
			commits.update(d.session.Load(), d.metrics)
		case <-ctx.Done():
			return
		}
	}
}

// closeStalePeerConnections closes the connections to daemons that are no longer live.
func (d *Daemon) closeStalePeerConnections() {
	s := d.session.Load()
	if s == nil {
		return
	}
	peers := s.view.Live()
	addrs := make([]string, 0, len(peers))
	for _, p := range peers {
		addrs = append(addrs, p.Addr)
	}
	d.pool.Retain(addrs)
}

func (d *Daemon) logBadRow(key string, err error) {
	d.log.Warn().Err(err).Str("key", key).Msg("Holder row cannot be decoded; it is skipped.")
}

func (d *Daemon) logAdminCall(c admin.Call) {
	d.logs.Logger("admin").Info().Str("operator", c.Operator).Str("method", c.Method).Str("path", c.Path).Int("status", c.Status).Msg("Operator call completed.")
}
