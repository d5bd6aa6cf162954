package commit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/retry"
)

// errNoFailedCondition means that the table reported a conflict, but the
// reported rows belong to no condition of the transaction.
var errNoFailedCondition = errors.New("conflict without a failed condition")

// Committer groups ops into transactions. One goroutine, the caller of Run,
// owns the holder row and has at most one transaction in flight.
type Committer struct {
	opts      Options
	holderKey string
	queue     queue
	wake      chan struct{} // signals new work to Run
	done      chan struct{} // closed when Run ends

	// Owned by the goroutine of Run.
	bucket     *tokenBucket
	holder     lease.HolderRecord // holder row as last committed or registered
	version    uint64             // version of the holder row
	batchLimit int                // maximum number of ops per transaction, lowered to isolate an op that the table rejects
	retryOps   []Op               // ops to submit again before those in queue; no two of them share a key
	inFlight   []Op               // ops of the transaction in flight
	failed     bool               // the last transaction conflicted or was rejected

	mu          sync.Mutex
	stats       Stats
	lastSuccess time.Time
	finishing   bool
	runErr      error // result of Run, valid after done is closed
}

// New returns a committer for a registered holder row. Run must be called
// exactly once.
func New(opts Options) *Committer {
	opts = opts.withDefaults()
	now := time.Now()
	return &Committer{
		opts:        opts,
		holderKey:   lease.HolderKey(opts.Holder.Incarnation),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		bucket:      newTokenBucket(opts.Rate, opts.Burst, now),
		holder:      opts.Holder,
		version:     opts.HolderVersion,
		batchLimit:  opts.MaxOps,
		lastSuccess: now,
	}
}

// Submit queues op and does not block. If Run has ended, op.Done is called from
// a new goroutine with ErrFenced or ErrStopped.
func (c *Committer) Submit(op Op) {
	if err := c.queue.push(op); err != nil {
		go op.finish(Result{Err: err})
		return
	}
	c.wakeRun()
}

// LastSuccess returns the time at which the reply to the last committed
// transaction arrived, or the time of New if none was committed yet.
func (c *Committer) LastSuccess() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSuccess
}

// Stats returns the counters since New.
func (c *Committer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Queued = c.queue.len()
	return stats
}

// Finish commits the queued ops, marks the holder row as stopped and ends Run,
// which then returns nil. Finish returns nil once the row is marked, ErrFenced
// or ErrStopped if Run ended for another reason, or the error of ctx. Ops that
// are submitted during or after the last transaction get ErrStopped.
func (c *Committer) Finish(ctx context.Context) error {
	c.mu.Lock()
	c.finishing = true
	c.mu.Unlock()
	c.wakeRun()
	select {
	case <-c.done:
		return c.runErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run commits ops until ctx ends (ErrStopped, wrapped), the holder is fenced
// (ErrFenced) or Finish has completed (nil). Before it returns, it finishes all
// waiting ops with ErrFenced or ErrStopped.
func (c *Committer) Run(ctx context.Context) error {
	err := c.commitUntilDone(ctx)
	c.finishRemaining(err)
	return err
}

func (c *Committer) commitUntilDone(ctx context.Context) error {
	for {
		if err := c.awaitWork(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, c.bucket.take(time.Now())); err != nil {
			return err
		}
		b := c.nextBatch()
		committed, err := c.commit(ctx, b)
		if err != nil {
			return err
		}
		if committed && b.holder.Stopped {
			return nil
		}
	}
}

// awaitWork waits until an op is queued, a renewal is due or Finish is called.
func (c *Committer) awaitWork(ctx context.Context) error {
	renewal := time.NewTimer(time.Until(c.LastSuccess().Add(c.opts.RenewInterval)))
	defer renewal.Stop()
	for ctx.Err() == nil {
		if c.hasWork() {
			return nil
		}
		select {
		case <-c.wake: // may have been sent for an op that an earlier batch contained
		case <-renewal.C:
			return nil
		case <-ctx.Done():
		}
	}
	return stoppedError(ctx)
}

func (c *Committer) hasWork() bool {
	return len(c.retryOps) > 0 || c.queue.len() > 0 || c.isFinishing()
}

// nextBatch dequeues the ops of the next transaction and prepares its holder row.
func (c *Committer) nextBatch() batch {
	finishing := c.isFinishing()
	ops := c.validOps(c.nextOps())
	holder := c.holder
	holder.Renewals++
	if c.opts.BundleVersion != nil {
		holder.BundleVersion = c.opts.BundleVersion()
	}
	holder.Stopped = finishing && len(ops) == 0 && len(c.retryOps) == 0 && c.queue.len() == 0
	return batch{ops: ops, holder: holder}
}

// nextOps dequeues the ops of the next transaction. It returns none if the last
// transaction failed and the holder row is due for a renewal: a transaction
// without ops renews it, and without a renewal a daemon whose ops keep
// conflicting would be fenced.
func (c *Committer) nextOps() []Op {
	if c.failed && time.Since(c.LastSuccess()) >= c.opts.RenewInterval {
		return nil
	}
	if len(c.retryOps) == 0 {
		return c.queue.take(c.batchLimit)
	}
	n := min(len(c.retryOps), c.batchLimit)
	ops := c.retryOps[:n:n]
	c.retryOps = c.retryOps[n:]
	return ops
}

// validOps returns the valid ops and finishes the others with ErrInvalidOp.
func (c *Committer) validOps(ops []Op) []Op {
	validOps := make([]Op, 0, len(ops))
	for _, op := range ops {
		if err := op.validate(c.holderKey); err != nil {
			c.failOp(op, err)
			continue
		}
		validOps = append(validOps, op)
	}
	return validOps
}

// commit submits b until the table commits or rejects it and handles the
// outcome. It returns an error if Run must end.
func (c *Committer) commit(ctx context.Context, b batch) (committed bool, err error) {
	c.inFlight = b.ops
	outcome, rejected, err := c.submitUntilDecided(ctx, b.txn(c.version))
	if err != nil {
		return false, err
	}
	switch {
	case rejected != nil:
		c.handleRejected(b, rejected)
	case outcome.Committed:
		c.handleCommitted(b, outcome.Revision)
	default:
		err = c.handleConflicts(b, newConflicts(outcome.Conflicts))
	}
	return outcome.Committed, err
}

// submitUntilDecided submits txn until the table reports an outcome or rejects
// it as invalid, in which case nothing was written.
//
// A rejection after a lost reply does not show whether the earlier submission
// took effect, so txn is then submitted again as after any lost reply.
func (c *Committer) submitUntilDecided(ctx context.Context, txn storage.Txn) (outcome storage.Outcome, rejected, err error) {
	var delay retry.Backoff
	inDoubt := false
	for {
		outcome, err = c.opts.Table.Commit(ctx, txn)
		if err == nil {
			return outcome, nil, nil
		}
		if ctx.Err() != nil {
			return outcome, nil, stoppedError(ctx)
		}
		if !inDoubt && !errors.Is(err, storage.ErrUnavailable) {
			return outcome, err, nil
		}
		inDoubt = true
		if err := sleep(ctx, delay.Next()); err != nil {
			return outcome, nil, err
		}
		c.updateStats(func(s *Stats) { s.Resubmitted++ })
	}
}

func (c *Committer) handleCommitted(b batch, revision uint64) {
	c.inFlight = nil
	c.failed = false
	c.holder = b.holder
	c.version = revision
	c.batchLimit = min(2*c.batchLimit, c.opts.MaxOps)
	c.mu.Lock()
	c.lastSuccess = time.Now()
	c.mu.Unlock()
	c.updateStats(func(s *Stats) {
		s.Committed++
		s.OpsCommitted += uint64(len(b.ops))
		if len(b.ops) == 0 {
			s.Renewals++
		}
	})
	for _, op := range b.ops {
		op.finish(Result{Revision: revision})
	}
}

// handleConflicts finishes the ops whose conditions failed. The other ops go
// into the next transaction without new ops, since a continuous supply of
// conflicting ops could otherwise delay them forever.
func (c *Committer) handleConflicts(b batch, failed conflicts) error {
	if _, fenced := failed[c.holderKey]; fenced {
		return ErrFenced
	}
	c.updateStats(func(s *Stats) { s.Conflicted++ })
	var rest, conflicting []Op
	for _, op := range b.ops {
		if len(failed.forOp(op)) == 0 {
			rest = append(rest, op)
			continue
		}
		conflicting = append(conflicting, op)
	}
	if len(conflicting) == 0 {
		c.handleRejected(b, errNoFailedCondition)
		return nil
	}
	c.inFlight = nil
	c.failed = true
	c.retryOps = append(rest, c.retryOps...)
	c.updateStats(func(s *Stats) { s.OpsConflicted += uint64(len(conflicting)) })
	for _, op := range conflicting {
		op.finish(Result{Err: ErrConflict, Conflicts: failed.forOp(op)})
	}
	return nil
}

// handleRejected handles a transaction that the table rejected. If the batch has
// one op, that op fails. The ops of a larger batch are submitted again in
// batches of at most half the size, so that only the op that causes the
// rejection fails.
func (c *Committer) handleRejected(b batch, cause error) {
	c.inFlight = nil
	c.failed = true
	c.updateStats(func(s *Stats) { s.Rejected++ })
	if len(b.ops) > 1 {
		c.batchLimit = len(b.ops) / 2
		c.retryOps = append(b.ops, c.retryOps...)
		return
	}
	for _, op := range b.ops {
		c.failOp(op, fmt.Errorf("commit rejected: %w", cause))
	}
}

// finishRemaining finishes all remaining ops with ErrFenced or ErrStopped,
// depending on err, the result of Run.
func (c *Committer) finishRemaining(err error) {
	reason := ErrStopped
	if errors.Is(err, ErrFenced) {
		reason = ErrFenced
	}
	waiting := append(c.inFlight, c.retryOps...)
	waiting = append(waiting, c.queue.close(reason)...)
	c.inFlight, c.retryOps = nil, nil
	for _, op := range waiting {
		c.failOp(op, reason)
	}
	if reason == ErrFenced {
		c.opts.OnFenced()
	}
	c.runErr = err
	close(c.done)
}

func (c *Committer) failOp(op Op, err error) {
	c.updateStats(func(s *Stats) { s.OpsFailed++ })
	op.finish(Result{Err: err})
}

func (c *Committer) updateStats(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

func (c *Committer) isFinishing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishing
}

func (c *Committer) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (op Op) finish(r Result) {
	if op.Done != nil {
		op.Done(r)
	}
}

func stoppedError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", ErrStopped, context.Cause(ctx))
}

// sleep waits for d. It returns ErrStopped (wrapped) if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return stoppedError(ctx)
	}
}
