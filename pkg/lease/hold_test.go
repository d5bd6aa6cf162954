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

// workLog counts the daemons that work in a role at the same time.
type workLog struct {
	mu      sync.Mutex
	working int
	most    int
	begun   []string
}

func (w *workLog) work(self string) func(context.Context, Lease) {
	return func(ctx context.Context, _ Lease) {
		w.mu.Lock()
		w.working++
		w.most = max(w.most, w.working)
		w.begun = append(w.begun, self)
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		w.working--
		w.mu.Unlock()
	}
}

// read returns the daemons working now, the most at the same time and the begins in order.
func (w *workLog) read() (working, most int, begun []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.working, w.most, slices.Clone(w.begun)
}

// partitionedTable is a table that one daemon can be cut off from.
type partitionedTable struct {
	storage.Table
	cut atomic.Bool
}

func (p *partitionedTable) Commit(ctx context.Context, txn storage.Txn) (storage.Outcome, error) {
	if p.cut.Load() {
		return storage.Outcome{}, storage.ErrUnavailable
	}
	return p.Table.Commit(ctx, txn)
}

func (p *partitionedTable) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if p.cut.Load() {
		return nil, storage.ErrUnavailable
	}
	return p.Table.Get(ctx, keys...)
}

// Guards against work that goes on without a renewal while another daemon takes the role.
func TestHoldStopsWorkBeforeTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		shared := standin.New().Local()
		linkOfA := &partitionedTable{Table: shared}
		log := &workLog{}
		go Hold(ctx, NewTableLessor(linkOfA, "a", testTTL), testRole, testInterval, log.work("a"))
		synctest.Wait()
		go Hold(ctx, NewTableLessor(shared, "b", testTTL), testRole, testInterval, log.work("b"))
		time.Sleep(time.Minute)
		linkOfA.cut.Store(true)
		time.Sleep(2 * testTTL)
		linkOfA.cut.Store(false)
		time.Sleep(time.Minute)
		working, most, begun := log.read()
		assert.Equal(t, working, 1)
		assert.Equal(t, most, 1)
		assert.DeepEqual(t, begun, []string{"a", "b"})
	})
}

// Guards against work that goes on past its lease during an outage, or does not resume after it.
func TestHoldDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		link := &partitionedTable{Table: standin.New().Local()}
		log := &workLog{}
		go Hold(ctx, NewTableLessor(link, "a", testTTL), testRole, testInterval, log.work("a"))
		time.Sleep(time.Second) // before the first renewal
		link.cut.Store(true)
		time.Sleep(testTTL)
		working, _, _ := log.read()
		assert.Equal(t, working, 0)
		link.cut.Store(false)
		time.Sleep(2 * testInterval)
		working, _, _ = log.read()
		assert.Equal(t, working, 1)
	})
}

// Guards against a role that stays taken for a TTL after a graceful stop.
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
		_, most, begun := log.read()
		assert.DeepEqual(t, begun, []string{"a", "b"})
		assert.Equal(t, most, 1)
	})
}
