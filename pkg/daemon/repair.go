package daemon

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/repair"
	"github.com/peppertrail/peppertrail/pkg/telemetry"
)

// roleAttemptsPerTTL is the number of times within the holder TTL that the repair
// role is requested or renewed.
const roleAttemptsPerTTL = 4

// repairLoop acquires the repair role when it is free and runs repairs while it
// holds the role, until ctx ends.
func (d *Daemon) repairLoop(ctx context.Context) {
	lessor := lease.NewTableLessor(d.platform, d.Incarnation(), d.config.HolderTTL)
	interval := d.config.HolderTTL / roleAttemptsPerTTL
	lease.Hold(ctx, lessor, repair.Role, interval, func(ctx context.Context, l lease.Lease) {
		if l.Fencing > 1 {
			d.repairs.add(telemetry.RepairLeaseTaken, repair.Role, fmt.Sprintf("The role was free or its holder did not renew it. Taken with fencing number %d.", l.Fencing))
		}
		repair.New(repair.Options{
			Table:    d.platform,
			Lessor:   lessor,
			Self:     d.Incarnation(),
			TTL:      d.config.HolderTTL,
			Report:   d.recordRepair,
			TxnID:    rand.Text,
			Evidence: evidence{d},
		}).Run(ctx)
	})
}

func (d *Daemon) recordRepair(r repair.Report) {
	d.repairs.add(telemetry.RepairKind(r.Kind), r.Subject, r.Text)
}
