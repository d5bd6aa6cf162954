package edge

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/watch"
)

// applyTargets applies changed registrations and passes all registered targets to
// the balancer.
func (d *Daemon) applyTargets(s watch.State) {
	for _, row := range s.Changed {
		if row.Deleted {
			if t, known := d.decodedTargets[row.Key]; known {
				d.log.Info().Str("target", row.Key).Str("service", t.Service).Msg("Target deregistered.")
			}
			delete(d.decodedTargets, row.Key)
			continue
		}
		t, err := d.layout.DecodeTarget(row.Key, row.Value)
		if err != nil {
			d.log.Error().Err(err).Str("target", row.Key).Bool("draining", t.Draining).Msg("Target registration cannot be decoded. The previous registration stays in force, except that the target may drain.")
			if previous, known := d.decodedTargets[row.Key]; known && t.Draining {
				previous.Draining = true
				d.decodedTargets[row.Key] = previous
			}
			continue
		}
		if before, known := d.decodedTargets[row.Key]; !known || before != t {
			d.log.Info().Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Bool("draining", t.Draining).Msg("Target registered, or its registration changed.")
		}
		d.decodedTargets[row.Key] = t
	}
	all := make([]balance.Target, 0, len(d.decodedTargets))
	for _, t := range d.decodedTargets {
		all = append(all, t)
	}
	d.targets.Apply(all)
	d.targetsLoaded.Store(true)
}

func (d *Daemon) watchTargets(ctx context.Context) {
	watch.New(watch.Options{
		Rows: d.store, Table: d.layout.TargetTable, Wait: targetPollTimeout, Pause: targetPollPause,
		Apply: d.applyTargets, Log: d.logs.Logger("targets"),
	}).Run(ctx)
}
