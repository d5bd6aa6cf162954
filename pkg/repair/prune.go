package repair

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// endedRowRetention is how long the row of an ended holder stays readable for
// operators. Every daemon scans all holder rows; without a limit, a fleet in
// which 260 hosts are replaced per day would add 260 rows to each scan per day.
const endedRowRetention = time.Hour

// deleteEndedRow deletes the row of a holder without open grants once the row
// has been unchanged for endedRowRetention. A paused holder that resumes later
// still learns that it was fenced, since its commits require the row. Its closed
// grants stay in the table for bill lines that are submitted late.
func (r *Repairer) deleteEndedRow(ctx context.Context, now time.Time, row storage.Row, incarnation string) error {
	last, ok := r.lastVersions[incarnation]
	if !ok || last.version != row.Version {
		r.lastVersions[incarnation] = rowVersion{version: row.Version, unchangedSince: now}
		return nil
	}
	if now.Sub(last.unchangedSince) < endedRowRetention {
		return nil
	}
	done, err := r.submit(ctx, storage.Txn{
		ID:         r.opts.TxnID(),
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	if done {
		delete(r.lastVersions, incarnation)
		delete(r.grantsClosed, incarnation)
	}
	return err
}
