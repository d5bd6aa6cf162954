package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/bundle"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	// memberInterval is the interval at which a daemon reads the membership list.
	memberInterval = time.Second
	// memberTimeout is the time limit for one read of the membership list.
	memberTimeout = 2 * time.Second
)

// targetList holds the targets of the membership list and the services of the
// bundle, which the poller needs together.
type targetList struct {
	mu       sync.Mutex
	members  []storage.Member
	services map[string]target.ServiceInfo
}

// watchMembers reads the membership list at each interval until ctx ends. While the
// platform is unavailable, the last list stays in use and the poller continues to
// read reports from the targets.
func (d *Daemon) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(memberInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.readMembers(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (d *Daemon) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	members, err := d.platform.Members(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("Failed to read the membership list; the last list stays in use.")
		return
	}
	targets := members[:0]
	for _, m := range members {
		if m.Kind == storage.TargetMember {
			targets = append(targets, m)
		}
	}
	d.targets.mu.Lock()
	defer d.targets.mu.Unlock()
	d.targets.members = targets
	d.poller.Apply(targets, d.targets.services)
}

// applyServices passes the services of a new bundle to the metrics, the picker and
// the poller.
func (d *Daemon) applyServices(b bundle.Bundle) {
	services := make(map[string]target.ServiceInfo, len(b.Services))
	names := make([]string, 0, len(b.Services))
	for _, s := range b.Services {
		services[s.Name] = target.ServiceInfo{Kind: s.Kind, Fenced: s.Fenced, SlowStart: time.Duration(s.SlowStart) * time.Second}
		names = append(names, s.Name)
	}
	d.metrics.SetServices(names)
	d.picker.selector.SetServices(services)
	d.targets.mu.Lock()
	defer d.targets.mu.Unlock()
	d.targets.services = services
	if d.targets.members != nil {
		d.poller.Apply(d.targets.members, services)
	}
}
