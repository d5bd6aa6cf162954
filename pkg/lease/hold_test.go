package lease

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

const testInterval = 3 * time.Second

// workLog counts the daemons that run the work of a role at the same time.
type workLog struct {
	mu         sync.Mutex
	working    int      // daemons that run the work now
	maxWorking int      // highest value of working
	starts     []string // names of the daemons that started the work, in order of the starts
}

func (w *workLog) work(self string) func(context.Context, Lease) {
	return func(ctx context.Context, _ Lease) {
		w.mu.Lock()
		w.working++
		w.maxWorking = max(w.maxWorking, w.working)
		w.starts = append(w.starts, self)
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		w.working--
		w.mu.Unlock()
	}
}

// counts returns the values of working, maxWorking and starts.
func (w *workLog) counts() (working, maxWorking int, starts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.working, w.maxWorking, slices.Clone(w.starts)
}

// partitionedTable is one daemon's connection to a table. While partitioned is
// set, every call fails with storage.ErrUnavailable.
type partitionedTable struct {
	storage.Table
	partitioned atomic.Bool
}

func (p *partitionedTable) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	if p.partitioned.Load() {
		return storage.Outcome{}, storage.ErrUnavailable
	}
	return p.Table.Commit(ctx, txn)
}

func (p *partitionedTable) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if p.partitioned.Load() {
		return nil, storage.ErrUnavailable
	}
	return p.Table.Get(ctx, keys...)
}

// Guards against work that continues although the lease could not be renewed
// and another daemon has taken the role.
func TestHoldStopsWorkBeforeTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		shared := standin.New().Local()
		tableOfA := &partitionedTable{Table: shared}
		log := &workLog{}
		go Hold(ctx, NewTableLessor(tableOfA, "a", testTTL), testRole, testInterval, log.work("a"))
		synctest.Wait()
		go Hold(ctx, NewTableLessor(shared, "b", testTTL), testRole, testInterval, log.work("b"))
		time.Sleep(time.Minute)
		tableOfA.partitioned.Store(true)
		time.Sleep(2 * testTTL)
		tableOfA.partitioned.Store(false)
		time.Sleep(time.Minute)
		working, maxWorking, starts := log.counts()
		assert.Equal(t, working, 1)
		assert.Equal(t, maxWorking, 1)
		assert.DeepEqual(t, starts, []string{"a", "b"})
	})
}

// Guards against work that continues after its lease expired in a table outage,
// and against work that does not resume after the outage.
func TestHoldStopsAndResumesWorkAroundOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := &partitionedTable{Table: standin.New().Local()}
		log := &workLog{}
		go Hold(ctx, NewTableLessor(table, "a", testTTL), testRole, testInterval, log.work("a"))
		time.Sleep(time.Second) // before the first renewal
		table.partitioned.Store(true)
		time.Sleep(testTTL)
		working, _, _ := log.counts()
		assert.Equal(t, working, 0)
		table.partitioned.Store(false)
		time.Sleep(2 * testInterval)
		working, _, _ = log.counts()
		assert.Equal(t, working, 1)
	})
}

// Guards against a role that stays held for a TTL after a graceful stop.
func TestHoldReleasesOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New().Local()
		log := &workLog{}
		ctxA, stopA := context.WithCancel(t.Context())
		ctxB, stopB := context.WithCancel(t.Context())
		defer stopB()
		go Hold(ctxA, NewTableLessor(table, "a", testTTL), testRole, testInterval, log.work("a"))
		synctest.Wait()
		go Hold(ctxB, NewTableLessor(table, "b", testTTL), testRole, testInterval, log.work("b"))
		time.Sleep(time.Second)
		stopA()
		time.Sleep(testInterval)
		_, maxWorking, starts := log.counts()
		assert.DeepEqual(t, starts, []string{"a", "b"})
		assert.Equal(t, maxWorking, 1)
	})
}
