package edge

import (
	"context"
	"strings"
	"time"

	"github.com/peppertrail/peppertrail/pkg/gossip"
	"github.com/peppertrail/peppertrail/pkg/pause"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/watch"
)

const (
	// configurationFanout is the number of hosts that a host tells of a new configuration when
	// it puts it into force. As each of them does the same, about 99 in 100 hosts hear of it.
	configurationFanout = 5
	// configurationRepeatTime is how long a host goes on telling others of a new configuration,
	// configurationRepeatFanout of them each configurationRepeatInterval.
	configurationRepeatTime     = 10 * time.Second
	configurationRepeatInterval = time.Second
	configurationRepeatFanout   = 2
)

// applyOperatorRows applies what the operator has written.
func (d *Daemon) applyOperatorRows(s watch.State) error {
	d.applyEvacuations(s)
	if row, ok := s.Rows[d.layout.ConfigurationKey]; ok {
		d.applyConfiguration(row)
	}
	return nil
}

// applyEvacuations withdraws the targets of the failure domains that are evacuated.
func (d *Daemon) applyEvacuations(s watch.State) {
	evacuated := make(map[string]bool)
	for key := range s.Rows {
		if domain, ok := strings.CutPrefix(key, d.layout.EvacuationPrefix); ok {
			evacuated[domain] = true
		}
	}
	d.targets.SetEvacuated(evacuated)
	for _, row := range s.Changed {
		if domain, ok := strings.CutPrefix(row.Key, d.layout.EvacuationPrefix); ok {
			d.log.Info().Str("failure_domain", domain).Bool("evacuated", evacuated[domain]).Msg("Evacuation of a failure domain changed.")
		}
	}
}

// applyConfiguration applies a newer configuration, from the store or another host. A
// configuration that cannot be decoded is skipped and the current one stays in force. It reports
// whether the row was another one than the one read last.
//
// Which of two configurations is newer is decided by the version that the operator gave them:
// a store that has returned from an older copy gives their rows other versions.
func (d *Daemon) applyConfiguration(row storage.PartRow) (changed bool) {
	d.configurationMu.Lock()
	defer d.configurationMu.Unlock()
	if row.Version == d.configurationRowVersion {
		return false
	}
	d.configurationRowVersion = row.Version
	next, err := d.layout.DecodeConfiguration(row.Value)
	if err != nil {
		d.log.Error().Err(err).Uint64("row_version", row.Number).Msg("Configuration row cannot be decoded. The current configuration stays in force.")
		return true
	}
	current := d.configuration.Load()
	if current != nil && next.Version <= current.Version {
		d.log.Info().Int64("version", next.Version).Int64("in_force", current.Version).Msg("Configuration ignored: its version is not newer than the one in force.")
		return true
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
	d.configurationInForce.Store(&row)
	behind := d.configurationLag.applied(next.Version, now)
	d.log.Info().Int64("version", next.Version).Int("customers", len(next.Customers)).Dur("behind", behind).Msg("Configuration in force.")
	if d.gossip != nil {
		d.gossip.SetConfigurationVersion(next.Version)
		d.gossip.SendToSome(gossip.Message{}, configurationFanout)
	}
	return true
}

func (d *Daemon) watchConfiguration(ctx context.Context) {
	watch.New(watch.Options{
		Rows: d.store, Table: d.layout.ConfigurationTable, Wait: configurationPollTimeout, Pause: configurationPollPause,
		Apply: d.applyOperatorRows, Confirmed: d.recordConfirmation, Log: d.logs.Logger("config"),
	}).Run(ctx)
}

func (d *Daemon) recordConfirmation() {
	now := time.Now()
	d.configurationReadAt.Store(&now)
	if d.configurationLag.confirmed() {
		d.log.Warn().Msg("Newer configuration that another host has named is not in the store. It is forgotten.")
	}
}

// configurationConfirmed reports whether the store has confirmed the configuration within
// configurationMaxAge, and no other host has a newer one.
func (d *Daemon) configurationConfirmed() bool {
	at := d.configurationReadAt.Load()
	return d.configurationBehind() == 0 && at != nil && time.Since(*at) <= configurationMaxAge
}

// configurationLate reports whether the configuration is not confirmed because a response of the
// store is late: it has confirmed none for configurationMaxAge, or the newer one that another host
// has named has not arrived for so long that this host must not act by its own.
func (d *Daemon) configurationLate() bool {
	at := d.configurationReadAt.Load()
	return at == nil || time.Since(*at) > configurationMaxAge || d.configurationOutdated()
}

// hearConfigurationVersion records the version of the configuration that another host has.
func (d *Daemon) hearConfigurationVersion(m gossip.Message) {
	current := d.configuration.Load()
	if current == nil || !d.configurationLag.hear(m.Host, m.ConfigurationVersion, current.Version, time.Now()) {
		return
	}
	d.log.Info().Str("peer", m.Host).Int64("newer", m.ConfigurationVersion).Int64("in_force", current.Version).Msg("Another host has a newer configuration.")
	select {
	case d.newerNamed <- struct{}{}:
	default: // one is being read
	}
}

// configurationBehind returns for how long this host has known that another one has a newer
// configuration, 0 if none has.
func (d *Daemon) configurationBehind() time.Duration { return d.configurationLag.behind(time.Now()) }

// configurationOutdated reports whether another host has had a newer configuration for so long
// that this host must not act by its own. That is half of the time in which a change must be in
// force everywhere: the news may have been late.
func (d *Daemon) configurationOutdated() bool {
	return d.configurationBehind() >= d.settings.ConfigurationTime/2
}

// repeatConfigurationVersion tells random hosts the version of the configuration for some time
// after a change, as datagrams may be lost.
func (d *Daemon) repeatConfigurationVersion(ctx context.Context) {
	for ctx.Err() == nil {
		appliedAt := d.configurationAppliedAt.Load()
		if d.gossip != nil && appliedAt != nil && time.Since(*appliedAt) < configurationRepeatTime {
			d.gossip.SendToSome(gossip.Message{}, configurationRepeatFanout)
		}
		pause.For(ctx, configurationRepeatInterval)
	}
}
