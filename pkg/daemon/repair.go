package daemon

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/repair"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// roleTries is how often a role is asked for or renewed within its TTL.
const roleTries = 4

// repairLoop takes the repair role whenever it is free, until ctx ends.
func (d *Daemon) repairLoop(ctx context.Context) {
	lessor := lease.NewTableLessor(d.platform, d.Incarnation(), d.config.HolderTTL)
	interval := d.config.HolderTTL / roleTries
	lease.Hold(ctx, lessor, repair.Role, interval, func(ctx context.Context, l lease.Lease) {
		if l.Fencing > 1 {
			d.repairs.add(telemetry.RepairLeaseTaken, repair.Role, fmt.Sprintf("The role was free or its holder did not renew it. Taken with fencing number %d.", l.Fencing))
		}
		repair.New(repair.Options{
			Table:    d.platform,
			Lessor:   lessor,
			Self:     d.Incarnation(),
			TTL:      d.config.HolderTTL,
			Report:   d.repaired,
			TxnID:    rand.Text,
			Evidence: evidence{d},
		}).Run(ctx)
	})
}

func (d *Daemon) repaired(r repair.Report) {
	d.repairs.add(telemetry.RepairKind(r.Kind), r.Subject, r.Text)
}
