package daemon

import (
	"context"
	"crypto/rand"

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
		d.logs.Logger("repair").Info().Uint64("fencing", l.Fencing).Msg("Repair role taken.")
		repair.New(repair.Options{
			Table:  d.platform,
			Lessor: lessor,
			Self:   d.Incarnation(),
			TTL:    d.config.HolderTTL,
			Report: d.repaired,
			TxnID:  rand.Text,
		}).Run(ctx)
	})
}

func (d *Daemon) repaired(r repair.Report) {
	d.repairs.add(telemetry.RepairKind(r.Kind), r.Subject, r.Text)
}
