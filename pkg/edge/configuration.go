package edge

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/watch"
)

// applyConfiguration applies a newer configuration. A configuration that cannot
// be decoded is skipped and the current one stays in force.
func (d *Daemon) applyConfiguration(s watch.State) {
	row, ok := s.Rows[d.layout.ConfigurationKey]
	if !ok || row.Version == d.configurationRowVersion {
		return
	}
	d.configurationRowVersion = row.Version
	next, err := d.layout.DecodeConfiguration(row.Value)
	if err != nil {
		d.log.Error().Err(err).Uint64("row_version", row.Version).Msg("Configuration row cannot be decoded. The current configuration stays in force.")
		return
	}
	current := d.configuration.Load()
	if current != nil && next.Version <= current.Version {
		d.log.Warn().Int64("version", next.Version).Int64("in_force", current.Version).Msg("Configuration ignored: its version is not newer than the one in force.")
		return
	}
	prepaid := make(map[string]int64)
	for _, c := range next.Customers {
		if c.Prepaid != nil {
			prepaid[c.Name] = *c.Prepaid
		}
	}
	d.budgets.SetBudgets(prepaid)
	now := time.Now()
	d.configurationAppliedAt.Store(&now)
	d.configuration.Store(next)
	d.log.Info().Int64("version", next.Version).Int("customers", len(next.Customers)).Msg("Configuration in force.")
}

func (d *Daemon) watchConfiguration(ctx context.Context) {
	watch.New(watch.Options{
		Rows: d.store, Table: d.layout.ConfigurationTable, Wait: configurationPollTimeout, Pause: configurationPollPause,
		Apply: d.applyConfiguration, Log: d.logs.Logger("config"),
	}).Run(ctx)
}
