package commit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/lease"
	"github.com/peppertrail/peppertrail/pkg/storage"
	"github.com/peppertrail/peppertrail/pkg/storage/retry"
)

const testHolderKey = lease.HolderPrefix + "d1"

// fixture runs a committer on a fake table. It must be used in a synctest bubble.
type fixture struct {
	*Committer
	t      *testing.T
	table  *fakeTable
	cancel context.CancelFunc
	result chan error // result of Run

	mu     sync.Mutex
	fenced int // number of calls of OnFenced
}

func newFixture(t *testing.T, table *fakeTable, opt Options) *fixture {
	f := &fixture{t: t, table: table, result: make(chan error, 1)}
	opt.Table = table
	opt.Holder = lease.HolderRecord{Incarnation: "d1"}
	opt.HolderVersion = table.write(testHolderKey, `{"incarnation":"d1"}`)
	opt.OnFenced = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fenced++
	}
	f.Committer = New(opt)
	return f
}

func (f *fixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.t.Cleanup(cancel)
	go func() { f.result <- f.Run(ctx) }()
}

func (f *fixture) stop() {
	f.cancel()
	<-f.result
}

func (f *fixture) fencedCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fenced
}

// submit submits op and returns a channel with its results. The channel has
// room for two, since a second result is a fault that must not block Run.
func (f *fixture) submit(op Op) <-chan Result {
	results := make(chan Result, 2)
	op.Done = func(r Result) { results <- r }
	f.Submit(op)
	return results
}

func putOp(key string) Op {
	return Op{Puts: []storage.Put{{Key: key, Value: json.RawMessage(`1`)}}}
}

func insertOp(key string) Op {
	op := putOp(key)
	op.Conditions = []storage.Condition{{Key: key}}
	return op
}

// Guards against a transaction for each op, and against a commit that does not
// renew the holder row.
func TestOpsShareOneTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{BundleVersion: func() uint64 { return 7 }})
		var results []<-chan Result
		for i := range 100 {
			results = append(results, f.submit(insertOp(fmt.Sprintf("k%d", i))))
		}
		f.start()
		for _, r := range results {
			assert.DeepEqual(t, <-r, Result{Revision: 2})
		}
		assert.Equal(t, f.table.calls(), 1)
		assert.Equal(t, f.table.holder().Renewals, uint64(1))
		assert.Equal(t, f.table.holder().BundleVersion, uint64(7))
		f.stop()
	})
}

// Guards against a transaction with more than MaxOps ops.
func TestBatchHasAtMostMaxOps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{MaxOps: 10})
		var last <-chan Result
		for i := range 25 {
			last = f.submit(putOp(fmt.Sprintf("k%d", i)))
		}
		f.start()
		<-last
		assert.Equal(t, f.table.calls(), 3)
		f.stop()
	})
}

// Guards against a write that is applied twice or reported as failed because a
// reply was lost.
func TestLostReplyIsResubmittedUnderSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		calls := 0
		table.before = func(storage.Txn) callFault {
			calls++
			return []callFault{replyLost, notReceived, replyLost, noFault}[calls-1]
		}
		f := newFixture(t, table, Options{})
		r := f.submit(insertOp("k"))
		f.start()
		assert.NilError(t, (<-r).Err)
		assert.Equal(t, table.applied["k"], 1)
		for _, txn := range table.txns {
			assert.Equal(t, txn.ID, table.txns[0].ID)
		}
		assert.Equal(t, f.Stats().Resubmitted, uint64(3))
		f.stop()
	})
}

// Guards against resubmissions less than 10 ms or more than 500 ms apart, the
// limits of the back-off.
func TestResubmissionBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		var times []time.Time
		table.before = func(storage.Txn) callFault {
			times = append(times, time.Now())
			if len(times) < 20 {
				return notReceived
			}
			return noFault
		}
		f := newFixture(t, table, Options{})
		r := f.submit(putOp("k"))
		f.start()
		<-r
		assert.Assert(t, times[1].Sub(times[0]) <= retry.BackoffMin)
		for i := 1; i < len(times); i++ {
			gap := times[i].Sub(times[i-1])
			assert.Assert(t, gap >= retry.BackoffMin/2 && gap <= retry.BackoffMax, "%v between two submissions", gap)
		}
		f.stop()
	})
}

// Guards against a conflict of one op that makes other ops of its batch fail.
func TestConflictOfOneOpDoesNotFailOtherOps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		version := table.write("taken", `"other"`)
		f := newFixture(t, table, Options{})
		first := f.submit(insertOp("a"))
		conflicting := f.submit(insertOp("taken"))
		last := f.submit(insertOp("b"))
		f.start()
		r := <-conflicting
		assert.ErrorIs(t, r.Err, ErrConflict)
		assert.DeepEqual(t, r.Conflicts, []storage.Row{{Key: "taken", Value: json.RawMessage(`"other"`), Version: version}})
		assert.NilError(t, (<-first).Err)
		assert.NilError(t, (<-last).Err)
		assert.Equal(t, table.calls(), 2)
		assert.Assert(t, table.txns[0].ID != table.txns[1].ID)
		f.stop()
	})
}

// Guards against ops on the same key that are merged or reordered.
func TestSameKeyOpsKeepOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{})
		first := f.submit(insertOp("k"))
		second := f.submit(insertOp("k"))
		third := f.submit(Op{Deletes: []string{"k", "l"}})
		fourth := f.submit(insertOp("l"))
		other := f.submit(putOp("other"))
		f.start()
		assert.NilError(t, (<-first).Err)
		assert.ErrorIs(t, (<-second).Err, ErrConflict)
		deleted := <-third
		inserted := <-fourth
		assert.NilError(t, deleted.Err)
		assert.NilError(t, inserted.Err)
		assert.Assert(t, deleted.Revision < inserted.Revision)
		assert.NilError(t, (<-other).Err)
		assert.Equal(t, f.Stats().Rejected, uint64(0)) // the table rejects a transaction that writes a key twice
		f.stop()
	})
}

// Guards against a fenced daemon that writes to the table or leaves ops without
// a result.
func TestFencedCommitterWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		f := newFixture(t, table, Options{MaxOps: 1})
		table.write(testHolderKey, `{"incarnation":"d1","fenced":true}`)
		inFlight := f.submit(insertOp("a"))
		queued := f.submit(insertOp("b"))
		f.start()
		assert.ErrorIs(t, <-f.result, ErrFenced)
		assert.ErrorIs(t, (<-inFlight).Err, ErrFenced)
		assert.ErrorIs(t, (<-queued).Err, ErrFenced)
		assert.ErrorIs(t, (<-f.submit(insertOp("c"))).Err, ErrFenced)
		assert.Equal(t, f.fencedCalls(), 1)
		assert.Equal(t, table.row("a").Version, uint64(0))
		f.cancel()
	})
}

// Guards against an op that is reported as fenced although it was committed
// before the fencing; the reply to its commit was lost.
func TestCommitBeforeFencingIsReportedAsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		calls := 0
		table.before = func(storage.Txn) callFault {
			calls++
			if calls == 1 {
				return replyLost
			}
			if calls == 2 {
				table.write(testHolderKey, `{"incarnation":"d1","fenced":true}`)
			}
			return noFault
		}
		f := newFixture(t, table, Options{MaxOps: 1})
		first := f.submit(insertOp("a"))
		second := f.submit(insertOp("b"))
		f.start()
		assert.NilError(t, (<-first).Err)
		assert.ErrorIs(t, (<-second).Err, ErrFenced)
		assert.ErrorIs(t, <-f.result, ErrFenced)
		f.cancel()
	})
}

// Guards against an idle daemon whose holder row is not renewed, or renewed too often.
func TestIdleCommitterRenewsHolderRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{})
		f.start()
		time.Sleep(10*DefaultRenewInterval + time.Second)
		assert.Equal(t, f.table.holder().Renewals, uint64(10))
		assert.Equal(t, f.Stats().Renewals, uint64(10))
		assert.Equal(t, time.Since(f.LastSuccess()), time.Second)
		f.stop()
	})
}

// Guards against a daemon that is fenced because its conflicting ops prevent the
// renewal of its holder row.
func TestRenewalDespiteConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.write("taken", `1`)
		f := newFixture(t, table, Options{})
		f.start()
		for range 6000 { // one conflicting op every 10 ms for 60 s, more than the rate of transactions
			f.submit(insertOp("taken"))
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, time.Since(f.LastSuccess()) < 2*DefaultRenewInterval)
		}
		f.stop()
	})
}

// Guards against a daemon that commits more transactions per second than its
// rate limit allows.
func TestTransactionsStayWithinRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{})
		begin := time.Now()
		var last <-chan Result
		for range 100 { // the same key, so that each op needs its own transaction
			last = f.submit(putOp("k"))
		}
		f.start()
		<-last
		elapsed := time.Since(begin).Seconds()
		want := (100 - DefaultBurst) / DefaultRate
		assert.Assert(t, elapsed > want-0.01 && elapsed < want+0.1, "100 transactions took %v s, want %v s", elapsed, want)
		f.stop()
	})
}

// Guards against an op that the table rejects and that makes other ops fail or
// blocks them.
func TestRejectedOpIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.before = func(txn storage.Txn) callFault {
			for _, put := range txn.Puts {
				if put.Key == "k13" {
					return txnRejected
				}
			}
			return noFault
		}
		f := newFixture(t, table, Options{})
		var results []<-chan Result
		for i := range 64 {
			results = append(results, f.submit(putOp(fmt.Sprintf("k%d", i))))
		}
		f.start()
		for i, r := range results {
			err := (<-r).Err
			assert.Equal(t, err != nil, i == 13, "op %d: %v", i, err)
			assert.Assert(t, !errors.Is(err, ErrStopped))
		}
		f.stop()
	})
}

// Guards against an op that is reported as failed because the table rejected its
// resubmission, although the first submission, whose reply was lost, took effect.
func TestRejectionAfterLostReplyIsResubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		calls := 0
		table.before = func(storage.Txn) callFault {
			calls++
			return []callFault{replyLost, txnRejected, noFault}[calls-1]
		}
		f := newFixture(t, table, Options{})
		r := f.submit(insertOp("k"))
		f.start()
		assert.NilError(t, (<-r).Err)
		assert.Equal(t, table.applied["k"], 1)
		f.stop()
	})
}

// Guards against the submission of ops that the table would reject or that write
// the holder row, on which fencing depends.
func TestInvalidOpsAreNotSubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{})
		twice := f.submit(Op{Puts: putOp("k").Puts, Deletes: []string{"k"}})
		holder := f.submit(putOp(testHolderKey))
		good := f.submit(putOp("good"))
		f.start()
		assert.ErrorIs(t, (<-twice).Err, ErrInvalidOp)
		assert.ErrorIs(t, (<-holder).Err, ErrInvalidOp)
		assert.NilError(t, (<-good).Err)
		f.stop()
	})
}

// Guards against ops without a result when the daemon stops during an outage.
func TestStopDuringOutageFinishesOps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.before = func(storage.Txn) callFault { return notReceived }
		f := newFixture(t, table, Options{MaxOps: 1})
		inFlight := f.submit(putOp("a"))
		queued := f.submit(putOp("b"))
		f.start()
		time.Sleep(time.Second)
		f.cancel()
		assert.ErrorIs(t, <-f.result, ErrStopped)
		assert.ErrorIs(t, (<-inFlight).Err, ErrStopped)
		assert.ErrorIs(t, (<-queued).Err, ErrStopped)
		assert.ErrorIs(t, (<-f.submit(putOp("c"))).Err, ErrStopped)
		assert.Equal(t, f.fencedCalls(), 0)
	})
}

// Guards against a graceful stop that loses queued ops or does not mark the
// holder row as stopped.
func TestFinishCommitsQueuedOpsAndMarksHolderRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, newFakeTable(), Options{MaxOps: 1})
		first := f.submit(putOp("a"))
		second := f.submit(putOp("b"))
		f.start()
		assert.NilError(t, f.Finish(context.Background()))
		assert.NilError(t, <-f.result)
		assert.NilError(t, (<-first).Err)
		assert.NilError(t, (<-second).Err)
		assert.Assert(t, f.table.holder().Stopped)
		assert.ErrorIs(t, (<-f.submit(putOp("c"))).Err, ErrStopped)
		f.cancel()
	})
}

// Guards against Finish that blocks past its deadline while the table is down.
func TestFinishDuringOutageReturnsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.before = func(storage.Txn) callFault { return notReceived }
		f := newFixture(t, table, Options{})
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.ErrorIs(t, f.Finish(ctx), context.DeadlineExceeded)
		f.stop()
	})
}
