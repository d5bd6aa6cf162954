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
// are: those that report to the table.
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
		if hosts := d.budgets.Hosts(); hosts > 1 {
			d.targets.SetHosts(hosts)
		}
	}
}
