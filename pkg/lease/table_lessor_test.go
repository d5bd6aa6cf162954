package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const testRole = "repair"

// faultyTable loses the reply to the next commit or delays that commit.
type faultyTable struct {
	storage.Table
	loseReply bool            // the next commit takes effect, but its reply is lost
	delay     <-chan struct{} // if not nil, the next commit takes effect only after a receive from it
}

func (f *faultyTable) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	if delay := f.delay; delay != nil {
		f.delay = nil
		<-delay
	}
	outcome, err := f.Table.Commit(ctx, txn)
	if f.loseReply {
		f.loseReply = false
		return storage.Outcome{}, fmt.Errorf("%w: reply lost", storage.ErrUnavailable)
	}
	return outcome, err
}

// commitUnderLease writes a row under the condition of the lease, as the holder
// of a role does, and reports whether it was committed.
func commitUnderLease(t *testing.T, table storage.Table, lease Lease) bool {
	t.Helper()
	outcome, err := table.Commit(t.Context(), storage.Txn{
		ID:         fmt.Sprintf("w-%d-%d", lease.Fencing, lease.Version),
		Conditions: []storage.Condition{lease.Condition()},
		Puts:       []storage.Put{{Key: "x", Value: json.RawMessage(`1`)}},
	})
	assert.NilError(t, err)
	return outcome.Committed
}

// acquireWithRetry calls Acquire once per second until it succeeds. It returns
// the lease and the time that this took.
func acquireWithRetry(t *testing.T, l *TableLessor) (Lease, time.Duration) {
	t.Helper()
	begin := time.Now()
	for {
		lease, err := l.Acquire(t.Context(), testRole)
		if err == nil {
			return lease, time.Since(begin)
		}
		assert.ErrorIs(t, err, ErrHeld)
		assert.Assert(t, time.Since(begin) < time.Minute)
		time.Sleep(time.Second)
	}
}

// Guards against two holders at a time, and against a role that another daemon
// acquires although its holder renews.
func TestRenewedRoleKeepsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		a := NewTableLessor(table, "a", testTTL)
		b := NewTableLessor(table, "b", testTTL)
		_, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		for range 20 {
			time.Sleep(5 * time.Second)
			_, err := a.Renew(t.Context(), testRole)
			assert.NilError(t, err)
			_, err = b.Acquire(t.Context(), testRole)
			assert.ErrorIs(t, err, ErrHeld)
			_, held := a.Held(testRole)
			assert.Assert(t, held)
		}
	})
}

// Guards against a holder that acts, writes or renews after a pause during
// which its lease expired and another daemon took over the role.
func TestHolderPausedPastLeaseCannotActOrWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		a := NewTableLessor(table, "a", testTTL)
		b := NewTableLessor(table, "b", testTTL)
		first, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		assert.Assert(t, commitUnderLease(t, table, first))

		second, waited := acquireWithRetry(t, b) // a is paused
		assert.Assert(t, waited >= testTTL && waited < testTTL+2*time.Second, "%v", waited)
		assert.Assert(t, second.Fencing > first.Fencing)

		_, held := a.Held(testRole)
		assert.Assert(t, !held)
		assert.Assert(t, !commitUnderLease(t, table, Lease{Role: testRole, Fencing: first.Fencing + 100, Version: first.Version}))
		_, err = a.Renew(t.Context(), testRole)
		assert.ErrorIs(t, err, ErrLost)
		_, err = a.Renew(t.Context(), testRole)
		assert.ErrorIs(t, err, ErrNotHeld)
		assert.Assert(t, commitUnderLease(t, table, second))
	})
}

// Guards against a lease that is still valid on the holder's clock when another
// daemon may take over the role.
func TestLeaseExpiresBeforeTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		a := NewTableLessor(table, "a", testTTL)
		b := NewTableLessor(table, "b", testTTL)
		lease, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		_, err = b.Acquire(t.Context(), testRole)
		assert.ErrorIs(t, err, ErrHeld)
		time.Sleep(time.Until(lease.Expires))
		_, held := a.Held(testRole)
		assert.Assert(t, !held)
		_, err = b.Acquire(t.Context(), testRole)
		assert.ErrorIs(t, err, ErrHeld)
	})
}

// Guards against a renewal submitted before a pause of the holder that arrives
// after the take-over and takes the role back.
func TestDelayedRenewalFailsAfterTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := standin.New().Local()
		delayed := make(chan struct{})
		tableOfA := &faultyTable{Table: shared}
		a := NewTableLessor(tableOfA, "a", testTTL)
		b := NewTableLessor(shared, "b", testTTL)
		_, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		tableOfA.delay = delayed
		result := make(chan error, 1)
		go func() {
			_, err := a.Renew(t.Context(), testRole)
			result <- err
		}()
		lease, _ := acquireWithRetry(t, b)
		close(delayed)
		assert.ErrorIs(t, <-result, ErrLost)
		assert.Assert(t, commitUnderLease(t, shared, lease))
	})
}

// Guards against a holder that loses its role because the reply to a renewal was lost.
func TestLostRenewalReplyKeepsRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &faultyTable{Table: standin.New().Local()}
		a := NewTableLessor(table, "a", testTTL)
		first, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		table.loseReply = true
		_, err = a.Renew(t.Context(), testRole)
		assert.ErrorIs(t, err, storage.ErrUnavailable)
		_, held := a.Held(testRole)
		assert.Assert(t, held)
		second, err := a.Renew(t.Context(), testRole)
		assert.NilError(t, err)
		assert.Equal(t, second.Fencing, first.Fencing)
		assert.Assert(t, commitUnderLease(t, table, second))
	})
}

// Guards against a daemon that waits for the TTL of its own lease after the
// reply to its Acquire was lost.
func TestLostAcquireReplyNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &faultyTable{Table: standin.New().Local(), loseReply: true}
		a := NewTableLessor(table, "a", testTTL)
		_, err := a.Acquire(t.Context(), testRole)
		assert.ErrorIs(t, err, storage.ErrUnavailable)
		_, held := a.Held(testRole)
		assert.Assert(t, !held)
		lease, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		assert.Equal(t, lease.Fencing, uint64(2))
	})
}

// Guards against a released role that is not free at once or whose fencing
// number starts again.
func TestReleasedRoleIsFreeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		a := NewTableLessor(table, "a", testTTL)
		b := NewTableLessor(table, "b", testTTL)
		first, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		_, err = b.Acquire(t.Context(), testRole)
		assert.ErrorIs(t, err, ErrHeld)
		assert.NilError(t, a.Release(t.Context(), testRole))
		_, held := a.Held(testRole)
		assert.Assert(t, !held)
		second, err := b.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		assert.Assert(t, second.Fencing > first.Fencing)
		assert.ErrorIs(t, a.Release(t.Context(), testRole), ErrNotHeld)
	})
}

// Guards against a holder that loses its role in a table outage although no
// other daemon acquired it.
func TestExpiredLeaseIsRenewedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		a := NewTableLessor(server.Local(), "a", testTTL)
		first, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		assert.NilError(t, server.SetFaults(standin.Faults{TableDown: true}))
		time.Sleep(2 * testTTL)
		_, err = a.Renew(t.Context(), testRole)
		assert.ErrorIs(t, err, storage.ErrUnavailable)
		_, held := a.Held(testRole)
		assert.Assert(t, !held)
		assert.NilError(t, server.SetFaults(standin.Faults{}))
		second, err := a.Acquire(t.Context(), testRole)
		assert.NilError(t, err)
		assert.Equal(t, second.Fencing, first.Fencing)
		_, held = a.Held(testRole)
		assert.Assert(t, held)
	})
}

// Guards against a role whose fencing number starts again because its row is damaged.
func TestDamagedRoleRowIsNotAcquired(t *testing.T) {
	table := standin.New().Local()
	_, err := table.Commit(t.Context(), storage.Txn{ID: "bad", Puts: []storage.Put{{Key: RoleKey(testRole), Value: json.RawMessage(`"x"`)}}})
	assert.NilError(t, err)
	_, err = NewTableLessor(table, "a", testTTL).Acquire(t.Context(), testRole)
	assert.ErrorIs(t, err, ErrBadRow)
}
