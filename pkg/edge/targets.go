package edge

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/watch"
)

// watchTargets passes the registered targets to the balancer.
func (d *Daemon) watchTargets(ctx context.Context) {
	registry := newTargetRegistry(d.layout.DecodeTarget, d.log)
	watch.New(watch.Options{
		Rows: d.store, Table: d.layout.TargetTable, Wait: targetPollTimeout, Pause: targetPollPause,
		Apply: func(s watch.State) {
			registry.apply(s, time.Now())
			d.targets.Apply(registry.all())
			d.targetsLoaded.Store(true)
		},
		Confirmed: func() {
			if registry.expire(time.Now()) {
				d.targets.Apply(registry.all())
			}
		},
		Log: d.logs.Logger("targets"),
	}).Run(ctx)
}
