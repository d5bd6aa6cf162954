package edge

import (
	"context"
	"time"
)

// hostsInterval is the time between two looks at how many hosts there are.
const hostsInterval = time.Second

// initialHosts is the number of hosts that is assumed before it is known.
const initialHosts = 12

// watchHosts tells the parts that share limits with other hosts how many there
// are: those that hold a part of a budget.
func (d *Daemon) watchHosts(ctx context.Context) {
	d.targets.SetHosts(initialHosts)
	ticker := time.NewTicker(hostsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		hosts := 0
		for _, s := range d.budgets.Status() {
			hosts = max(hosts, s.Holders)
		}
		if hosts > 0 {
			d.targets.SetHosts(hosts)
		}
	}
}
