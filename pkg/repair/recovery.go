package repair

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/budget"
	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/target"
)

const (
	// StreamRetention is how long targets keep ended streams readable.
	StreamRetention = 60 * time.Second
	// evidenceMargin is how long before the end of StreamRetention recoveries are
	// given up. It covers the time between the end of a stream and the commit of
	// its bill line, and the age of the last read of the holder rows.
	evidenceMargin = 15 * time.Second
	// maxConcurrentQueries bounds the load of usage queries on the targets.
	maxConcurrentQueries = 32
	// maxQueriesPerGrant bounds the usage queries for one grant. The tokens of a
	// grant that needs more stay written off.
	maxQueriesPerGrant = 100_000
)

// Reasons why written-off tokens are not returned to their budget. After each of
// them except errTooLate, the recovery is tried again.
var (
	errTooLate        = errors.New("targets may no longer keep the streams")
	errHolderMayRun   = errors.New("the holder's process may still run")
	errAttemptsOpen   = errors.New("daemons still have open attempts")
	errTargetLost     = errors.New("a target was lost, its streams cannot be read")
	errTooManyStreams = errors.New("too many streams to look up")
)

// recovery is a fenced holder whose written-off tokens may be returned.
type recovery struct {
	holder  lease.HolderRecord
	lastErr error // why the last attempt to return the tokens failed, nil if there was none
}

// recoverPending tries each pending recovery once and removes those that are
// done or too late.
func (r *Repairer) recoverPending(ctx context.Context, now time.Time, daemons []lease.HolderRecord) {
	for incarnation, p := range r.pendingRecoveries {
		err := r.recoverHolder(ctx, now, p.holder, daemons)
		switch {
		case err == nil:
			delete(r.pendingRecoveries, incarnation)
		case errors.Is(err, errTooLate):
			delete(r.pendingRecoveries, incarnation)
			if p.lastErr != nil {
				r.report(ctx, GrantKept, incarnation, fmt.Sprintf("Written-off tokens stay charged: %v, and before that %v.", err, p.lastErr))
			}
		default:
			p.lastErr = err
		}
	}
}

// recoverHolder returns the unspent tokens of a fenced holder's closed grants to
// their budgets. It returns errTooLate if that is no longer possible.
func (r *Repairer) recoverHolder(ctx context.Context, now time.Time, holder lease.HolderRecord, daemons []lease.HolderRecord) error {
	changed, ok := r.opts.Evidence.LastChange(holder.Incarnation)
	if !ok || now.Sub(changed) > StreamRetention-evidenceMargin {
		return errTooLate
	}
	if err := r.checkNoSpending(ctx, holder, daemons); err != nil {
		return err
	}
	targets, ok := r.opts.Evidence.Targets(changed.Add(-StreamRetention))
	if !ok {
		return errTargetLost
	}
	return r.scan(ctx, budget.GrantPrefix(holder.Incarnation), func(row storage.Row) error {
		var grant budget.GrantRecord
		if err := json.Unmarshal(row.Value, &grant); err != nil {
			return nil // reported when the grants were closed
		}
		if grant.Resolved || grant.WrittenOff == 0 {
			return nil
		}
		return r.recoverGrant(ctx, row, grant, targets)
	})
}

// checkNoSpending returns an error if a daemon may still spend from the holder's
// grants, or if that cannot be determined.
func (r *Repairer) checkNoSpending(ctx context.Context, holder lease.HolderRecord, daemons []lease.HolderRecord) error {
	own, err := r.opts.Evidence.QueryDaemon(ctx, holder, holder.Incarnation)
	if err != nil {
		return err
	}
	if !own.Gone && own.Home == holder.Incarnation {
		return errHolderMayRun
	}
	for _, d := range daemons {
		if d.Stopped {
			continue
		}
		status, err := r.opts.Evidence.QueryDaemon(ctx, d, holder.Incarnation)
		if err != nil {
			return fmt.Errorf("ask %s: %w", d.Incarnation, err)
		}
		if status.Open > 0 {
			return errAttemptsOpen
		}
	}
	return nil
}

// recoverGrant returns written-off tokens of a grant to the budget. Tokens that
// targets used without a bill line stay charged.
func (r *Repairer) recoverGrant(ctx context.Context, row storage.Row, grant budget.GrantRecord, targets []target.Target) error {
	missing := grant.Settled.Missing(grant.Streams)
	if len(missing)*len(targets) > maxQueriesPerGrant {
		return errTooManyStreams
	}
	unbilled, err := r.queryUsage(ctx, grant, missing, targets)
	if err != nil {
		return err
	}
	key := budget.BudgetKey(grant.Budget)
	rows, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read budget %s: %w", grant.Budget, err)
	}
	var record budget.Record
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		return nil // reported when the grant was closed
	}
	before := grant.WrittenOff
	record, grant = ReturnUnspent(record, grant, unbilled)
	txn := storage.Txn{
		ID: r.opts.TxnID(),
		Conditions: []storage.Condition{
			{Key: key, Version: rows[0].Version},
			{Key: row.Key, Version: row.Version},
		},
	}
	if txn.Puts, err = encodePuts(rowWrite{key, record}, rowWrite{row.Key, grant}); err != nil {
		return err
	}
	done, err := r.submit(ctx, txn)
	if done {
		text := fmt.Sprintf("%d of %d written-off tokens returned to budget %s. The holder's process has ended, no daemon has open attempts, and %d engines were asked for %d streams; they ran %d tokens without a line.",
			before-grant.WrittenOff, before, grant.Budget, len(targets), len(missing), unbilled)
		r.report(ctx, GrantRefunded, grant.ID, text)
	}
	return err
}

// queryUsage returns the tokens that targets used for the missing streams, which
// have no bill line. It counts the cost of one plain service call for each
// stream, since such calls cannot be queried.
func (r *Repairer) queryUsage(ctx context.Context, grant budget.GrantRecord, missing []int64, targets []target.Target) (int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var (
		mu       sync.Mutex
		group    sync.WaitGroup
		unbilled = int64(len(missing)) * r.opts.Evidence.CallCost()
		slots    = make(chan struct{}, maxConcurrentQueries)
	)
	for _, n := range missing {
		for _, t := range targets {
			slots <- struct{}{}
			if ctx.Err() != nil {
				<-slots
				continue
			}
			group.Go(func() {
				defer func() { <-slots }()
				tokens, known, err := r.opts.Evidence.Usage(ctx, t, budget.StreamID(grant.ID, n))
				if err != nil {
					cancel(fmt.Errorf("target %s: %w", t.ID, err))
					return
				}
				if known {
					mu.Lock()
					unbilled += tokens
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	if ctx.Err() != nil {
		return 0, context.Cause(ctx)
	}
	return unbilled, nil
}
