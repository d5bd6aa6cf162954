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

// errUnexplained means that the table reported a conflict in no condition of the transaction.
var errUnexplained = errors.New("conflict without a failed condition")

// Committer groups ops into transactions. One goroutine, the caller of Run,
// owns the holder row and has at most one transaction in flight.
type Committer struct {
	opt       Options
	holderKey string
	queue     queue
	wake      chan struct{}
	done      chan struct{} // closed when Run ends

	// Owned by the goroutine of Run.
	bucket  *tokenBucket
	holder  lease.HolderRecord
	version uint64
	limit   int  // ops per transaction, lowered to isolate an op that the table refuses
	retry   []Op // taken before the queue, disjoint in keys
	flight  []Op // ops of the transaction in flight
	failed  bool // the last transaction conflicted or was rejected

	mu          sync.Mutex
	stats       Stats
	lastSuccess time.Time
	finishing   bool
	endErr      error // why Run ended, valid after done is closed
}

// New returns a committer for a registered holder row. Run must be called once.
func New(opt Options) *Committer {
	opt = opt.withDefaults()
	now := time.Now()
	return &Committer{
		opt:         opt,
		holderKey:   lease.HolderKey(opt.Holder.Incarnation),
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		bucket:      newTokenBucket(opt.Rate, opt.Burst, now),
		holder:      opt.Holder,
		version:     opt.HolderVersion,
		limit:       opt.MaxOps,
		lastSuccess: now,
	}
}

// Submit queues op and returns at once. If Run has ended, Done is called from
// a new goroutine with ErrFenced or ErrStopped.
func (c *Committer) Submit(op Op) {
	if err := c.queue.push(op); err != nil {
		go op.finish(Result{Err: err})
		return
	}
	c.signal()
}

// LastSuccess returns when the reply to the last committed transaction
// arrived, or the time of New before the first.
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

// Finish commits what is queued, marks the holder row as stopped and ends Run,
// which returns nil. It returns nil once the row is marked, ErrFenced or
// ErrStopped if Run ended otherwise, or the error of ctx. Ops that are submitted
// during or after the last transaction get ErrStopped.
func (c *Committer) Finish(ctx context.Context) error {
	c.mu.Lock()
	c.finishing = true
	c.mu.Unlock()
	c.signal()
	select {
	case <-c.done:
		return c.endErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run commits ops until ctx ends (ErrStopped, wrapped), the holder is fenced
// (ErrFenced) or Finish is done (nil). Then every waiting op gets its error.
func (c *Committer) Run(ctx context.Context) error {
	err := c.loop(ctx)
	c.end(err)
	return err
}

func (c *Committer) loop(ctx context.Context) error {
	for {
		if err := c.awaitWork(ctx); err != nil {
			return err
		}
		if err := pause(ctx, c.bucket.take(time.Now())); err != nil {
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

// awaitWork waits for an op, the time of a renewal or Finish.
func (c *Committer) awaitWork(ctx context.Context) error {
	renewal := time.NewTimer(time.Until(c.LastSuccess().Add(c.opt.RenewInterval)))
	defer renewal.Stop()
	for ctx.Err() == nil {
		if c.hasWork() {
			return nil
		}
		select {
		case <-c.wake: // may stem from an op that an earlier batch took
		case <-renewal.C:
			return nil
		case <-ctx.Done():
		}
	}
	return stopped(ctx)
}

func (c *Committer) hasWork() bool {
	return len(c.retry) > 0 || c.queue.len() > 0 || c.isFinishing()
}

// nextBatch takes the ops of the next transaction and prepares its holder row.
func (c *Committer) nextBatch() batch {
	finishing := c.isFinishing()
	ops := c.valid(c.nextOps())
	holder := c.holder
	holder.Renewals++
	if c.opt.BundleVersion != nil {
		holder.BundleVersion = c.opt.BundleVersion()
	}
	holder.Stopped = finishing && len(ops) == 0 && len(c.retry) == 0 && c.queue.len() == 0
	return batch{ops: ops, holder: holder}
}

// nextOps takes the ops of the next transaction. It returns none if the holder
// row is due for a renewal that conflicts have prevented, since a daemon whose
// ops keep conflicting would otherwise be fenced.
func (c *Committer) nextOps() []Op {
	if c.failed && time.Since(c.LastSuccess()) >= c.opt.RenewInterval {
		return nil
	}
	if len(c.retry) == 0 {
		return c.queue.take(c.limit)
	}
	n := min(len(c.retry), c.limit)
	ops := c.retry[:n:n]
	c.retry = c.retry[n:]
	return ops
}

// valid finishes the invalid ops and returns the others.
func (c *Committer) valid(ops []Op) []Op {
	valid := make([]Op, 0, len(ops))
	for _, op := range ops {
		if err := op.check(c.holderKey); err != nil {
			c.fail(op, err)
			continue
		}
		valid = append(valid, op)
	}
	return valid
}

// commit submits b until it is decided and handles the decision. It returns an
// error if the committer must end.
func (c *Committer) commit(ctx context.Context, b batch) (committed bool, err error) {
	c.flight = b.ops
	outcome, rejected, err := c.decide(ctx, b.txn(c.version))
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

// decide submits txn until the table decides it or rejects it as invalid, which
// leaves no effect.
//
// A rejection after a lost reply does not tell whether the earlier submission
// took effect, so txn is then submitted again like after any lost reply.
func (c *Committer) decide(ctx context.Context, txn storage.Txn) (outcome storage.Outcome, rejected, err error) {
	var delay retry.Backoff
	inDoubt := false
	for {
		outcome, err = c.opt.Table.Commit(ctx, txn)
		if err == nil {
			return outcome, nil, nil
		}
		if ctx.Err() != nil {
			return outcome, nil, stopped(ctx)
		}
		if !inDoubt && !errors.Is(err, storage.ErrUnavailable) {
			return outcome, err, nil
		}
		inDoubt = true
		if err := pause(ctx, delay.Next()); err != nil {
			return outcome, nil, err
		}
		c.count(func(s *Stats) { s.Resubmitted++ })
	}
}

func (c *Committer) handleCommitted(b batch, revision uint64) {
	c.flight = nil
	c.failed = false
	c.holder = b.holder
	c.version = revision
	c.limit = min(2*c.limit, c.opt.MaxOps)
	c.mu.Lock()
	c.lastSuccess = time.Now()
	c.mu.Unlock()
	c.count(func(s *Stats) {
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

// handleConflicts finishes the ops whose conditions failed. The others go into
// the next transaction without new ops, since a steady supply of conflicting
// ops could otherwise delay them for ever.
func (c *Committer) handleConflicts(b batch, failed conflicts) error {
	if _, fenced := failed[c.holderKey]; fenced {
		return ErrFenced
	}
	c.count(func(s *Stats) { s.Conflicted++ })
	var rest, conflicting []Op
	for _, op := range b.ops {
		if len(failed.of(op)) == 0 {
			rest = append(rest, op)
			continue
		}
		conflicting = append(conflicting, op)
	}
	if len(conflicting) == 0 {
		c.handleRejected(b, errUnexplained)
		return nil
	}
	c.flight = nil
	c.failed = true
	c.retry = append(rest, c.retry...)
	c.count(func(s *Stats) { s.OpsConflict += uint64(len(conflicting)) })
	for _, op := range conflicting {
		op.finish(Result{Err: ErrConflict, Conflicts: failed.of(op)})
	}
	return nil
}

// handleRejected fails the op of a batch of one. A larger batch is tried again
// in halves, so that the other ops are not lost with the one at fault.
func (c *Committer) handleRejected(b batch, cause error) {
	c.flight = nil
	c.failed = true
	c.count(func(s *Stats) { s.Rejected++ })
	if len(b.ops) > 1 {
		c.limit = len(b.ops) / 2
		c.retry = append(b.ops, c.retry...)
		return
	}
	for _, op := range b.ops {
		c.fail(op, fmt.Errorf("commit rejected: %w", cause))
	}
}

// end finishes every op with the reason of the end.
func (c *Committer) end(err error) {
	reason := ErrStopped
	if errors.Is(err, ErrFenced) {
		reason = ErrFenced
	}
	waiting := append(c.flight, c.retry...)
	waiting = append(waiting, c.queue.close(reason)...)
	c.flight, c.retry = nil, nil
	for _, op := range waiting {
		c.fail(op, reason)
	}
	if reason == ErrFenced {
		c.opt.OnFenced()
	}
	c.endErr = err
	close(c.done)
}

func (c *Committer) fail(op Op, err error) {
	c.count(func(s *Stats) { s.OpsFailed++ })
	op.finish(Result{Err: err})
}

func (c *Committer) count(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

func (c *Committer) isFinishing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishing
}

func (c *Committer) signal() {
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

func stopped(ctx context.Context) error {
	return fmt.Errorf("%w: %w", ErrStopped, context.Cause(ctx))
}

// pause waits for d, or returns ErrStopped (wrapped) when ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return stopped(ctx)
	}
}
