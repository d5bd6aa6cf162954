package edge

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/watch"
)

// watchTargets passes the registered targets to the balancer.
func (d *Daemon) watchTargets(ctx context.Context) {
	registry := d.targetRegistry
	watch.New(watch.Options{
		Rows: d.targetRows, Table: d.layout.TargetTable, Wait: targetPollTimeout, NextPause: d.targetRows.Pause,
		Apply: func(s watch.State) error {
			registry.apply(s, time.Now())
			d.rateLimits.SetWarmUps(registry.warmUps(d.warmUpRate, time.Now()), time.Now())
			d.targets.Apply(registry.all())
			d.targetsLoaded.Store(true)
			d.targetRows.Publish(s)
			registry.contents.forget(s.Changed)
			return nil
		},
		Failed: d.targetRows.Invalidate,
		Confirmed: func() {
			d.targetRows.Confirm()
			if registry.expire(time.Now()) {
				d.targets.Apply(registry.all())
			}
		},
		Log: d.logs.Logger("targets"),
	}).Run(ctx)
}

// warmUpRate returns the requests per second that a target of a service takes while it warms up,
// 0 if there is no limit.
func (d *Daemon) warmUpRate(service string) float64 {
	if c := d.configuration.Load(); c != nil {
		if s := c.Service(service); s != nil {
			return s.WarmUpRate
		}
	}
	return 0
}
