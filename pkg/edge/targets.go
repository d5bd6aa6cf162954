package edge

import (
	"context"

	"github.com/peppertrail/peppertrail/pkg/balance"
	"github.com/peppertrail/peppertrail/pkg/watch"
)

// applyTargets takes over the registrations of all targets.
func (d *Daemon) applyTargets(s watch.State) {
	for _, row := range s.Changed {
		if row.Deleted {
			if t, known := d.decoded[row.Key]; known {
				d.log.Info().Str("target", row.Key).Str("service", t.Service).Msg("Target deregistered.")
			}
			delete(d.decoded, row.Key)
			continue
		}
		t, err := d.layout.DecodeTarget(row.Key, row.Value)
		if err != nil {
			d.log.Error().Err(err).Str("target", row.Key).Msg("Registration unreadable. The last one stays in force.")
			continue
		}
		if before, known := d.decoded[row.Key]; !known || before != t {
			d.log.Info().Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Bool("draining", t.Draining).Msg("Target registered.")
		}
		d.decoded[row.Key] = t
	}
	all := make([]balance.Target, 0, len(d.decoded))
	for _, t := range d.decoded {
		all = append(all, t)
	}
	d.targets.Apply(all)
	d.targetsKnown.Store(true)
}

func (d *Daemon) watchTargets(ctx context.Context) {
	watch.New(watch.Options{
		Rows: d.rows, Table: d.layout.TargetTable, Wait: targetWait, Pause: targetPause,
		Apply: d.applyTargets, Log: d.logs.Logger("targets"),
	}).Run(ctx)
}
