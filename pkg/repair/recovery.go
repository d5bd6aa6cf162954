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
	// StreamKeep is how long targets keep ended streams readable.
	StreamKeep = 60 * time.Second
	// evidenceMargin covers the time between the end of a stream and the commit
	// of its line, and the age of the view of the holder rows.
	evidenceMargin = 15 * time.Second
	// probesAtOnce bounds the load of look-ups on the targets.
	probesAtOnce = 32
	// maxProbes bounds the look-ups for one grant; a larger one stays written off.
	maxProbes = 100_000
)

// Reasons why written-off tokens stay with the fleet for now.
var (
	errTooLate     = errors.New("targets may no longer keep the streams")
	errAlive       = errors.New("the holder's process may still run")
	errOpen        = errors.New("daemons still have open attempts")
	errTargetLost  = errors.New("a target was lost, its streams cannot be read")
	errManyStreams = errors.New("too many streams to look up")
)

// recovery is a dead holder whose written-off tokens may be returned.
type recovery struct {
	holder lease.HolderRecord
	cause  error // why it was not possible so far
}

// recoverPending tries each recovery until it is done or too late.
func (r *Repairer) recoverPending(ctx context.Context, now time.Time, daemons []lease.HolderRecord) {
	for incarnation, p := range r.pending {
		err := r.recover(ctx, now, p.holder, daemons)
		switch {
		case err == nil:
			delete(r.pending, incarnation)
		case errors.Is(err, errTooLate):
			delete(r.pending, incarnation)
			if p.cause != nil {
				r.report(ctx, GrantKept, incarnation, fmt.Sprintf("Written-off tokens stay charged: %v, and before that %v.", err, p.cause))
			}
		default:
			p.cause = err
		}
	}
}

// recover returns what a dead holder's closed grants did not spend. It returns
// errTooLate when it never will.
func (r *Repairer) recover(ctx context.Context, now time.Time, holder lease.HolderRecord, daemons []lease.HolderRecord) error {
	changed, ok := r.opts.Evidence.LastChange(holder.Incarnation)
	if !ok || now.Sub(changed) > StreamKeep-evidenceMargin {
		return errTooLate
	}
	if err := r.testify(ctx, holder, daemons); err != nil {
		return err
	}
	targets, ok := r.opts.Evidence.Targets(changed.Add(-StreamKeep))
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

// testify makes sure that nobody can spend from the holder's grants any more.
func (r *Repairer) testify(ctx context.Context, holder lease.HolderRecord, daemons []lease.HolderRecord) error {
	own, err := r.opts.Evidence.Ask(ctx, holder, holder.Incarnation)
	if err != nil {
		return err
	}
	if !own.Gone && own.Home == holder.Incarnation {
		return errAlive
	}
	for _, d := range daemons {
		if d.Stopped {
			continue
		}
		t, err := r.opts.Evidence.Ask(ctx, d, holder.Incarnation)
		if err != nil {
			return fmt.Errorf("ask %s: %w", d.Incarnation, err)
		}
		if t.Open > 0 {
			return errOpen
		}
	}
	return nil
}

// recoverGrant keeps what the targets ran without a line and returns the rest.
func (r *Repairer) recoverGrant(ctx context.Context, row storage.Row, grant budget.GrantRecord, targets []target.Target) error {
	missing := grant.Settled.Missing(grant.Streams)
	if len(missing)*len(targets) > maxProbes {
		return errManyStreams
	}
	ran, err := r.probe(ctx, grant, missing, targets)
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
	record, grant = Return(record, grant, ran)
	txn := storage.Txn{
		ID: r.opts.TxnID(),
		Conditions: []storage.Condition{
			{Key: key, Version: rows[0].Version},
			{Key: row.Key, Version: row.Version},
		},
	}
	if txn.Puts, err = puts(write{key, record}, write{row.Key, grant}); err != nil {
		return err
	}
	done, err := r.submit(ctx, txn)
	if done {
		text := fmt.Sprintf("%d of %d written-off tokens returned to budget %s. The holder's process has ended, no daemon has open attempts, and %d engines were asked for %d streams; they ran %d tokens without a line.",
			before-grant.WrittenOff, before, grant.Budget, len(targets), len(missing), ran)
		r.report(ctx, GrantRefunded, grant.ID, text)
	}
	return err
}

// probe returns the tokens that targets ran for streams without a line.
func (r *Repairer) probe(ctx context.Context, grant budget.GrantRecord, missing []int64, targets []target.Target) (int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var (
		mu    sync.Mutex
		group sync.WaitGroup
		ran   = int64(len(missing)) * r.opts.Evidence.CallCost()
		slots = make(chan struct{}, probesAtOnce)
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
					ran += tokens
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	if ctx.Err() != nil {
		return 0, context.Cause(ctx)
	}
	return ran, nil
}
