package repair

import (
	"context"
	"time"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// rowRetention is how long the row of a holder that ended stays for operators.
// Every daemon scans all holder rows; without a limit a fleet in which 260 hosts
// a day are replaced adds that many rows to each scan every day.
const rowRetention = time.Hour

// prune deletes the row of a holder without open grants once it has stayed the
// same for rowRetention. A paused holder that resumes later still finds out
// that it was fenced, since its commits require the row. Its closed grants stay
// for bill lines that are submitted late.
func (r *Repairer) prune(ctx context.Context, now time.Time, row storage.Row, incarnation string) error {
	last, ok := r.seen[incarnation]
	if !ok || last.version != row.Version {
		r.seen[incarnation] = sighting{version: row.Version, since: now}
		return nil
	}
	if now.Sub(last.since) < rowRetention {
		return nil
	}
	done, err := r.submit(ctx, storage.Txn{
		ID:         r.opts.TxnID(),
		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	if done {
		delete(r.seen, incarnation)
		delete(r.closed, incarnation)
	}
	return err
}
