package daemon

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/admin"
)

const gaugeInterval = time.Second

// updateGauges keeps the gauges current until ctx ends and closes connections
// to peers that are no longer live.
func (d *Daemon) updateGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.metrics.SetBundle(d.watcher.Version(), d.watcher.Unconfirmed())
			d.metrics.SetPendingSettlements(d.gateway.Pending())
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) badRow(key string, err error) {
	d.log.Warn().Err(err).Str("key", key).Msg("Row cannot be decoded and is skipped.")
}

func (d *Daemon) logAdminCall(c admin.Call) {
	d.logs.Logger("admin").Info().Str("operator", c.Operator).Str("method", c.Method).Str("path", c.Path).Int("status", c.Status).Msg("Operator call.")
}
